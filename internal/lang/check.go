package lang

import (
	"io/fs"
	"path"

	"crankhold/internal/lang/syntax"
)

// Check reads a file and all that it includes, and checks them; platform may be nil. Names in messages get the prefix
// as their folder. The error is a *FileError of the first file: it can't be read at all.
func Check(fsys fs.FS, name, prefix string, platform *Platform) (*Result, error) {
	l := newLoader(fsys, prefix)
	if err := l.load(name, nil); err != nil {
		return nil, &FileError{File: path.Join(prefix, name), Err: pathErrorReason(err)}
	}
	c := newChecker(l, platform)
	c.buildBlocks(l.files)
	for _, t := range blockTypes {
		if t.check != nil {
			t.check(c)
		}
	}
	if len(c.report.faults) == 0 {
		c.checkTable()
	}
	c.report.sort()
	c.result.Faults = c.report.faults
	c.result.Notes = c.report.notes
	c.result.lines = c.lines
	return c.result, nil
}

// checker builds a Spec out of the blocks of all files, and collects their faults.
type checker struct {
	platform *Platform // nil: not known
	result   *Result
	report   *reporter
	reader   *blockReader

	symbols    *symbolTable
	references *referenceResolver
	lines      definingLines

	policies    map[string]*policyBlock
	policyOrder []*policyBlock // in the order of the files
}

func newChecker(l *loader, platform *Platform) *checker {
	report := &reporter{faults: l.faults}
	symbols := newSymbolTable(len(l.faults) == 0)
	return &checker{
		platform:   platform,
		result:     &Result{},
		report:     report,
		reader:     &blockReader{report: report, sources: l.sources},
		symbols:    symbols,
		references: newReferenceResolver(report, symbols),
		lines:      definingLines{},
		policies:   map[string]*policyBlock{},
	}
}

// buildBlocks reads all blocks and has each one's type build its part of the Spec.
func (c *checker) buildBlocks(files []*syntax.File) {
	for _, file := range files {
		c.result.Files = append(c.result.Files, file.Name)
		for _, entry := range file.Entries {
			if b, ok := entry.(*syntax.Block); ok {
				c.buildBlock(b)
			}
		}
	}
}

// buildBlock reads a block at the top level of a file and has its type build its part of the Spec.
func (c *checker) buildBlock(syntaxBlock *syntax.Block) {
	if b := c.reader.read(syntaxBlock); b != nil {
		c.define(b)
		b.blockType.build(c, b)
	}
}

// define enters a block that has a name. The name must be its own among the blocks of its type.
func (c *checker) define(b *block) {
	if !b.blockType.named {
		return
	}
	if first := c.symbols.define(b); first != nil {
		c.report.fault(b, b.pos, "%s %q is defined twice, first at %v", b.blockType.keyword, b.name, first.pos)
		return
	}
	c.lines.addBlock(b)
}

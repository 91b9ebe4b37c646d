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
	return c.result, nil
}

// checker builds a Spec out of the blocks of all files, and collects their faults.
type checker struct {
	platform *Platform // nil: not known
	complete bool      // all files were read without a fault: what is missing is missing
	result   *Result
	report   *reporter
	reader   *blockReader

	blocks     map[string]map[string]*block // by keyword and name
	referenced map[blockID]bool             // the names that other blocks refer to, defined or not
	unresolved map[string]bool              // keywords of which a reference is not defined, or can't be read

	policies    map[string]*policyBlock
	policyOrder []*policyBlock // in the order of the files
}

func newChecker(l *loader, platform *Platform) *checker {
	report := &reporter{faults: l.faults}
	return &checker{
		platform:   platform,
		complete:   len(l.faults) == 0,
		result:     &Result{lines: map[blockID][]syntax.Fault{}},
		report:     report,
		reader:     &blockReader{report: report, sources: l.sources},
		blocks:     map[string]map[string]*block{},
		referenced: map[blockID]bool{},
		unresolved: map[string]bool{},
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

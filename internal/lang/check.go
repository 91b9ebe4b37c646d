package lang

import (
	"io/fs"
	"path"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// Check reads a file and all files that it includes, and checks them; platform may be nil. Messages show file names
// with prefix as their folder. If the first file can't be read at all, the error is a *FileError; Check returns no
// other errors.
func Check(fsys fs.FS, name, prefix string, platform *Platform) (*Result, error) {
	l := newLoader(fsys, prefix, &reporter{})
	if platform != nil {
		l.size.maxBytes = platform.MaxFileBytes
		l.size.maxBlocks = platform.MaxBlocks
	}
	if err := l.load(name, nil); err != nil {
		return nil, &FileError{File: path.Join(prefix, name), Err: pathErrorReason(err)}
	}
	return newChecker(l, platform).check(l.files), nil
}

// checker runs the steps of a check: it reads, registers and builds each block, then checks the blocks of each type,
// and finally checks the compiled table.
type checker struct {
	builderContext
	reader       *blockReader
	linesByBlock definitionLines
	workers      *workerBuilder
	classes      *classBuilder
	routes       *routeBuilder
	pools        *poolBuilder
	policies     *policyBuilder
	builders     map[string]blockBuilder // all of them, by keyword
}

// newChecker returns a checker for the files that a loader has read.
func newChecker(l *loader, platform *Platform) *checker {
	symbols := newSymbolTable(len(l.report.faults) == 0)
	context := builderContext{
		report:     l.report,
		symbols:    symbols,
		references: newReferenceResolver(l.report, symbols),
		platform:   platform,
	}
	c := &checker{
		builderContext: context,
		reader:         &blockReader{report: l.report, sources: l.sources},
		linesByBlock:   definitionLines{},
	}
	c.workers = &workerBuilder{builderContext: context}
	c.classes = &classBuilder{builderContext: context}
	c.routes = &routeBuilder{builderContext: context, firstFile: l.files[0].Name}
	c.pools = &poolBuilder{builderContext: context, workers: c.workers, followed: map[string]bool{}}
	c.policies = newPolicyBuilder(context, c.linesByBlock)
	c.builders = map[string]blockBuilder{
		workerKeyword: c.workers,
		classKeyword:  c.classes,
		routeKeyword:  c.routes,
		poolKeyword:   c.pools,
		policyKeyword: c.policies,
	}
	return c
}

// check checks the blocks of all files. It compiles the spec only if there are no faults; otherwise, the known classes
// are those that class blocks declare.
func (c *checker) check(files []*syntax.File) *Result {
	r := &Result{linesByBlock: c.linesByBlock}
	for _, file := range files {
		r.Files = append(r.Files, file.Name)
		c.buildFile(file)
	}
	for _, t := range blockTypes {
		c.builders[t.keyword].check()
	}
	r.Spec = c.spec()
	r.classes = knownClasses{list: c.classes.declared}
	if len(c.report.faults) == 0 {
		r.classes = c.classes.known(c.routes.specs)
		r.table = c.checkTable(&r.Spec, r.classes)
	}
	c.report.sort()
	r.Faults = c.report.faults
	r.Notes = c.report.notes
	return r
}

// buildFile reads and builds the blocks of a file. It drops the file's entries one by one, so that a large file is not
// in memory twice.
func (c *checker) buildFile(file *syntax.File) {
	for i, entry := range file.Entries {
		file.Entries[i] = nil
		syntaxBlock, ok := entry.(*syntax.Block)
		if !ok {
			continue
		}
		if b := c.reader.read(syntaxBlock); b != nil {
			c.define(b)
			c.builders[b.blockType.keyword].build(b)
		}
	}
}

// define registers a named block. It reports a fault if an earlier block of the same type has the same name.
func (c *checker) define(b *block) {
	if !b.blockType.named {
		return
	}
	if first := c.symbols.define(b); first != nil {
		c.report.fault(b, b.pos, "%s %q is defined twice, first at %v", b.blockType.keyword, b.name, first.pos)
		return
	}
	c.linesByBlock.addBlock(b)
}

// spec combines the results of the builders.
func (c *checker) spec() route.Spec {
	return route.Spec{
		Workers:              c.workers.workers,
		Pools:                c.pools.specs(),
		Policies:             c.policies.specs,
		Routes:               c.routes.specs,
		NotIdempotentClasses: c.classes.notIdempotent(),
	}
}

// checkTable compiles the spec and checks it as a whole. The spec must have no faults. It returns nil if the spec can't
// be compiled.
func (c *checker) checkTable(spec *route.Spec, classes knownClasses) *route.Table {
	if c.platform != nil {
		spec.LoadWindow = c.platform.LoadWindow
		spec.MaxBytes = c.platform.MaxTableBytes
	}
	t := &tableChecker{report: c.report, symbols: c.symbols, policies: c.policies, classes: classes}
	return t.check(spec)
}

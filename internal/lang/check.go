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
	if len(c.result.Faults) == 0 {
		c.checkTable()
	}
	c.result.Faults.Sort()
	c.result.Notes.Sort()
	return c.result, nil
}

// checker builds a Spec out of the blocks of all files, and collects their faults.
type checker struct {
	sources  map[string]*syntax.Source // by file
	platform *Platform                 // nil: not known
	complete bool                      // all files were read without a fault: what is missing is missing
	result   *Result

	blocks     map[string]map[string]*block // by keyword and name
	referenced map[blockID]bool             // the names that other blocks refer to, defined or not
	unresolved map[string]bool              // keywords of which a reference is not defined, or can't be read

	policies    map[string]*policyBlock
	policyOrder []*policyBlock // in the order of the files
}

func newChecker(l *loader, platform *Platform) *checker {
	return &checker{
		sources:    l.sources,
		platform:   platform,
		complete:   len(l.faults) == 0,
		result:     &Result{Faults: l.faults, lines: map[blockID][]syntax.Fault{}},
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

// fault reports what is wrong at a position within a block.
func (c *checker) fault(b *block, pos syntax.Pos, format string, args ...any) {
	c.result.Faults = append(c.result.Faults, b.source.FaultAt(pos, format, args...))
}

// note reports what is allowed and may not be meant.
func (c *checker) note(b *block, pos syntax.Pos, format string, args ...any) {
	c.result.Notes = append(c.result.Notes, b.source.FaultAt(pos, format, args...))
}

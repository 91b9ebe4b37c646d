package lang

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path"
	"slices"

	"crankhold/internal/lang/syntax"
)

// Limits on what one configuration may include.
const (
	maxFiles        = 1000
	maxIncludeDepth = 16
)

// FileError reports a first file that can't be read at all.
type FileError struct {
	File string
	Err  error
}

// Error names the file and the reason.
func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the reason, such as fs.ErrNotExist.
func (e *FileError) Unwrap() error { return e.Err }

// loader reads the files of a configuration, each once: the first one, and those that are included.
type loader struct {
	fsys             fs.FS
	prefix           string                    // folder of the names that messages show
	files            []*syntax.File            // that were read, the first one first
	sources          map[string]*syntax.Source // by the name that messages show
	includeChains    map[string][]string       // by file, the chain of includes that led to it
	report           *reporter                 // gets the faults of syntax and of includes
	fileLimitReached bool                      // maxFiles was reached: nothing more is read
}

func newLoader(fsys fs.FS, prefix string, report *reporter) *loader {
	return &loader{
		fsys:          fsys,
		prefix:        prefix,
		sources:       map[string]*syntax.Source{},
		includeChains: map[string][]string{},
		report:        report,
	}
}

// load reads a file and all that it includes, each once. Names are relative to fsys, whose root no include may leave;
// chain is the files that led to this one.
func (l *loader) load(name string, chain []string) error {
	text, err := readFile(l.fsys, name)
	if err != nil {
		return err
	}
	chain = append(slices.Clip(chain), name)
	l.includeChains[name] = chain
	file, source, faults := syntax.Parse(path.Join(l.prefix, name), text)
	l.files = append(l.files, file)
	l.sources[file.Name] = source
	l.report.add(faults...)
	for _, entry := range file.Entries {
		if include, ok := entry.(*syntax.Include); ok && !l.fileLimitReached {
			l.include(&includeStatement{include, source, chain})
		}
	}
	return nil
}

// errIrregular is the error for what is no regular file. Reading a pipe could block forever.
var errNotRegularFile = errors.New("it is no regular file")

// readFile reads a file, up to one byte more than a file may have.
func readFile(fsys fs.FS, name string) ([]byte, error) {
	info, err := fs.Stat(fsys, name)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, &fs.PathError{Op: "open", Path: name, Err: errNotRegularFile}
	}
	f, err := fsys.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, syntax.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", name, err)
	}
	return text, nil
}

// pathErrorReason returns the reason of an error that names the file too, without the name.
func pathErrorReason(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

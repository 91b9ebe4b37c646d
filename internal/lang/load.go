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

// Limits on the includes of one configuration.
const (
	maxFiles        = 1000
	maxIncludeDepth = 16
)

// FileError reports that the first file can't be read at all.
type FileError struct {
	File string
	Err  error
}

// Error returns the file name and the reason.
func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the reason, such as fs.ErrNotExist.
func (e *FileError) Unwrap() error { return e.Err }

// loader reads the files of a configuration, each once: the first file and all files that are included.
type loader struct {
	fsys             fs.FS
	prefix           string                    // folder of the file names in messages
	files            []*syntax.File            // in the order in which they were read, starting with the first file
	sources          map[string]*syntax.Source // by the file name in messages
	includeChains    map[string][]string       // by file, the chain of includes that led to it
	report           *reporter                 // receives syntax faults and include faults
	fileLimitReached bool                      // maxFiles or a limit of size was reached: no more files are read
	size             sizeLimits
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

// load reads a file and all files that it includes, each once. Names are relative to fsys; no include may leave its
// root. chain lists the files that led to this one.
func (l *loader) load(name string, chain []string) error {
	text, err := readFile(l.fsys, name)
	if err != nil {
		return err
	}
	chain = append(slices.Clip(chain), name)
	l.includeChains[name] = chain
	if fault, ok := l.size.addBytes(path.Join(l.prefix, name), len(text)); !ok {
		l.stopAt(path.Join(l.prefix, name), fault)
		return nil
	}
	file, source, faults := syntax.Parse(path.Join(l.prefix, name), text)
	l.sources[file.Name] = source
	l.report.add(faults...)
	if fault, ok := l.size.addBlocks(file.Entries); !ok {
		l.stopAt(file.Name, fault)
		return nil
	}
	l.files = append(l.files, file)
	for _, entry := range file.Entries {
		if include, ok := entry.(*syntax.Include); ok && !l.fileLimitReached {
			l.include(&includeStatement{include, source, chain})
		}
	}
	return nil
}

// stopAt reports that the files are too large with this one, which counts as empty, and reads no more files.
func (l *loader) stopAt(name string, fault syntax.Fault) {
	l.report.add(fault)
	l.fileLimitReached = true
	l.files = append(l.files, &syntax.File{Name: name})
}

// errNotRegularFile is the error for anything but a regular file. Reading a pipe, for example, could block forever.
var errNotRegularFile = errors.New("it is no regular file")

// readFile reads a file, but at most syntax.MaxFileBytes and one byte more, which is enough for syntax.Parse to reject
// a file that is too large.
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
	text, err := io.ReadAll(io.LimitReader(f, syntax.MaxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", name, err)
	}
	return text, nil
}

// pathErrorReason returns the reason of an fs.PathError, without the file name. Any other error is returned as it is.
func pathErrorReason(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

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
	fileLimitReached bool                      // maxFiles or maxBytes was reached: no more files are read
	maxBytes         int                       // of all files together; 0: no limit
	bytesRead        int                       // of all files together
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
	l.bytesRead += len(text)
	if l.maxBytes > 0 && l.bytesRead > l.maxBytes {
		l.reportTooManyBytes(path.Join(l.prefix, name))
		return nil
	}
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

// reportTooManyBytes reports that the files are too large together, at the file that exceeds the limit.
func (l *loader) reportTooManyBytes(name string) {
	l.report.add(syntax.Fault{
		Pos: syntax.Pos{File: name, Line: 1, Col: 1},
		Msg: fmt.Sprintf("with this file the routes are larger than %d KB, which is the most for this router's "+
			"memory; the rest was not read", l.maxBytes>>10),
	})
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

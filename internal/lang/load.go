package lang

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path"
	"slices"
	"strings"

	"crankhold/internal/lang/syntax"
)

// Bounds on what one configuration may include.
const (
	maxFiles        = 1000
	maxIncludeDepth = 16
)

// loader reads the files of a configuration.
type loader struct {
	fsys          fs.FS
	prefix        string // of the names that messages show
	files         []*syntax.File
	sources       map[string]*syntax.Source
	includeChains map[string][]string // by file, the chain of includes that led to it
	faults        syntax.Faults
	filesExceeded bool
}

// load reads a file and all that it includes, each once. Names are relative to fsys, whose root no include
// may leave.
func (l *loader) load(name string, chain []string) error {
	text, err := readFile(l.fsys, name)
	if err != nil {
		return err
	}
	chain = append(slices.Clip(chain), name)
	l.includeChains[name] = chain
	f, src, faults := syntax.Parse(path.Join(l.prefix, name), text)
	l.files = append(l.files, f)
	l.sources[f.Name] = src
	l.faults = append(l.faults, faults...)
	for _, e := range f.Entries {
		if inc, ok := e.(*syntax.Include); ok && !l.filesExceeded {
			l.include(inc, src, name, chain)
		}
	}
	return nil
}

func (l *loader) include(inc *syntax.Include, src *syntax.Source, from string, chain []string) {
	fault := func(format string, args ...any) {
		l.faults = append(l.faults, src.Fault(inc.At, format, args...))
	}
	want := inc.Path.Text()
	switch {
	case want == "":
		fault("the include names no file")
		return
	case path.IsAbs(want) || strings.ContainsRune(want, '\\'):
		fault("the include %s must be relative to its file, with slashes", inc.Path.Raw)
		return
	}
	pattern := path.Join(path.Dir(from), want)
	if pattern == ".." || strings.HasPrefix(pattern, "../") {
		fault("the include %s leaves the directory of the first file", inc.Path.Raw)
		return
	}
	names := []string{pattern}
	if strings.ContainsAny(want, "*?[") {
		found, err := fs.Glob(l.fsys, pattern)
		switch {
		case err != nil:
			fault("the include %s is no pattern of file names", inc.Path.Raw)
			return
		case len(found) == 0:
			fault("no file matches the include %s", inc.Path.Raw)
			return
		}
		names = found
	}
	for _, name := range names {
		switch first, again := l.includeChains[name]; {
		case slices.Contains(chain, name):
			fault("include cycle: %s", strings.Join(append(slices.Clip(chain), name), " > "))
		case again:
			fault("%s is included twice: by %s, and by %s", name, strings.Join(first, " > "), strings.Join(append(slices.Clip(chain), name), " > "))
		case len(chain) >= maxIncludeDepth:
			fault("includes are nested more than %d deep: %s", maxIncludeDepth, strings.Join(append(slices.Clip(chain), name), " > "))
		case len(l.includeChains) >= maxFiles:
			fault("more than %d files are included; the rest was not read", maxFiles)
			l.filesExceeded = true
			return
		default:
			if err := l.load(name, chain); err != nil {
				fault("the include %s can't be read: %v (%s)", inc.Path.Raw, pathErrorReason(err), strings.Join(append(slices.Clip(chain), name), " > "))
			}
		}
	}
}

// errIrregular is of what is no file with a text: reading a pipe, say, could take for ever.
var errIrregular = errors.New("it is no regular file")

// readFile reads a file, up to a byte more than a file may have.
func readFile(fsys fs.FS, name string) ([]byte, error) {
	info, err := fs.Stat(fsys, name)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, &fs.PathError{Op: "open", Path: name, Err: errIrregular}
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

// pathErrorReason is the reason alone of an error that names the file too.
func pathErrorReason(err error) error {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err
	}
	return err
}

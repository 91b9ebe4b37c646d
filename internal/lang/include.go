package lang

import (
	"io/fs"
	"path"
	"slices"
	"strings"

	"crankhold/internal/lang/syntax"
)

// includeStatement is an include, with the file that contains it.
type includeStatement struct {
	*syntax.Include
	source *syntax.Source
	chain  []string // files from the first one to the one with the statement; each includes the next
}

// chainTo returns the chain of includes to a file that the statement includes, formatted for messages.
func (s *includeStatement) chainTo(name string) string {
	return chainText(append(slices.Clip(s.chain), name))
}

// chainText formats a chain of files for messages.
func chainText(chain []string) string { return strings.Join(chain, " > ") }

// reportFault reports a fault at the position of an include.
func (l *loader) reportFault(s *includeStatement, format string, args ...any) {
	l.report.add(s.source.FaultAt(s.At, format, args...))
}

// include reads the files that an include names.
func (l *loader) include(s *includeStatement) {
	pattern, ok := l.includePattern(s)
	if !ok {
		return
	}
	names, ok := l.expandPattern(s, pattern)
	if !ok {
		return
	}
	for _, name := range names {
		if !l.includeFile(s, name) {
			return
		}
	}
}

// includePattern returns the file name pattern of an include, relative to the folder of the first file. It reports an
// invalid pattern and returns false for it.
func (l *loader) includePattern(s *includeStatement) (pattern string, ok bool) {
	text := s.Path.Text()
	if text == "" {
		l.reportFault(s, "the include names no file")
		return "", false
	}
	if path.IsAbs(text) || strings.ContainsRune(text, '\\') {
		l.reportFault(s, "the include %s must be relative to its file, with slashes", s.Path.Raw)
		return "", false
	}
	including := s.chain[len(s.chain)-1]
	pattern = path.Join(path.Dir(including), text)
	if pattern == ".." || strings.HasPrefix(pattern, "../") {
		l.reportFault(s, "the include %s leaves the directory of the first file", s.Path.Raw)
		return "", false
	}
	return pattern, true
}

// expandPattern returns the files that match a pattern. A pattern without wildcards is returned as the name of one
// file.
func (l *loader) expandPattern(s *includeStatement, pattern string) (names []string, ok bool) {
	if !strings.ContainsAny(s.Path.Text(), "*?[") {
		return []string{pattern}, true
	}
	names, err := fs.Glob(l.fsys, pattern)
	if err != nil {
		l.reportFault(s, "the include %s is no pattern of file names", s.Path.Raw)
		return nil, false
	}
	if len(names) == 0 {
		l.reportFault(s, "no file matches the include %s", s.Path.Raw)
		return nil, false
	}
	return names, true
}

// includeFile reads one file, unless it has already been read or a limit is reached. It returns false if the remaining
// files of the include can't be read either.
func (l *loader) includeFile(s *includeStatement, name string) bool {
	firstChain, alreadyIncluded := l.includeChains[name]
	switch {
	case slices.Contains(s.chain, name):
		l.reportFault(s, "include cycle: %s", s.chainTo(name))
	case alreadyIncluded:
		l.reportFault(s, "%s is included twice: by %s, and by %s", name, chainText(firstChain), s.chainTo(name))
	case len(s.chain) >= maxIncludeDepth:
		l.reportFault(s, "includes are nested more than %d deep: %s", maxIncludeDepth, s.chainTo(name))
	case len(l.includeChains) >= maxFiles:
		l.reportFault(s, "more than %d files are included; the rest was not read", maxFiles)
		l.fileLimitReached = true
		return false
	default:
		if err := l.load(name, s.chain); err != nil {
			l.reportFault(s, "the include %s can't be read: %v (%s)", s.Path.Raw, pathErrorReason(err), s.chainTo(name))
		}
	}
	return true
}

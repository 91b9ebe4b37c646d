package syntax

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Limits on one file. A file that exceeds a limit gets one fault for it, which names the limit.
const (
	MaxBytes     = 4 << 20 // bytes of a file
	MaxLineBytes = 4 << 10 // bytes of a line
	MaxDepth     = 8       // blocks within blocks
	MaxFaults    = 100     // faults reported of one file
)

// Source is the text of one file, split into lines. Faults quote their line from it.
type Source struct {
	Name  string
	lines []string
}

// NewSource splits text into lines. It keeps no more than MaxBytes of it.
func NewSource(name string, text []byte) *Source {
	text = text[:min(len(text), MaxBytes)]
	return &Source{name, strings.Split(withoutByteOrderMark(text), "\n")}
}

// FaultAt returns a fault at a position of this source, with its line quoted.
func (s *Source) FaultAt(pos Pos, format string, args ...any) Fault {
	f := Fault{Pos: pos, Msg: fmt.Sprintf(format, args...)}
	if pos.Line >= 1 && pos.Line <= len(s.lines) {
		f.Line = excerpt(s.lines[pos.Line-1])
	}
	return f
}

// maxExcerpt is how many characters of a line a fault quotes.
const maxExcerptLength = 160

// excerpt returns a line as a fault quotes it: truncated to maxExcerpt characters, with ? for what can't be printed.
func excerpt(line string) string {
	line = strings.ToValidUTF8(strings.TrimRight(line, "\r"), "?")
	if utf8.RuneCountInString(line) > maxExcerptLength {
		characters := []rune(line[:min(len(line), utf8.UTFMax*maxExcerptLength)])
		line = string(characters[:maxExcerptLength]) + "..."
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' && r != '\t' {
			return '?'
		}
		return r
	}, line)
}

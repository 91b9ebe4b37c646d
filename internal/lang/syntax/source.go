package syntax

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Limits on one file. A file that exceeds a limit gets one fault, which states the limit.
const (
	MaxFileBytes = 4 << 20 // length of a file in bytes
	MaxLineBytes = 4 << 10 // length of a line in bytes
	MaxDepth     = 8       // levels of nested blocks
	MaxFaults    = 100     // reported faults per file
)

// Source is the text of one file, split into lines, which faults quote.
type Source struct {
	Name  string
	lines []string
}

// NewSource splits text into lines. It ignores what exceeds MaxFileBytes.
func NewSource(name string, text []byte) *Source {
	text = text[:min(len(text), MaxFileBytes)]
	return &Source{name, strings.Split(withoutByteOrderMark(text), "\n")}
}

// FaultAt returns a fault at a position in this source, which quotes the line at that position.
func (s *Source) FaultAt(pos Pos, format string, args ...any) Fault {
	f := Fault{Pos: pos, Msg: fmt.Sprintf(format, args...)}
	if pos.Line >= 1 && pos.Line <= len(s.lines) {
		f.Line = excerpt(s.lines[pos.Line-1])
	}
	return f
}

// maxExcerptLength is the maximum number of characters of a line that a fault quotes.
const maxExcerptLength = 160

// excerpt returns a line as a fault quotes it: truncated to maxExcerptLength characters, with ? in place of invalid
// UTF-8 and control characters.
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

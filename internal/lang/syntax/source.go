package syntax

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Bounds on one file. What goes beyond gets one fault that names the bound.
const (
	MaxBytes  = 4 << 20 // bytes of a file
	MaxLine   = 4 << 10 // bytes of a line
	MaxDepth  = 8       // blocks within blocks
	MaxFaults = 100     // faults told of one file
)

// Pos is a place in a file. Lines and columns count from 1, columns in characters.
type Pos struct {
	File      string
	Line, Col int
}

// String returns file:line:column.
func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Valid tells whether p is a place at all.
func (p Pos) Valid() bool { return p.Line > 0 }

// Compare orders places by file, line and column.
func (p Pos) Compare(q Pos) int {
	return cmp.Or(strings.Compare(p.File, q.File), cmp.Compare(p.Line, q.Line), cmp.Compare(p.Col, q.Col))
}

// Fault is one thing that is wrong in a file.
type Fault struct {
	Pos  Pos    `json:"pos"`
	Msg  string `json:"message"`
	Line string `json:"line,omitempty"` // the text of the line, cut where it is long
}

// Error returns the fault on one line.
func (f Fault) Error() string { return f.Pos.String() + ": " + f.Msg }

// Quoted returns the fault, its line, and a mark under the column.
func (f Fault) Quoted() string {
	if f.Line == "" {
		return f.Error()
	}
	lead := []rune(f.Line)
	lead = lead[:max(0, min(f.Pos.Col-1, len(lead)))]
	for i, r := range lead {
		if r != '\t' {
			lead[i] = ' '
		}
	}
	return f.Error() + "\n\t" + f.Line + "\n\t" + string(lead) + "^"
}

// Faults is a list of them; it is an error where it is not empty.
type Faults []Fault

// Error returns a line for each fault.
func (l Faults) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil where it is empty.
func (l Faults) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort orders faults by place and drops those that are told twice.
func (l *Faults) Sort() {
	slices.SortStableFunc(*l, func(a, b Fault) int { return cmp.Or(a.Pos.Compare(b.Pos), strings.Compare(a.Msg, b.Msg)) })
	*l = slices.CompactFunc(*l, func(a, b Fault) bool { return a.Pos == b.Pos && a.Msg == b.Msg })
}

// Source is the text of one file, by lines.
type Source struct {
	Name  string
	lines []string
}

// NewSource splits text into lines. It keeps no more than MaxBytes of it.
func NewSource(name string, text []byte) *Source {
	text = text[:min(len(text), MaxBytes)]
	return &Source{name, strings.Split(strings.TrimPrefix(string(text), "\uFEFF"), "\n")}
}

// maxExcerpt is how many characters of a line a fault quotes.
const maxExcerpt = 160

// Fault returns a fault at a place of this source, with its line quoted.
func (s *Source) Fault(pos Pos, format string, args ...any) Fault {
	f := Fault{Pos: pos, Msg: fmt.Sprintf(format, args...)}
	if pos.Line >= 1 && pos.Line <= len(s.lines) {
		line := strings.ToValidUTF8(strings.TrimRight(s.lines[pos.Line-1], "\r"), "?")
		if utf8.RuneCountInString(line) > maxExcerpt {
			line = string([]rune(line[:min(len(line), 4*maxExcerpt)])[:maxExcerpt]) + "..."
		}
		f.Line = strings.Map(func(r rune) rune {
			if r < ' ' && r != '\t' {
				return '?'
			}
			return r
		}, line)
	}
	return f
}

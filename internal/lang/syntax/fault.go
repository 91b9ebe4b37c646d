package syntax

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Pos is a position in a file. The JSON output of the command check uses the names of its fields.
type Pos struct {
	File string
	Line int // from 1
	Col  int // column in characters, from 1
}

// String returns the position as file:line:column.
func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Valid reports whether p is a position; the zero value is not.
func (p Pos) Valid() bool { return p.Line > 0 }

// Compare orders positions by file, line and column.
func (p Pos) Compare(q Pos) int {
	return cmp.Or(strings.Compare(p.File, q.File), cmp.Compare(p.Line, q.Line), cmp.Compare(p.Col, q.Col))
}

// Fault is one diagnostic: an error in a file, or a note on something that is allowed but may be unintended.
type Fault struct {
	Pos  Pos    `json:"pos"`
	Msg  string `json:"message"`        // without the position
	Line string `json:"line,omitempty"` // the text of the line, truncated if it is long
}

// Error returns the position and the message on one line.
func (f Fault) Error() string { return f.Pos.String() + ": " + f.Msg }

// Quoted returns three lines: the fault, the line that it concerns, and a caret under the column. It returns only the
// fault if the line is unknown.
func (f Fault) Quoted() string {
	if f.Line == "" {
		return f.Error()
	}
	return f.Error() + "\n\t" + f.Line + "\n\t" + f.indent() + "^"
}

// indent returns white space that is as wide as the part of the line before the column.
func (f Fault) indent() string {
	line := []rune(f.Line)
	before := line[:max(0, min(f.Pos.Col-1, len(line)))]
	for i, r := range before {
		if r != '\t' {
			before[i] = ' '
		}
	}
	return string(before)
}

// Faults is a list of faults. A list that is not empty is an error.
type Faults []Fault

// Error returns one line per fault.
func (l Faults) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l Faults) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort orders faults by position and message, and removes duplicates.
func (l *Faults) Sort() {
	slices.SortStableFunc(*l, Fault.compare)
	*l = slices.CompactFunc(*l, func(a, b Fault) bool { return a.compare(b) == 0 })
}

// compare orders faults by position and message.
func (f Fault) compare(other Fault) int {
	return cmp.Or(f.Pos.Compare(other.Pos), strings.Compare(f.Msg, other.Msg))
}

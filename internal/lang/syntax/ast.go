package syntax

// File is one file's tree.
type File struct {
	Name    string
	Entries []Entry
	Tail    []Comment // after the last entry
}

// Comment is a comment that has a line of its own.
type Comment struct {
	Text  string // with its mark
	Blank bool   // an empty line goes before it
}

// Entry is an *Include, a *Block or a *Setting.
type Entry interface {
	Pos() Pos
	trivia() *Trivia
}

// Trivia is what stands around an entry and means nothing.
type Trivia struct {
	Lead  []Comment // on the lines before it
	Blank bool      // an empty line goes before it, behind its comments
	Trail string    // the comment on its last line
}

func (t *Trivia) trivia() *Trivia { return t }

// Include names further files.
type Include struct {
	Trivia
	At   Pos
	Path Value
}

// Block is a block with what it holds.
type Block struct {
	Trivia
	At      Pos
	Word    string
	Label   *Value // nil: none
	Open    string // the comment behind the opening brace
	Entries []Entry
	Tail    []Comment // before the closing brace
}

// Setting gives a name one or more values.
type Setting struct {
	Trivia
	At     Pos
	Name   string
	Values []Value
}

// ValueKind is the kind of a value.
type ValueKind uint8

// The kinds of values.
const (
	Text     ValueKind = iota // a string
	Quantity                  // a number with or without a unit
	Word
)

// Value is one value.
type Value struct {
	At    Pos
	Kind  ValueKind
	Raw   string // as it stands in the file
	lead  []Comment
	trail string
	fresh bool // begins a line
}

// Text returns what a string says, and any other value as it stands.
func (v Value) Text() string {
	if v.Kind == Text {
		return unquote(v.Raw)
	}
	return v.Raw
}

// Pos returns where the entry begins.
func (e *Include) Pos() Pos { return e.At }

// Pos returns where the entry begins.
func (e *Block) Pos() Pos { return e.At }

// Pos returns where the entry begins.
func (e *Setting) Pos() Pos { return e.At }

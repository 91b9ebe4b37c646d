package syntax

// File is one file's tree.
type File struct {
	Name             string
	Entries          []Entry
	TrailingComments []Comment // behind the last entry
}

// Comment is a comment on a line of its own.
type Comment struct {
	Text        string // with its #
	BlankBefore bool   // an empty line goes before it
}

// Entry is an *Include, a *Block or a *Setting.
type Entry interface {
	// Pos returns where the entry begins.
	Pos() Pos
	trivia() *Trivia
}

// Trivia is the comments and empty lines around an entry, which mean nothing.
type Trivia struct {
	LeadingComments []Comment // on the lines before it
	BlankBefore     bool      // an empty line goes before it, behind its comments
	LineComment     string    // on its last line
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
	At               Pos
	Keyword          string
	Label            *Value // nil: none
	OpenComment      string // behind the opening brace
	Entries          []Entry
	TrailingComments []Comment // before the closing brace
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
	StringValue   ValueKind = iota
	QuantityValue           // a number with or without a unit
	WordValue
)

// Value is one value.
type Value struct {
	At   Pos
	Kind ValueKind
	Raw  string // as it stands in the file

	leadingComments []Comment // on the lines before it, within a list
	lineComment     string    // behind the comma
	startsLine      bool
}

// Text returns what a string says, and any other value as it stands in the file.
func (v Value) Text() string {
	if v.Kind == StringValue {
		return unquote(v.Raw)
	}
	return v.Raw
}

// Pos returns where the include begins.
func (i *Include) Pos() Pos { return i.At }

// Pos returns where the block begins.
func (b *Block) Pos() Pos { return b.At }

// Pos returns where the setting begins.
func (s *Setting) Pos() Pos { return s.At }

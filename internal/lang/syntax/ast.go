package syntax

// File is the syntax tree of one file.
type File struct {
	Name             string
	Entries          []Entry
	TrailingComments []Comment // after the last entry
}

// Comment is a comment on a line of its own.
type Comment struct {
	Text        string // including the #
	BlankBefore bool   // an empty line precedes it
}

// Entry is an *Include, a *Block or a *Setting.
type Entry interface {
	// Pos returns the position at which the entry begins.
	Pos() Pos
	trivia() *Trivia
}

// Trivia contains the comments and empty lines around an entry. They have no meaning, but Format preserves them.
type Trivia struct {
	LeadingComments []Comment // on the lines before it
	BlankBefore     bool      // an empty line precedes it, after its leading comments
	LineComment     string    // at the end of its last line; "": none
}

func (t *Trivia) trivia() *Trivia { return t }

// Include is a statement that names files to read in addition.
type Include struct {
	Trivia
	At   Pos
	Path Value
}

// Block is a keyword with an optional label, followed by entries in braces.
type Block struct {
	Trivia
	At               Pos
	Keyword          string // the word that begins it
	Label            *Value // the string after the keyword; nil: none
	OpenComment      string // after the opening brace; "": none
	Entries          []Entry
	TrailingComments []Comment // before the closing brace
}

// Setting assigns one or more values to a name.
type Setting struct {
	Trivia
	At     Pos
	Name   string
	Values []Value
}

// ValueKind is the lexical kind of a value.
type ValueKind uint8

// The kinds of values.
const (
	StringValue   ValueKind = iota
	QuantityValue           // a number with or without a unit
	WordValue
)

// Value is one value of a setting, the label of a block or the path of an include.
type Value struct {
	At   Pos
	Kind ValueKind
	Raw  string // as written in the file

	leadingComments []Comment // on the lines before it, within a list
	lineComment     string    // after the comma; "": none
	startsLine      bool      // the first value on its line, within a list
}

// Text returns the text of a string, without quotes and with its escapes replaced. It returns any other value as it is
// written in the file.
func (v Value) Text() string {
	if v.Kind == StringValue {
		return unquote(v.Raw)
	}
	return v.Raw
}

// Pos returns the position at which the include begins.
func (i *Include) Pos() Pos { return i.At }

// Pos returns the position at which the block begins.
func (b *Block) Pos() Pos { return b.At }

// Pos returns the position at which the setting begins.
func (s *Setting) Pos() Pos { return s.At }

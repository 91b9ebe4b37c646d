package syntax

import (
	"strings"
	"unicode/utf8"
)

// kind is the kind of a token.
type kind uint8

const (
	eof kind = iota
	newline
	comment
	word
	text     // a string
	quantity // a number, with its unit where it has one
	mark     // one of { } = ,
	bad      // has been told as a fault
)

type token struct {
	kind kind
	pos  Pos
	raw  string // as it stands in the file
}

// is tells whether t is this mark.
func (t token) is(m string) bool { return t.kind == mark && t.raw == m }

// String names the token for a message.
func (t token) String() string {
	switch t.kind {
	case eof:
		return "the end of the file"
	case newline, comment:
		return "the end of the line"
	}
	if len(t.raw) > 40 {
		return t.raw[:strings.LastIndexFunc(t.raw[:40], func(r rune) bool { return r < utf8.RuneSelf })+1] + "..."
	}
	return t.raw
}

// The most bytes of a token. Together they keep a line that the formatter writes under MaxLine.
var (
	longest = [...]int{comment: 1024, word: 128, text: 1024, quantity: 128, bad: 0}
	names   = [...]string{word: "name", text: "string", quantity: "number", bad: ""}
)

// scanner cuts a file into tokens. Each byte that belongs to none is told once.
type scanner struct {
	src    *Source
	text   string
	at     int
	line   int
	col    int
	faults *Faults
}

func newScanner(src *Source, b []byte, faults *Faults) *scanner {
	s := &scanner{src: src, text: strings.TrimPrefix(string(b), "\uFEFF"), line: 1, col: 1, faults: faults}
	return s
}

func (s *scanner) pos() Pos { return Pos{s.src.Name, s.line, s.col} }

func (s *scanner) fault(pos Pos, format string, args ...any) {
	*s.faults = append(*s.faults, s.src.Fault(pos, format, args...))
}

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' }
func isDigit(c byte) bool  { return c >= '0' && c <= '9' }

// next returns the next token.
func (s *scanner) next() token {
	for s.at < len(s.text) && (s.text[s.at] == ' ' || s.text[s.at] == '\t' || s.atCRLF()) {
		s.at++
		s.col++
	}
	t := token{pos: s.pos()}
	if s.at >= len(s.text) {
		return t
	}
	begin, c := s.at, s.text[s.at]
	switch {
	case c == '\n':
		s.at++
		s.line, s.col = s.line+1, 1
		t.kind = newline
		return t
	case c == '#':
		t.kind = comment
		end := strings.IndexByte(s.text[s.at:], '\n')
		if end < 0 {
			end = len(s.text) - s.at
		}
		s.at += end
		t.raw = strings.TrimRight(s.text[begin:s.at], " \t\r")
		if len(t.raw) > longest[comment] {
			s.fault(t.pos, "a comment is longer than %d bytes", longest[comment])
			t.raw = "#"
		}
		for i, r := range t.raw {
			if r == utf8.RuneError || r < ' ' && r != '\t' || r == 0x7f {
				s.fault(Pos{s.src.Name, t.pos.Line, t.pos.Col + utf8.RuneCountInString(t.raw[:i])}, "a comment holds a byte that is no text")
				t.raw = strings.Map(func(r rune) rune {
					if r == utf8.RuneError || r < ' ' && r != '\t' || r == 0x7f {
						return -1
					}
					return r
				}, t.raw)
				break
			}
		}
		return t
	case c == '{' || c == '}' || c == '=' || c == ',':
		s.at++
		t.kind = mark
	case c == '"':
		t.kind = s.scanString(t.pos)
	case isLetter(c):
		t.kind = word
		for s.at < len(s.text) && (isLetter(s.text[s.at]) || isDigit(s.text[s.at]) || s.text[s.at] == '-') {
			s.at++
		}
	case isDigit(c), (c == '-' || c == '+') && s.at+1 < len(s.text) && isDigit(s.text[s.at+1]):
		t.kind = quantity
		for s.at++; s.at < len(s.text) && (isLetter(s.text[s.at]) || isDigit(s.text[s.at]) || strings.IndexByte("./%", s.text[s.at]) >= 0); s.at++ {
		}
	default:
		r, size := utf8.DecodeRuneInString(s.text[s.at:])
		s.at += size
		t.kind = bad
		switch {
		case r == utf8.RuneError && size < 2:
			s.fault(t.pos, "byte 0x%02x is not UTF-8", c)
		case r == 0xFEFF:
			s.fault(t.pos, "a byte order mark may only begin a file")
		case r < ' ' || r == 0x7f:
			s.fault(t.pos, "control character 0x%02x", c)
		default:
			s.fault(t.pos, "unexpected character %q", r)
		}
		for s.at < len(s.text) && s.text[s.at] == c { // a run of the same is one fault
			s.at++
		}
	}
	t.raw = s.text[begin:s.at]
	if most := longest[t.kind]; most > 0 && len(t.raw) > most {
		s.fault(t.pos, "a %s is longer than %d bytes", names[t.kind], most)
		t.kind = bad
	}
	s.col += utf8.RuneCountInString(t.raw)
	return t
}

// atCRLF tells whether a carriage return ends this line: it counts as white space.
func (s *scanner) atCRLF() bool {
	return s.text[s.at] == '\r' && s.at+1 < len(s.text) && s.text[s.at+1] == '\n'
}

// scanString takes in a string. One ends on the line on which it began.
func (s *scanner) scanString(pos Pos) kind {
	good := text
	for i := s.at + 1; i < len(s.text); {
		switch c := s.text[i]; {
		case c == '"':
			s.at = i + 1
			return good
		case c == '\n':
			s.at = i
			s.fault(pos, "a string does not end on its line")
			return bad
		case c == '\\' && i+1 < len(s.text) && s.text[i+1] != '\n':
			if strings.IndexByte(`"\nt`, s.text[i+1]) < 0 && good == text {
				s.fault(pos, `a string holds an unknown escape: \" \\ \n and \t are known`)
				good = bad
			}
			i += 2
		default:
			r, size := utf8.DecodeRuneInString(s.text[i:])
			if (r == utf8.RuneError && size < 2 || r < ' ' || r == 0x7f) && good == text {
				s.fault(pos, "a string holds a byte that is no text")
				good = bad
			}
			i += size
		}
	}
	s.at = len(s.text)
	s.fault(pos, "a string does not end on its line")
	return bad
}

// unquote returns what a string says.
func unquote(raw string) string {
	if !strings.Contains(raw, `\`) {
		return raw[1 : len(raw)-1]
	}
	var b strings.Builder
	for i := 1; i < len(raw)-1; i++ {
		if raw[i] != '\\' {
			b.WriteByte(raw[i])
			continue
		}
		i++
		switch raw[i] {
		case 'n':
			b.WriteByte('\n')
		case 't':
			b.WriteByte('\t')
		default:
			b.WriteByte(raw[i])
		}
	}
	return b.String()
}

// Quote returns s as a string of the language.
func Quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\t", `\t`).Replace(s) + `"`
}

package syntax

import (
	"strings"
	"unicode/utf8"
)

// tokenKind is the tokenKind of a token.
type tokenKind uint8

const (
	endOfFile tokenKind = iota
	newlineToken
	commentToken
	wordToken
	stringToken      // a string
	quantityToken    // a number, with its unit where it has one
	punctuationToken // one of { } = ,
	invalidToken     // has been told as a fault
)

type token struct {
	kind tokenKind
	pos  Pos
	raw  string // as it stands in the file
}

// is tells whether t is this mark.
func (t token) is(m string) bool { return t.kind == punctuationToken && t.raw == m }

// String names the token for a message.
func (t token) String() string {
	switch t.kind {
	case endOfFile:
		return "the end of the file"
	case newlineToken, commentToken:
		return "the end of the line"
	}
	if len(t.raw) > 40 {
		return t.raw[:strings.LastIndexFunc(t.raw[:40], func(r rune) bool { return r < utf8.RuneSelf })+1] + "..."
	}
	return t.raw
}

// The most bytes of a token. Together they keep a line that the formatter writes under MaxLine.
var (
	maxTokenBytes = [...]int{commentToken: 1024, wordToken: 128, stringToken: 1024, quantityToken: 128, invalidToken: 0}
	tokenNames    = [...]string{wordToken: "name", stringToken: "string", quantityToken: "number", invalidToken: ""}
)

// scanner cuts a file into tokens. Each byte that belongs to none is told once.
type scanner struct {
	source *Source
	text   string
	offset int
	line   int
	column int
	faults *Faults
}

func newScanner(src *Source, b []byte, faults *Faults) *scanner {
	s := &scanner{source: src, text: strings.TrimPrefix(string(b), "\uFEFF"), line: 1, column: 1, faults: faults}
	return s
}

func (s *scanner) pos() Pos { return Pos{s.source.Name, s.line, s.column} }

func (s *scanner) fault(pos Pos, format string, args ...any) {
	*s.faults = append(*s.faults, s.source.Fault(pos, format, args...))
}

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' }
func isDigit(c byte) bool  { return c >= '0' && c <= '9' }

// next returns the next token.
func (s *scanner) next() token {
	for s.offset < len(s.text) && (s.text[s.offset] == ' ' || s.text[s.offset] == '\t' || s.atCRLF()) {
		s.offset++
		s.column++
	}
	t := token{pos: s.pos()}
	if s.offset >= len(s.text) {
		return t
	}
	begin, c := s.offset, s.text[s.offset]
	switch {
	case c == '\n':
		s.offset++
		s.line, s.column = s.line+1, 1
		t.kind = newlineToken
		return t
	case c == '#':
		t.kind = commentToken
		end := strings.IndexByte(s.text[s.offset:], '\n')
		if end < 0 {
			end = len(s.text) - s.offset
		}
		s.offset += end
		t.raw = strings.TrimRight(s.text[begin:s.offset], " \t\r")
		if len(t.raw) > maxTokenBytes[commentToken] {
			s.fault(t.pos, "a comment is longer than %d bytes", maxTokenBytes[commentToken])
			t.raw = "#"
		}
		for i, r := range t.raw {
			if r == utf8.RuneError || r < ' ' && r != '\t' || r == 0x7f {
				s.fault(Pos{s.source.Name, t.pos.Line, t.pos.Col + utf8.RuneCountInString(t.raw[:i])}, "a comment holds a byte that is no text")
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
		s.offset++
		t.kind = punctuationToken
	case c == '"':
		t.kind = s.scanString(t.pos)
	case isLetter(c):
		t.kind = wordToken
		for s.offset < len(s.text) && (isLetter(s.text[s.offset]) || isDigit(s.text[s.offset]) || s.text[s.offset] == '-') {
			s.offset++
		}
	case isDigit(c), (c == '-' || c == '+') && s.offset+1 < len(s.text) && isDigit(s.text[s.offset+1]):
		t.kind = quantityToken
		for s.offset++; s.offset < len(s.text) && (isLetter(s.text[s.offset]) || isDigit(s.text[s.offset]) || strings.IndexByte("./%", s.text[s.offset]) >= 0); s.offset++ {
		}
	default:
		r, size := utf8.DecodeRuneInString(s.text[s.offset:])
		s.offset += size
		t.kind = invalidToken
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
		for s.offset < len(s.text) && s.text[s.offset] == c { // a run of the same is one fault
			s.offset++
		}
	}
	t.raw = s.text[begin:s.offset]
	if most := maxTokenBytes[t.kind]; most > 0 && len(t.raw) > most {
		s.fault(t.pos, "a %s is longer than %d bytes", tokenNames[t.kind], most)
		t.kind = invalidToken
	}
	s.column += utf8.RuneCountInString(t.raw)
	return t
}

// atCRLF tells whether a carriage return ends this line: it counts as white space.
func (s *scanner) atCRLF() bool {
	return s.text[s.offset] == '\r' && s.offset+1 < len(s.text) && s.text[s.offset+1] == '\n'
}

// scanString takes in a string. One ends on the line on which it began.
func (s *scanner) scanString(pos Pos) tokenKind {
	good := stringToken
	for i := s.offset + 1; i < len(s.text); {
		switch c := s.text[i]; {
		case c == '"':
			s.offset = i + 1
			return good
		case c == '\n':
			s.offset = i
			s.fault(pos, "a string does not end on its line")
			return invalidToken
		case c == '\\' && i+1 < len(s.text) && s.text[i+1] != '\n':
			if strings.IndexByte(`"\nt`, s.text[i+1]) < 0 && good == stringToken {
				s.fault(pos, `a string holds an unknown escape: \" \\ \n and \t are known`)
				good = invalidToken
			}
			i += 2
		default:
			r, size := utf8.DecodeRuneInString(s.text[i:])
			if (r == utf8.RuneError && size < 2 || r < ' ' || r == 0x7f) && good == stringToken {
				s.fault(pos, "a string holds a byte that is no text")
				good = invalidToken
			}
			i += size
		}
	}
	s.offset = len(s.text)
	s.fault(pos, "a string does not end on its line")
	return invalidToken
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

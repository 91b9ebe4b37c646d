package syntax

import (
	"strings"
	"unicode/utf8"
)

// The maximum lengths of tokens, in bytes. They are small enough that no line that Format writes is longer than
// MaxLineBytes.
const (
	maxCommentBytes  = 1024
	maxStringBytes   = 1024
	maxWordBytes     = 128
	maxQuantityBytes = 128
)

// byteOrderMark is allowed only at the start of a file, where it is skipped.
const byteOrderMark = '\uFEFF'

// withoutByteOrderMark returns a file's text without the byte order mark at its start, if there is one.
func withoutByteOrderMark(text []byte) string {
	return strings.TrimPrefix(string(text), string(byteOrderMark))
}

// deleteCharacter is the ASCII control character that follows the printable characters.
const deleteCharacter = 0x7f

// scanner splits a file into tokens. It reports each character that belongs to no token; a run of the same character is
// reported once.
type scanner struct {
	source *Source
	text   string
	offset int     // of the next byte
	line   int     // of the next byte, from 1
	column int     // of the next byte in characters, from 1
	faults *Faults // shared with the parser
}

func newScanner(source *Source, text []byte, faults *Faults) *scanner {
	return &scanner{
		source: source,
		text:   withoutByteOrderMark(text),
		line:   1,
		column: 1,
		faults: faults,
	}
}

func (s *scanner) position() Pos { return Pos{s.source.Name, s.line, s.column} }

func (s *scanner) reportFault(pos Pos, format string, args ...any) {
	*s.faults = append(*s.faults, s.source.FaultAt(pos, format, args...))
}

// atEnd reports whether all bytes have been read.
func (s *scanner) atEnd() bool { return s.offset >= len(s.text) }

// next returns the next token.
func (s *scanner) next() token {
	s.skipSpace()
	t := token{pos: s.position()}
	if s.atEnd() {
		return t // the zero token is the end of the file
	}
	switch s.text[s.offset] {
	case '\n':
		s.scanNewline()
		t.kind = newlineToken
	case '#':
		t.kind = commentToken
		t.raw = s.scanComment(t.pos)
	default:
		start := s.offset
		t.kind = s.scanWithinLine(t.pos)
		t.raw = s.text[start:s.offset]
		t.kind = s.checkLength(t)
		s.column += utf8.RuneCountInString(t.raw)
	}
	return t
}

// skipSpace skips spaces, tabs, and the carriage return of a line that ends in CR LF.
func (s *scanner) skipSpace() {
	for !s.atEnd() && s.atSpace() {
		s.offset++
		s.column++
	}
}

// atSpace reports whether the next byte separates tokens without ending the line.
func (s *scanner) atSpace() bool {
	next := s.text[s.offset]
	return next == ' ' || next == '\t' || strings.HasPrefix(s.text[s.offset:], "\r\n")
}

func (s *scanner) scanNewline() {
	s.offset++
	s.line++
	s.column = 1
}

// scanWithinLine scans a token other than a comment or a newline, and returns its kind.
func (s *scanner) scanWithinLine(pos Pos) tokenKind {
	switch c := s.text[s.offset]; {
	case strings.IndexByte("{}=,", c) >= 0:
		s.offset++
		return punctuationToken
	case c == '"':
		return s.scanString(pos)
	case isLetter(c):
		s.skipWhile(isWordByte)
		return wordToken
	case isDigit(c) || s.atSignedNumber():
		s.offset++
		s.skipWhile(isQuantityByte)
		return quantityToken
	default:
		s.scanUnexpected(pos)
		return invalidToken
	}
}

// atSignedNumber reports whether a number with a sign follows. The language has no signed numbers; they are scanned as
// one token so that the fault quotes the whole number.
func (s *scanner) atSignedNumber() bool {
	c := s.text[s.offset]
	return (c == '-' || c == '+') && s.offset+1 < len(s.text) && isDigit(s.text[s.offset+1])
}

// skipWhile skips bytes as long as they belong to a token.
func (s *scanner) skipWhile(belongs func(byte) bool) {
	for !s.atEnd() && belongs(s.text[s.offset]) {
		s.offset++
	}
}

// scanUnexpected reports and skips a character that can't begin a token. It also skips the following bytes that equal
// the character's first byte, so that a run of the same character is one fault.
func (s *scanner) scanUnexpected(pos Pos) {
	first := s.text[s.offset]
	r, size := utf8.DecodeRuneInString(s.text[s.offset:])
	s.offset += size
	switch {
	case isInvalidUTF8(r, size):
		s.reportFault(pos, "byte 0x%02x is not UTF-8", first)
	case r == byteOrderMark:
		s.reportFault(pos, "a byte order mark is allowed only at the start of a file")
	case isControl(r):
		s.reportFault(pos, "control character 0x%02x", first)
	default:
		s.reportFault(pos, "unexpected character %q", r)
	}
	s.skipWhile(func(c byte) bool { return c == first })
}

// tokenLengthLimit is the maximum length of the tokens of one kind.
type tokenLengthLimit struct {
	tokenName string // for faults
	maxBytes  int
}

// tokenLengthLimits lists the limits that checkLength applies, by the kind of token.
var tokenLengthLimits = map[tokenKind]tokenLengthLimit{
	wordToken:     {"name", maxWordBytes},
	stringToken:   {"string", maxStringBytes},
	quantityToken: {"number", maxQuantityBytes},
}

// checkLength returns the token's kind. If the token is too long, it reports a fault and returns invalidToken.
func (s *scanner) checkLength(t token) tokenKind {
	limit, limited := tokenLengthLimits[t.kind]
	if !limited || len(t.raw) <= limit.maxBytes {
		return t.kind
	}
	s.reportFault(t.pos, "a %s is longer than %d bytes", limit.tokenName, limit.maxBytes)
	return invalidToken
}

// scanComment scans a comment, up to the end of its line, and returns it without trailing white space and invalid
// characters. It returns "#" for a comment that is too long.
func (s *scanner) scanComment(pos Pos) string {
	start := s.offset
	s.skipWhile(func(c byte) bool { return c != '\n' })
	comment := strings.TrimRight(s.text[start:s.offset], " \t\r")
	if len(comment) > maxCommentBytes {
		s.reportFault(pos, "a comment is longer than %d bytes", maxCommentBytes)
		return "#"
	}
	invalid := strings.IndexFunc(comment, isInvalidInComment)
	if invalid < 0 {
		return comment
	}
	pos.Col += utf8.RuneCountInString(comment[:invalid])
	s.reportFault(pos, "a comment contains an invalid character")
	return removeInvalid(comment)
}

// isInvalidInComment reports whether a character is not allowed in a comment: a control character other than a tab, or
// the replacement character, which also represents bytes that are not UTF-8.
func isInvalidInComment(r rune) bool { return r == utf8.RuneError || isControl(r) && r != '\t' }

// removeInvalid removes the characters that are not allowed in a comment.
func removeInvalid(comment string) string {
	return strings.Map(func(r rune) rune {
		if isInvalidInComment(r) {
			return -1
		}
		return r
	}, comment)
}

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordByte(c byte) bool { return isLetter(c) || isDigit(c) || c == '-' }

func isQuantityByte(c byte) bool {
	return isLetter(c) || isDigit(c) || c == '.' || c == '/' || c == '%'
}

func isControl(r rune) bool { return r < ' ' || r == deleteCharacter }

// isInvalidUTF8 reports whether a rune that was decoded from size bytes represents a byte that is not valid UTF-8.
func isInvalidUTF8(r rune, size int) bool { return r == utf8.RuneError && size < 2 }

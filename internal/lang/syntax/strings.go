package syntax

import (
	"strings"
	"unicode/utf8"
)

// scanString scans a string and returns stringToken, or invalidToken after a fault. A string must end on the line on
// which it begins. Only its first invalid character is reported.
func (s *scanner) scanString(pos Pos) tokenKind {
	kind := stringToken
	s.offset++
	for !s.atEnd() {
		switch s.text[s.offset] {
		case '"':
			s.offset++
			return kind
		case '\n':
			s.reportFault(pos, "a string does not end on its line")
			return invalidToken
		}
		message := s.scanStringCharacter()
		if message != "" && kind == stringToken {
			s.reportFault(pos, "%s", message)
			kind = invalidToken
		}
	}
	s.reportFault(pos, "a string does not end on its line")
	return invalidToken
}

// escapedCharacters lists the characters that may follow a backslash.
const escapedCharacters = `"\nt`

// scanStringCharacter skips one character or escape of a string. It returns the message of a fault, or "" if there is
// none.
func (s *scanner) scanStringCharacter() string {
	rest := s.text[s.offset:]
	if rest[0] == '\\' && len(rest) > 1 && rest[1] != '\n' {
		s.offset += 2
		if strings.IndexByte(escapedCharacters, rest[1]) < 0 {
			return `unknown escape in a string: only \" \\ \n and \t are allowed`
		}
		return ""
	}
	r, size := utf8.DecodeRuneInString(rest)
	s.offset += size
	if isInvalidUTF8(r, size) || isControl(r) {
		return "a string contains invalid UTF-8 or a control character"
	}
	return ""
}

// unquote returns the text that a string token represents, without quotes and with its escapes replaced.
func unquote(raw string) string {
	text := raw[1 : len(raw)-1]
	if !strings.Contains(text, `\`) {
		return text
	}
	return unescaper.Replace(text)
}

// The replacements between escapes and the characters that they represent.
var (
	unescaper = strings.NewReplacer(`\\`, `\`, `\"`, `"`, `\n`, "\n", `\t`, "\t")
	escaper   = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\t", `\t`)
)

// Quote returns text as a string token, with quotes and escapes.
func Quote(text string) string { return `"` + escaper.Replace(text) + `"` }

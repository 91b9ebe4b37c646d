package syntax

import (
	"strings"
	"unicode/utf8"
)

// tokenKind is the kind of a token.
type tokenKind uint8

const (
	endOfFile tokenKind = iota
	newlineToken
	commentToken
	wordToken
	stringToken
	quantityToken    // a number, with its unit where it has one
	punctuationToken // one of { } = ,
	invalidToken     // reported as a fault by the scanner
)

// token is a lexical unit with its text as it stands in the file.
type token struct {
	kind tokenKind
	pos  Pos
	raw  string
}

// isPunctuation reports whether t is this punctuation mark.
func (t token) isPunctuation(mark string) bool { return t.kind == punctuationToken && t.raw == mark }

// isValue reports whether t is a value of a setting.
func (t token) isValue() bool {
	return t.kind == stringToken || t.kind == quantityToken || t.kind == wordToken
}

// maxTokenInMessage is how many bytes of a token a message quotes.
const maxQuotedTokenBytes = 40

// String names the token for a message.
func (t token) String() string {
	switch t.kind {
	case endOfFile:
		return "the end of the file"
	case newlineToken, commentToken:
		return "the end of the line"
	}
	if len(t.raw) <= maxQuotedTokenBytes {
		return t.raw
	}
	isASCII := func(r rune) bool { return r < utf8.RuneSelf }
	end := strings.LastIndexFunc(t.raw[:maxQuotedTokenBytes], isASCII) + 1 // so as not to cut a character
	return t.raw[:end] + "..."
}

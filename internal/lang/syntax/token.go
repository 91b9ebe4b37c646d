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
	quantityToken    // a number, with or without a unit
	punctuationToken // one of { } = ,
	invalidToken     // already reported as a fault by the scanner
)

// token is a lexical unit. Its field raw is the text as written in the file.
type token struct {
	kind tokenKind
	pos  Pos
	raw  string
}

// isPunctuation reports whether t is the given punctuation mark.
func (t token) isPunctuation(mark string) bool { return t.kind == punctuationToken && t.raw == mark }

// isValue reports whether t can be a value of a setting.
func (t token) isValue() bool {
	return t.kind == stringToken || t.kind == quantityToken || t.kind == wordToken
}

// maxQuotedTokenBytes is the number of bytes after which the text of a token is truncated in messages.
const maxQuotedTokenBytes = 40

// String describes the token in a message.
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
	end := strings.LastIndexFunc(t.raw[:maxQuotedTokenBytes], isASCII) + 1 // whole characters only
	return t.raw[:end] + "..."
}

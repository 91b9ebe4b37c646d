// Package syntax reads and writes the text of configuration files: scanner, parser, syntax tree and
// formatter, after the model of go/scanner, go/parser and go/printer. It knows the form of blocks and
// settings and nothing of what they mean; that is package lang's, which calls it.
//
// It imports the standard library alone and does no I/O. The grammar is published in
// docs/language.md; a test derives sentences from that text and hands them to the parser.
package syntax

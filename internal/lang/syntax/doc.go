// Package syntax reads and writes the text of configuration files: scanner, parser, syntax tree and formatter, on the
// model of go/scanner, go/parser and go/printer. It knows the form of blocks and settings; what they mean is package
// lang's, which calls it.
//
// Parse returns a tree of what could be read and all faults of a file, each at its position; Format writes a tree in
// the one form, with all comments. docs/language.md holds the grammar; a test derives sentences from that text and
// hands them to the parser.
//
// The package imports the standard library alone and does no I/O.
package syntax

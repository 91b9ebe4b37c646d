// Package syntax reads and writes the text of configuration files: scanner, parser, syntax tree and formatter, on the
// model of go/scanner, go/parser and go/printer. It knows the syntax of blocks and settings; package lang, which calls
// it, knows their meaning.
//
// Parse returns a tree of what could be parsed and all faults in a file's syntax, each at its position. Format writes a
// tree in canonical form, with all comments. docs/language.md has the grammar; a test derives sentences from that text
// and gives them to the parser.
//
// Where to find what:
//
//   - token.go, scanner.go, strings.go: text into tokens, and their limits
//   - ast.go, parser.go, parse_entry.go: tokens into the tree
//   - printer.go: the tree into text
//   - fault.go, source.go: positions, faults, and the lines that faults quote
//
// The package imports the standard library alone and does no I/O.
package syntax

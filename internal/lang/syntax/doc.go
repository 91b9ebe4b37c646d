// Package syntax reads and writes the text of configuration files: scanner, parser, syntax tree and formatter,
// modeled on go/scanner, go/parser and go/printer. It handles the syntax of blocks and settings; package lang, which
// calls it, handles their meaning.
//
// Parse returns a tree of what could be parsed, and all syntax faults in a file, each with its position. Format writes
// a tree in canonical form and keeps all comments. docs/language.md contains the grammar; a test derives sentences from
// that grammar and parses them.
//
// The files:
//
//   - token.go, scanner.go, strings.go: from text to tokens, and the limits on tokens
//   - ast.go, parser.go, parse_entry.go: from tokens to the tree
//   - printer.go: from the tree to text
//   - fault.go, source.go: positions, faults, and the lines that faults quote
//
// The package imports only the standard library and does no I/O.
package syntax

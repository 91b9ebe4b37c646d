package syntax

import "bytes"

// Parse parses a file; name is the file's name in positions. It always returns a tree of what could be parsed, the
// source that callers need to report further faults, and all syntax faults in the file.
func Parse(name string, text []byte) (*File, *Source, Faults) {
	if len(text) > MaxFileBytes {
		fault := Fault{Pos: Pos{name, 1, 1}, Msg: "the file is larger than 4 MiB"}
		return &File{Name: name}, NewSource(name, nil), Faults{fault}
	}
	source := NewSource(name, text)
	if line := findLongLine(text); line > 0 {
		fault := source.FaultAt(Pos{name, line, 1}, "the line is longer than 4096 bytes")
		return &File{Name: name}, source, Faults{fault}
	}
	var faults Faults
	p := &parser{scanner: newScanner(source, text, &faults)}
	p.advance()
	f := &File{Name: name}
	f.Entries, f.TrailingComments = p.parseEntries(0)
	return f, source, faults
}

// findLongLine returns the number of the first line that is longer than MaxLineBytes, or 0 if there is none.
func findLongLine(text []byte) int {
	number := 0
	for line := range bytes.Lines(text) {
		number++
		if len(bytes.TrimSuffix(line, []byte("\n"))) > MaxLineBytes {
			return number
		}
	}
	return 0
}

// parser is a recursive descent parser with one token of lookahead. After a fault it continues on the next line. The
// parameter depth of its methods is the number of blocks that enclose what is parsed.
type parser struct {
	scanner *scanner
	token   token
	stopped bool // after too many faults or too deep nesting: the rest of the file is ignored
}

// advance reads the next token. Once the parser has stopped, every token is the end of the file.
func (p *parser) advance() {
	p.token = p.scanner.next()
	if len(*p.scanner.faults) >= MaxFaults && !p.stopped {
		p.scanner.reportFault(p.token.pos, "too many faults; the rest of the file was not read")
		p.stopped = true
	}
	if p.stopped {
		p.token = token{kind: endOfFile, pos: p.token.pos}
	}
}

// stop makes the parser ignore the rest of the file, from pos on.
func (p *parser) stop(pos Pos) {
	p.stopped = true
	p.token = token{kind: endOfFile, pos: pos}
}

// reportFault reports a fault at a position, unless the parser has stopped.
func (p *parser) reportFault(pos Pos, format string, args ...any) {
	if !p.stopped {
		p.scanner.reportFault(pos, format, args...)
	}
}

// reportExpected reports what was expected in place of the current token, and skips the rest of its line.
func (p *parser) reportExpected(expected string) {
	if p.token.kind != invalidToken { // the scanner has already reported invalid tokens
		p.reportFault(p.token.pos, "expected %s, found %s", expected, p.token)
	}
	p.skipLine()
}

// skipLine skips the rest of the line, including the whole of any block that begins on it.
func (p *parser) skipLine() {
	for depth := 0; p.token.kind != endOfFile; p.advance() {
		switch {
		case p.token.isPunctuation("{"):
			depth++
		case p.token.isPunctuation("}"):
			if depth == 0 {
				return
			}
			depth--
		case p.token.kind == newlineToken && depth == 0:
			return
		}
	}
}

// skipNewline skips the end of a line and reports whether there was one.
func (p *parser) skipNewline() bool {
	if p.token.kind != newlineToken {
		return false
	}
	p.advance()
	return true
}

// takeComment returns the text of the current token and consumes it, if it is a comment. Otherwise it returns "".
func (p *parser) takeComment() string {
	if p.token.kind != commentToken {
		return ""
	}
	comment := p.token.raw
	p.advance()
	return comment
}

// atEndOfEntries reports whether the current token ends the file, or the block at this depth.
func (p *parser) atEndOfEntries(depth int) bool {
	return p.token.kind == endOfFile || depth > 0 && p.token.isPunctuation("}")
}

// entryParser parses the entries of a file or a block, together with the comments and empty lines between them.
type entryParser struct {
	*parser
	depth    int
	newlines int       // since the last entry or comment; two or more mean an empty line
	comments []Comment // since the last entry
	entries  []Entry
}

// parseEntries parses the entries of a file, or of a block at this depth, up to its end. It also returns the comments
// after the last entry.
func (p *parser) parseEntries(depth int) ([]Entry, []Comment) {
	r := &entryParser{parser: p, depth: depth}
	for !p.atEndOfEntries(depth) {
		switch {
		case p.skipNewline():
			r.newlines++
		case p.token.kind == commentToken:
			r.parseComment()
		case p.token.isPunctuation("}"):
			p.reportFault(p.token.pos, "unexpected closing brace: no block is open")
			p.advance()
		default:
			r.parseEntryWithTrivia()
		}
	}
	return r.entries, r.comments
}

// parseComment parses a comment on a line of its own.
func (r *entryParser) parseComment() {
	r.comments = append(r.comments, Comment{Text: r.token.raw, BlankBefore: r.newlines > 1})
	r.newlines = 0
	r.advance()
	r.endLine()
}

// parseEntryWithTrivia parses an entry and the end of its line, and attaches the comments and empty lines around it.
func (r *entryParser) parseEntryWithTrivia() {
	blankBefore := r.newlines > 1
	r.newlines = 0
	entry := r.parseEntry(r.depth)
	if entry == nil {
		r.endLine()
		return
	}
	t := entry.trivia()
	t.LeadingComments = r.comments
	t.BlankBefore = blankBefore
	r.comments = nil
	r.entries = append(r.entries, entry)
	if comment := r.takeComment(); comment != "" {
		t.LineComment = comment
	}
	if !r.endLine() && !r.atEndOfEntries(r.depth) {
		r.reportExpected("the end of the line")
	}
}

// endLine skips the end of the line, if it is the current token, and reports whether it was.
func (r *entryParser) endLine() bool {
	if !r.skipNewline() {
		return false
	}
	r.newlines = 1
	return true
}

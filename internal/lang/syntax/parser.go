package syntax

import "bytes"

// Parse reads a file. It always returns a tree, of what could be read, and all faults that it found.
func Parse(name string, b []byte) (*File, *Source, Faults) {
	var faults Faults
	if len(b) > MaxBytes {
		src := NewSource(name, nil)
		return &File{Name: name}, src, Faults{{Pos: Pos{name, 1, 1}, Msg: "the file is larger than 4 MiB"}}
	}
	src := NewSource(name, b)
	for i, rest := 1, b; len(rest) > 0; i++ {
		line, after, _ := bytes.Cut(rest, []byte("\n"))
		if len(line) > MaxLine {
			return &File{Name: name}, src, Faults{src.Fault(Pos{name, i, 1}, "the line is longer than 4096 bytes")}
		}
		rest = after
	}
	p := &parser{scanner: newScanner(src, b, &faults)}
	p.advance()
	f := &File{Name: name}
	f.Entries, f.TrailingComments = p.parseEntries(0)
	return f, src, faults
}

// parser is a recursive descent over the tokens, with one token in hand. It goes on behind a fault.
type parser struct {
	scanner *scanner
	token   token
	stopped bool // too many faults, or too deep: nothing more is read
}

func (p *parser) advance() {
	p.token = p.scanner.next()
	if len(*p.scanner.faults) >= MaxFaults && !p.stopped {
		p.scanner.fault(p.token.pos, "too many faults; the rest of the file was not read")
		p.stopped = true
	}
	if p.stopped {
		p.token = token{kind: endOfFile, pos: p.token.pos}
	}
}

func (p *parser) fault(pos Pos, format string, args ...any) {
	if !p.stopped {
		p.scanner.fault(pos, format, args...)
	}
}

// reportExpected tells what should have stood in place of the token in hand, and skips its line.
func (p *parser) reportExpected(what string) {
	if p.token.kind != invalidToken { // the scanner has told
		p.fault(p.token.pos, "expected %s, found %s", what, p.token)
	}
	p.skipLine()
}

// skipLine goes to the end of the line; a block that begins on it is skipped whole.
func (p *parser) skipLine() {
	for depth := 0; p.token.kind != endOfFile; p.advance() {
		switch {
		case p.token.is("{"):
			depth++
		case p.token.is("}"):
			if depth == 0 {
				return
			}
			depth--
		case p.token.kind == newlineToken && depth == 0:
			return
		}
	}
}

// parseEntries reads what a file, or a block at this depth, holds, up to its end.
func (p *parser) parseEntries(depth int) (list []Entry, tail []Comment) {
	var lead []Comment
	empty := 0 // lines that held nothing
	for {
		switch {
		case p.token.kind == newlineToken:
			empty++
			p.advance()
			continue
		case p.token.kind == commentToken:
			lead = append(lead, Comment{p.token.raw, empty > 1})
			empty = 0
			p.advance()
			if p.token.kind == newlineToken {
				p.advance()
				empty = 1
			}
			continue
		case p.token.kind == endOfFile, p.token.is("}") && depth > 0:
			return list, lead
		case p.token.is("}"):
			p.fault(p.token.pos, "a closing brace with no block to close")
			p.advance()
			continue
		}
		blank := empty > 1
		empty = 0
		e := p.parseEntry(depth)
		if e == nil {
			if p.token.kind == newlineToken {
				p.advance()
				empty = 1
			}
			continue
		}
		t := e.trivia()
		t.LeadingComments, t.BlankBefore, lead = lead, blank, nil
		list = append(list, e)
		if p.token.kind == commentToken {
			t.LineComment = p.token.raw
			p.advance()
		}
		switch {
		case p.token.kind == newlineToken:
			p.advance()
			empty = 1
		case p.token.kind != endOfFile && !(p.token.is("}") && depth > 0):
			p.reportExpected("the end of the line")
		}
	}
}

// parseEntry reads an include, a block or a setting.
func (p *parser) parseEntry(depth int) Entry {
	at := p.token.pos
	if p.token.kind != wordToken {
		if depth == 0 {
			p.reportExpected("a block or an include")
		} else {
			p.reportExpected("a setting or a block")
		}
		return nil
	}
	name := p.token.raw
	p.advance()
	if name == "include" && depth == 0 {
		if p.token.kind != stringToken {
			p.reportExpected("the path of a file in quotes")
			return nil
		}
		return &Include{At: at, Path: p.parseValue()}
	}
	if p.token.is("=") {
		if depth == 0 {
			p.fault(at, "a setting stands in a block: %s is outside of any", name)
			p.skipLine()
			return nil
		}
		p.advance()
		return p.parseSetting(at, name)
	}
	b := &Block{At: at, Word: name}
	if p.token.kind == stringToken {
		v := p.parseValue()
		b.Label = &v
	}
	if !p.token.is("{") {
		if b.Label == nil && depth > 0 {
			p.reportExpected("= or {")
		} else {
			p.reportExpected("{")
		}
		return nil
	}
	if depth+1 > MaxDepth {
		p.fault(at, "blocks are nested more than %d deep; the rest of the file was not read", MaxDepth)
		p.stopped = true
		p.token = token{kind: endOfFile, pos: at}
		return nil
	}
	p.advance()
	if p.token.kind == commentToken {
		b.OpenComment = p.token.raw
		p.advance()
	}
	if p.token.kind == newlineToken {
		p.advance()
	}
	b.Entries, b.TrailingComments = p.parseEntries(depth + 1)
	if !p.token.is("}") {
		p.fault(at, "the block %s is not closed", name)
		return b
	}
	p.advance()
	return b
}

// parseSetting reads a parseSetting's values: a list goes on behind a comma, on the next lines too.
func (p *parser) parseSetting(at Pos, name string) Entry {
	s := &Setting{At: at, Name: name}
	for {
		var lead []Comment
		fresh := false
		for len(s.Values) > 0 && (p.token.kind == newlineToken || p.token.kind == commentToken) {
			if p.token.kind == commentToken {
				lead = append(lead, Comment{Text: p.token.raw})
			}
			fresh = true
			p.advance()
		}
		if p.token.kind != stringToken && p.token.kind != quantityToken && p.token.kind != wordToken {
			p.reportExpected("a value")
			return nil
		}
		v := p.parseValue()
		v.leadingComments, v.startsLine = lead, fresh
		more := p.token.is(",")
		if more {
			if p.advance(); p.token.kind == commentToken {
				v.lineComment = p.token.raw
				p.advance()
			}
		}
		s.Values = append(s.Values, v)
		if !more {
			return s
		}
	}
}

// parseValue takes the token in hand as a parseValue.
func (p *parser) parseValue() Value {
	v := Value{At: p.token.pos, Raw: p.token.raw, Kind: map[tokenKind]ValueKind{stringToken: StringValue, quantityToken: QuantityValue, wordToken: WordValue}[p.token.kind]}
	p.advance()
	return v
}

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
	p := &parser{scan: newScanner(src, b, &faults)}
	p.step()
	f := &File{Name: name}
	f.Entries, f.Tail = p.entries(0)
	return f, src, faults
}

// parser is a recursive descent over the tokens, with one token in hand. It goes on behind a fault.
type parser struct {
	scan *scanner
	tok  token
	full bool // too many faults, or too deep: nothing more is read
}

func (p *parser) step() {
	p.tok = p.scan.next()
	if len(*p.scan.faults) >= MaxFaults && !p.full {
		p.scan.fault(p.tok.pos, "too many faults; the rest of the file was not read")
		p.full = true
	}
	if p.full {
		p.tok = token{kind: eof, pos: p.tok.pos}
	}
}

func (p *parser) fault(pos Pos, format string, args ...any) {
	if !p.full {
		p.scan.fault(pos, format, args...)
	}
}

// expected tells what should have stood in place of the token in hand, and skips its line.
func (p *parser) expected(what string) {
	if p.tok.kind != bad { // the scanner has told
		p.fault(p.tok.pos, "expected %s, found %s", what, p.tok)
	}
	p.skip()
}

// skip goes to the end of the line; a block that begins on it is skipped whole.
func (p *parser) skip() {
	for depth := 0; p.tok.kind != eof; p.step() {
		switch {
		case p.tok.is("{"):
			depth++
		case p.tok.is("}"):
			if depth == 0 {
				return
			}
			depth--
		case p.tok.kind == newline && depth == 0:
			return
		}
	}
}

// entries reads what a file, or a block at this depth, holds, up to its end.
func (p *parser) entries(depth int) (list []Entry, tail []Comment) {
	var lead []Comment
	empty := 0 // lines that held nothing
	for {
		switch {
		case p.tok.kind == newline:
			empty++
			p.step()
			continue
		case p.tok.kind == comment:
			lead = append(lead, Comment{p.tok.raw, empty > 1})
			empty = 0
			p.step()
			if p.tok.kind == newline {
				p.step()
				empty = 1
			}
			continue
		case p.tok.kind == eof, p.tok.is("}") && depth > 0:
			return list, lead
		case p.tok.is("}"):
			p.fault(p.tok.pos, "a closing brace with no block to close")
			p.step()
			continue
		}
		blank := empty > 1
		empty = 0
		e := p.entry(depth)
		if e == nil {
			if p.tok.kind == newline {
				p.step()
				empty = 1
			}
			continue
		}
		t := e.trivia()
		t.Lead, t.Blank, lead = lead, blank, nil
		list = append(list, e)
		if p.tok.kind == comment {
			t.Trail = p.tok.raw
			p.step()
		}
		switch {
		case p.tok.kind == newline:
			p.step()
			empty = 1
		case p.tok.kind != eof && !(p.tok.is("}") && depth > 0):
			p.expected("the end of the line")
		}
	}
}

// entry reads an include, a block or a setting.
func (p *parser) entry(depth int) Entry {
	at := p.tok.pos
	if p.tok.kind != word {
		if depth == 0 {
			p.expected("a block or an include")
		} else {
			p.expected("a setting or a block")
		}
		return nil
	}
	name := p.tok.raw
	p.step()
	if name == "include" && depth == 0 {
		if p.tok.kind != text {
			p.expected("the path of a file in quotes")
			return nil
		}
		return &Include{At: at, Path: p.value()}
	}
	if p.tok.is("=") {
		if depth == 0 {
			p.fault(at, "a setting stands in a block: %s is outside of any", name)
			p.skip()
			return nil
		}
		p.step()
		return p.setting(at, name)
	}
	b := &Block{At: at, Word: name}
	if p.tok.kind == text {
		v := p.value()
		b.Label = &v
	}
	if !p.tok.is("{") {
		if b.Label == nil && depth > 0 {
			p.expected("= or {")
		} else {
			p.expected("{")
		}
		return nil
	}
	if depth+1 > MaxDepth {
		p.fault(at, "blocks are nested more than %d deep; the rest of the file was not read", MaxDepth)
		p.full = true
		p.tok = token{kind: eof, pos: at}
		return nil
	}
	p.step()
	if p.tok.kind == comment {
		b.Open = p.tok.raw
		p.step()
	}
	if p.tok.kind == newline {
		p.step()
	}
	b.Entries, b.Tail = p.entries(depth + 1)
	if !p.tok.is("}") {
		p.fault(at, "the block %s is not closed", name)
		return b
	}
	p.step()
	return b
}

// setting reads a setting's values: a list goes on behind a comma, on the next lines too.
func (p *parser) setting(at Pos, name string) Entry {
	s := &Setting{At: at, Name: name}
	for {
		var lead []Comment
		fresh := false
		for len(s.Values) > 0 && (p.tok.kind == newline || p.tok.kind == comment) {
			if p.tok.kind == comment {
				lead = append(lead, Comment{Text: p.tok.raw})
			}
			fresh = true
			p.step()
		}
		if p.tok.kind != text && p.tok.kind != quantity && p.tok.kind != word {
			p.expected("a value")
			return nil
		}
		v := p.value()
		v.lead, v.fresh = lead, fresh
		more := p.tok.is(",")
		if more {
			if p.step(); p.tok.kind == comment {
				v.trail = p.tok.raw
				p.step()
			}
		}
		s.Values = append(s.Values, v)
		if !more {
			return s
		}
	}
}

// value takes the token in hand as a value.
func (p *parser) value() Value {
	v := Value{At: p.tok.pos, Raw: p.tok.raw, Kind: map[kind]ValueKind{text: Text, quantity: Quantity, word: Word}[p.tok.kind]}
	p.step()
	return v
}

package syntax

import "strings"

// Format returns a file's text in the one form: an entry a line, blocks indented by tabs, one space round
// an equals sign, at most one empty line between entries, all comments kept. Formatting it again changes
// nothing.
func Format(f *File) []byte {
	p := &printer{}
	p.entries(f.Entries, f.Tail, 0)
	return []byte(p.b.String())
}

type printer struct {
	b     strings.Builder
	begun bool // something stands above in this block
}

// blank writes an empty line, but not where a block or the file begins.
func (p *printer) blank(wanted bool) {
	if wanted && p.begun {
		p.b.WriteByte('\n')
	}
	p.begun = true
}

func (p *printer) line(depth int, parts ...string) {
	for range depth {
		p.b.WriteByte('\t')
	}
	for _, s := range parts {
		p.b.WriteString(s)
	}
	p.b.WriteByte('\n')
}

func (p *printer) comments(list []Comment, depth int) {
	for _, c := range list {
		p.blank(c.Blank)
		p.line(depth, c.Text)
	}
}

func (p *printer) entries(list []Entry, tail []Comment, depth int) {
	for _, e := range list {
		t := e.trivia()
		p.comments(t.Lead, depth)
		p.blank(t.Blank)
		trail := ""
		if t.Trail != "" {
			trail = " " + t.Trail
		}
		switch e := e.(type) {
		case *Include:
			p.line(depth, "include ", e.Path.Raw, trail)
		case *Setting:
			p.setting(e, depth, trail)
		case *Block:
			p.block(e, depth, trail)
		}
	}
	p.comments(tail, depth)
}

func (p *printer) block(b *Block, depth int, trail string) {
	head := b.Word
	if b.Label != nil {
		head += " " + b.Label.Raw
	}
	if len(b.Entries) == 0 && len(b.Tail) == 0 && b.Open == "" {
		p.line(depth, head, " {}", trail)
		return
	}
	open := ""
	if b.Open != "" {
		open = " " + b.Open
	}
	p.line(depth, head, " {", open)
	p.begun = false
	p.entries(b.Entries, b.Tail, depth+1)
	p.begun = true
	p.line(depth, "}", trail)
}

// wrapAt is the length in bytes beyond which a list goes on in a further line.
const wrapAt = 100

// setting writes a list with the line breaks that it came with, and further ones where it is long.
func (p *printer) setting(s *Setting, depth int, trail string) {
	in := strings.Repeat("\t", depth+1)
	p.b.WriteString(in[1:])
	p.b.WriteString(s.Name + " =")
	length := depth + len(s.Name) + 2
	for i, v := range s.Values {
		if i > 0 && (v.fresh || length+len(v.Raw)+2 > wrapAt) {
			p.b.WriteByte('\n')
			for _, c := range v.lead {
				p.b.WriteString(in + c.Text + "\n")
			}
			p.b.WriteString(in)
			length = depth + 1
		} else {
			p.b.WriteByte(' ')
			length++
		}
		p.b.WriteString(v.Raw)
		length += len(v.Raw) + 1
		if i < len(s.Values)-1 {
			p.b.WriteByte(',')
		}
		if v.trail != "" {
			p.b.WriteString(" " + v.trail)
		}
	}
	p.b.WriteString(trail + "\n")
}

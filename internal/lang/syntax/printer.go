package syntax

import "strings"

// Format returns a file's text in the one form: an entry a line, blocks indented by tabs, one space round
// an equals sign, at most one empty line between entries, all comments kept. Formatting it again changes
// nothing.
func Format(f *File) []byte {
	p := &printer{}
	p.entries(f.Entries, f.TrailingComments, 0)
	return []byte(p.text.String())
}

type printer struct {
	text           strings.Builder
	needsSeparator bool // something stands above in this block
}

// blankLine writes an empty line, but not where a block or the file begins.
func (p *printer) blankLine(wanted bool) {
	if wanted && p.needsSeparator {
		p.text.WriteByte('\n')
	}
	p.needsSeparator = true
}

func (p *printer) line(depth int, parts ...string) {
	for range depth {
		p.text.WriteByte('\t')
	}
	for _, s := range parts {
		p.text.WriteString(s)
	}
	p.text.WriteByte('\n')
}

func (p *printer) comments(list []Comment, depth int) {
	for _, c := range list {
		p.blankLine(c.BlankBefore)
		p.line(depth, c.Text)
	}
}

func (p *printer) entries(list []Entry, tail []Comment, depth int) {
	for _, e := range list {
		t := e.trivia()
		p.comments(t.LeadingComments, depth)
		p.blankLine(t.BlankBefore)
		trail := ""
		if t.LineComment != "" {
			trail = " " + t.LineComment
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
	if len(b.Entries) == 0 && len(b.TrailingComments) == 0 && b.OpenComment == "" {
		p.line(depth, head, " {}", trail)
		return
	}
	open := ""
	if b.OpenComment != "" {
		open = " " + b.OpenComment
	}
	p.line(depth, head, " {", open)
	p.needsSeparator = false
	p.entries(b.Entries, b.TrailingComments, depth+1)
	p.needsSeparator = true
	p.line(depth, "}", trail)
}

// maxListLine is the length in bytes beyond which a list goes on in a further line.
const maxListLine = 100

// setting writes a list with the line breaks that it came with, and further ones where it is long.
func (p *printer) setting(s *Setting, depth int, trail string) {
	in := strings.Repeat("\t", depth+1)
	p.text.WriteString(in[1:])
	p.text.WriteString(s.Name + " =")
	length := depth + len(s.Name) + 2
	for i, v := range s.Values {
		if i > 0 && (v.startsLine || length+len(v.Raw)+2 > maxListLine) {
			p.text.WriteByte('\n')
			for _, c := range v.leadingComments {
				p.text.WriteString(in + c.Text + "\n")
			}
			p.text.WriteString(in)
			length = depth + 1
		} else {
			p.text.WriteByte(' ')
			length++
		}
		p.text.WriteString(v.Raw)
		length += len(v.Raw) + 1
		if i < len(s.Values)-1 {
			p.text.WriteByte(',')
		}
		if v.lineComment != "" {
			p.text.WriteString(" " + v.lineComment)
		}
	}
	p.text.WriteString(trail + "\n")
}

package syntax

import "strings"

// Format returns a file's text in canonical form: one entry per line, blocks indented by tabs, one space around an
// equals sign, at most one empty line between entries, and all comments. Formatting is idempotent.
func Format(f *File) []byte {
	p := &printer{}
	p.writeEntries(f.Entries, f.TrailingComments, 0)
	return []byte(p.text.String())
}

// printer writes a tree. The parameter depth of its methods is the number of blocks that enclose what is written.
type printer struct {
	text             strings.Builder
	blankLineAllowed bool // an earlier line was written in this block, so an empty line may follow it
}

// writeBlankLine writes an empty line if it is wanted, but never at the start of a block or the file. It must be called
// before each comment or entry.
func (p *printer) writeBlankLine(wanted bool) {
	if wanted && p.blankLineAllowed {
		p.text.WriteByte('\n')
	}
	p.blankLineAllowed = true
}

// writeLine writes an indented line that consists of the given parts.
func (p *printer) writeLine(depth int, parts ...string) {
	p.text.WriteString(indentation(depth))
	for _, part := range parts {
		p.text.WriteString(part)
	}
	p.text.WriteByte('\n')
}

func (p *printer) writeComments(comments []Comment, depth int) {
	for _, c := range comments {
		p.writeBlankLine(c.BlankBefore)
		p.writeLine(depth, c.Text)
	}
}

func (p *printer) writeEntries(entries []Entry, trailingComments []Comment, depth int) {
	for _, entry := range entries {
		t := entry.trivia()
		p.writeComments(t.LeadingComments, depth)
		p.writeBlankLine(t.BlankBefore)
		lineComment := withLeadingSpace(t.LineComment)
		switch entry := entry.(type) {
		case *Include:
			p.writeLine(depth, includeKeyword, " ", entry.Path.Raw, lineComment)
		case *Setting:
			p.writeSetting(entry, depth, lineComment)
		case *Block:
			p.writeBlock(entry, depth, lineComment)
		}
	}
	p.writeComments(trailingComments, depth)
}

func (p *printer) writeBlock(b *Block, depth int, lineComment string) {
	head := b.Keyword
	if b.Label != nil {
		head += " " + b.Label.Raw
	}
	if len(b.Entries) == 0 && len(b.TrailingComments) == 0 && b.OpenComment == "" {
		p.writeLine(depth, head, " {}", lineComment)
		return
	}
	p.writeLine(depth, head, " {", withLeadingSpace(b.OpenComment))
	p.blankLineAllowed = false
	p.writeEntries(b.Entries, b.TrailingComments, depth+1)
	p.blankLineAllowed = true
	p.writeLine(depth, "}", lineComment)
}

// maxListLineBytes is the length of a line, in bytes, beyond which a list continues on the next line.
const maxListLineBytes = 100

// writeSetting writes a setting. It keeps the line breaks of a list, and adds line breaks to a list that is too long
// for one line.
func (p *printer) writeSetting(s *Setting, depth int, lineComment string) {
	p.text.WriteString(indentation(depth) + s.Name + " =")
	length := depth + len(s.Name) + len(" =")
	for i, v := range s.Values {
		tooLong := length+len(v.Raw)+len(" ,") > maxListLineBytes
		if i > 0 && (v.startsLine || tooLong) {
			p.writeListLineBreak(v.leadingComments, depth+1)
			length = depth + 1
		} else {
			p.text.WriteByte(' ')
			length++
		}
		p.text.WriteString(v.Raw)
		length += len(v.Raw) + len(",")
		if i < len(s.Values)-1 {
			p.text.WriteByte(',')
		}
		p.text.WriteString(withLeadingSpace(v.lineComment))
	}
	p.text.WriteString(lineComment + "\n")
}

// writeListLineBreak ends a line of a list and starts the next one. It writes comments on lines of their own in
// between.
func (p *printer) writeListLineBreak(comments []Comment, depth int) {
	p.text.WriteByte('\n')
	for _, c := range comments {
		p.writeLine(depth, c.Text)
	}
	p.text.WriteString(indentation(depth))
}

func indentation(depth int) string { return strings.Repeat("\t", depth) }

// withLeadingSpace returns a comment with a space before it, or "" if there is no comment.
func withLeadingSpace(comment string) string {
	if comment == "" {
		return ""
	}
	return " " + comment
}

package syntax

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"
)

// drawEntries draws the entries of a file or a block, with comments and empty lines in all positions.
func drawEntries(t *rapid.T, depth int) (entries []Entry, trailingComments []Comment) {
	for range rapid.IntRange(0, 4).Draw(t, "entries") {
		trivia := Trivia{LeadingComments: drawComments(t, "leading comments"), BlankBefore: rapid.Bool().Draw(t, "blank")}
		if rapid.Bool().Draw(t, "line comment") {
			trivia.LineComment = drawComment(t)
		}
		form := rapid.IntRange(0, 3).Draw(t, "form")
		switch {
		case depth == 0 && form == 0:
			entries = append(entries, &Include{Trivia: trivia, Path: drawValue(t, StringValue)})
		case depth > 0 && form < 3 || depth >= 4:
			entries = append(entries, &Setting{Trivia: trivia, Name: drawWord(t), Values: drawList(t)})
		default:
			entries = append(entries, drawBlock(t, trivia, depth))
		}
	}
	return entries, drawComments(t, "trailing comments")
}

func drawBlock(t *rapid.T, trivia Trivia, depth int) *Block {
	b := &Block{Trivia: trivia, Keyword: drawWord(t)}
	if rapid.Bool().Draw(t, "label") {
		label := drawValue(t, StringValue)
		b.Label = &label
	}
	if rapid.Bool().Draw(t, "open comment") {
		b.OpenComment = drawComment(t)
	}
	b.Entries, b.TrailingComments = drawEntries(t, depth+1)
	return b
}

// drawList draws a setting's values, with line breaks and comments between them.
func drawList(t *rapid.T) []Value {
	var values []Value
	for i := range rapid.IntRange(1, 12).Draw(t, "values") {
		v := drawValue(t, ValueKind(rapid.IntRange(0, 2).Draw(t, "kind")))
		v.startsLine = i > 0 && rapid.IntRange(0, 3).Draw(t, "starts line") == 0
		if v.startsLine {
			v.leadingComments = drawComments(t, "comments in list")
			for j := range v.leadingComments {
				v.leadingComments[j].BlankBefore = false
			}
		}
		values = append(values, v)
	}
	for i := range values[1:] {
		if values[i+1].startsLine && rapid.Bool().Draw(t, "value's comment") {
			values[i].lineComment = drawComment(t)
		}
	}
	return values
}

func drawComments(t *rapid.T, label string) []Comment {
	var comments []Comment
	for range rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, label) {
		comments = append(comments, Comment{Text: drawComment(t), BlankBefore: rapid.Bool().Draw(t, "blank")})
	}
	return comments
}

func drawWord(t *rapid.T) string {
	w := rapid.StringMatching(`[a-z][a-z0-9-]{0,12}`).Draw(t, "word")
	if w == "include" {
		return "included"
	}
	return w
}

func drawComment(t *rapid.T) string {
	return strings.TrimRight(rapid.StringMatching(`#[ -~é]{0,20}`).Draw(t, "comment"), " ")
}

func drawValue(t *rapid.T, k ValueKind) Value {
	switch k {
	case StringValue:
		return Value{Kind: k, Raw: Quote(rapid.StringMatching(`[ -~é\n\t]{0,30}`).Draw(t, "string"))}
	case QuantityValue:
		return Value{Kind: k, Raw: rapid.StringMatching(`[0-9]{1,3}(\.[0-9])?(ms|s|%|/s|MiB)?`).Draw(t, "quantity")}
	}
	return Value{Kind: k, Raw: drawWord(t)}
}

// checkFormatting checks that formatting a tree keeps its meaning and its comments, and that formatting the result
// again changes nothing.
func checkFormatting(t rapid.TB, f *File) {
	t.Helper()
	formatted := Format(f)
	reparsed, _, faults := Parse(f.Name, formatted)
	if len(faults) > 0 {
		t.Fatalf("formatted text has faults: %v\n%s", faults, formatted)
	}
	if a, b := meaning(f.Entries), meaning(reparsed.Entries); a != b {
		t.Fatalf("formatting changed the meaning:\n%s\n%s", a, b)
	}
	if a, b := commentsOf(f.Entries, f.TrailingComments), commentsOf(reparsed.Entries, reparsed.TrailingComments); a != b {
		t.Fatalf("formatting lost or moved comments:\n%s\n%s", a, b)
	}
	if reformatted := Format(reparsed); string(reformatted) != string(formatted) {
		t.Fatalf("formatting is not idempotent:\n%s\n---\n%s", formatted, reformatted)
	}
}

// meaning returns a text representation of a tree without its comments and empty lines.
func meaning(list []Entry) string {
	s := ""
	for _, e := range list {
		switch e := e.(type) {
		case *Include:
			s += "include " + e.Path.Raw + ";"
		case *Setting:
			s += e.Name + "="
			for _, v := range e.Values {
				s += fmt.Sprintf("%d:%s,", v.Kind, v.Raw)
			}
		case *Block:
			s += e.Keyword
			if e.Label != nil {
				s += " " + e.Label.Raw
			}
			s += "{" + meaning(e.Entries) + "}"
		}
		s += ";"
	}
	return s
}

// commentsOf lists the comments of a tree in order.
func commentsOf(list []Entry, trailingComments []Comment) string {
	s := ""
	add := func(cs []Comment) {
		for _, c := range cs {
			s += c.Text + "\n"
		}
	}
	for _, e := range list {
		add(e.trivia().LeadingComments)
		switch e := e.(type) {
		case *Setting:
			for _, v := range e.Values {
				add(v.leadingComments)
				add([]Comment{{Text: v.lineComment}})
			}
		case *Block:
			s += e.OpenComment + "\n" + commentsOf(e.Entries, e.TrailingComments)
		}
		s += e.trivia().LineComment + "\n"
	}
	add(trailingComments)
	return s
}

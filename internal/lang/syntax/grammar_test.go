package syntax

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"unicode"

	"pgregory.net/rapid"
)

// grammarExpr is a part of a production: an alternative, a sequence, an option, a repetition, a range, a name
// or a literal.
type grammarExpr struct {
	op    string
	text  string
	parts []grammarExpr
}

// grammarReader reads the productions of the published grammar.
type grammarReader struct {
	t    testing.TB
	toks []string
}

func readGrammar(t testing.TB) map[string]grammarExpr {
	page, err := os.ReadFile("../../../docs/language.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, ok := strings.Cut(string(page), "```ebnf\n")
	text, _, end := strings.Cut(rest, "```")
	if !ok || !end {
		t.Fatal("docs/language.md holds no grammar")
	}
	g := &grammarReader{t: t}
	for i := 0; i < len(text); {
		switch c := text[i]; {
		case c == ' ' || c == '\n':
			i++
		case c == '"':
			j := i + 1
			for ; text[j] != '"'; j++ {
				if text[j] == '\\' {
					j++
				}
			}
			g.toks = append(g.toks, text[i:j+1])
			i = j + 1
		case strings.HasPrefix(text[i:], "…"):
			g.toks = append(g.toks, "…")
			i += len("…")
		case unicode.IsLetter(rune(c)):
			j := i
			for ; unicode.IsLetter(rune(text[j])); j++ {
			}
			g.toks = append(g.toks, text[i:j])
			i = j
		default:
			g.toks = append(g.toks, text[i:i+1])
			i++
		}
	}
	all := map[string]grammarExpr{}
	for len(g.toks) > 0 {
		name := g.take()
		g.want("=")
		all[name] = g.alternatives()
		g.want(".")
	}
	return all
}

func (g *grammarReader) take() string {
	if len(g.toks) == 0 {
		g.t.Fatal("the grammar ends within a production")
	}
	s := g.toks[0]
	g.toks = g.toks[1:]
	return s
}

func (g *grammarReader) want(s string) {
	if got := g.take(); got != s {
		g.t.Fatalf("grammar: %q in place of %q", got, s)
	}
}

func (g *grammarReader) alternatives() grammarExpr {
	e := grammarExpr{op: "|", parts: []grammarExpr{g.sequence()}}
	for g.toks[0] == "|" {
		g.take()
		e.parts = append(e.parts, g.sequence())
	}
	return e
}

func (g *grammarReader) sequence() grammarExpr {
	e := grammarExpr{op: "seq"}
	for !strings.Contains("|.)]}", g.toks[0]) {
		switch s := g.take(); s {
		case "[", "{", "(":
			e.parts = append(e.parts, grammarExpr{op: s, parts: []grammarExpr{g.alternatives()}})
			g.take()
		default:
			p := grammarExpr{op: "name", text: s}
			if s[0] == '"' {
				p = grammarExpr{op: "literal", text: unquote(s)}
				if g.toks[0] == "…" {
					g.take()
					p.op = "…"
					p.parts = []grammarExpr{{text: unquote(g.take())}}
				}
			}
			e.parts = append(e.parts, p)
		}
	}
	return e
}

// derive appends a sentence of e. Tokens are set apart, what is within one is not.
func derive(r *rand.Rand, all map[string]grammarExpr, e grammarExpr, depth int, out *strings.Builder) {
	again := func(p grammarExpr) { derive(r, all, p, depth, out) }
	switch e.op {
	case "|":
		again(e.parts[r.IntN(len(e.parts))])
	case "seq":
		for _, p := range e.parts {
			again(p)
		}
	case "(":
		again(e.parts[0])
	case "[":
		if r.IntN(2) == 0 {
			again(e.parts[0])
		}
	case "{":
		for range r.IntN(4) {
			again(e.parts[0])
		}
	case "literal":
		out.WriteString(e.text)
	case "…":
		lo, hi := []rune(e.text)[0], []rune(e.parts[0].text)[0]
		out.WriteRune(lo + rune(r.IntN(int(hi-lo)+1)))
	case "name":
		if e.text == "Block" && depth >= MaxDepth {
			out.WriteString("deep = 1")
			return
		}
		if e.text == "Block" {
			depth++
		}
		if e.text == "string" || e.text == "quantity" || e.text == "word" {
			out.WriteByte(' ')
		}
		derive(r, all, all[e.text], depth, out)
	}
}

// Holds the parser to the published grammar: what that text derives is read without a fault, and means the
// same when it has been formatted.
func TestParserAcceptsDerivedSentences(t *testing.T) {
	all := readGrammar(t)
	for _, name := range []string{"File", "Block", "Setting", "Value", "string", "quantity", "word"} {
		if _, ok := all[name]; !ok {
			t.Fatalf("the grammar lacks %s", name)
		}
	}
	long := 0
	for seed := range uint64(3000) {
		var b strings.Builder
		derive(rand.New(rand.NewPCG(seed, 1)), all, grammarExpr{op: "name", text: "File"}, 0, &b)
		if b.Len() > 200 {
			long++
		}
		f, _, faults := Parse("derived", []byte(b.String()))
		if len(faults) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, faults, b.String())
		}
		checkStable(t, f)
	}
	if long < 50 {
		t.Errorf("only %d derived files are longer than 200 bytes", long)
	}
}

// Guards the other side: a sentence with one token taken out, doubled or swapped for another that the grammar
// forbids there is a fault. The tokens are those that no grammatical file can end on or begin with.
func TestParserRejectsInvalidSentences(t *testing.T) {
	for _, text := range []string{"{", "}", "=", ",", "a", "a {", "a = 1", "a {}}", "a { b = }", "a { b = , 1 }", "a { = 1 }",
		"a { b 1 }", "a b {}", "a {} b {}", `include`, `include a`, `include "a" "b"`, `"a" {}`, "1 {}", "a { b = 1 c = 2 }",
		"a { b = 1 2 }", "a { b = 1, }", "a { include \"x\" }", "a \"x\" \"y\" {}", "a\n{}"} {
		if _, _, faults := Parse("f", []byte(text)); len(faults) == 0 {
			t.Errorf("%q is read without a fault", text)
		}
	}
}

// checkStable checks that a tree keeps its meaning and its form when formatted, once and again.
func checkStable(t rapid.TB, f *File) {
	once := Format(f)
	g, _, faults := Parse(f.Name, once)
	if len(faults) > 0 {
		t.Fatalf("formatted text has faults: %v\n%s", faults, once)
	}
	if a, b := meaning(f.Entries), meaning(g.Entries); a != b {
		t.Fatalf("formatting changed what is said:\n%s\n%s", a, b)
	}
	if a, b := commentsOf(f.Entries, f.TrailingComments), commentsOf(g.Entries, g.TrailingComments); a != b {
		t.Fatalf("formatting lost or moved comments:\n%s\n%s", a, b)
	}
	if twice := Format(g); string(twice) != string(once) {
		t.Fatalf("formatting again changes the text:\n%s\n---\n%s", once, twice)
	}
}

// meaning writes a tree without what means nothing.
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
			s += e.Word
			if e.Label != nil {
				s += " " + e.Label.Raw
			}
			s += "{" + meaning(e.Entries) + "}"
		}
		s += ";"
	}
	return s
}

// commentsOf lists a tree's comments in their order.
func commentsOf(list []Entry, tail []Comment) string {
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
	add(tail)
	return s
}

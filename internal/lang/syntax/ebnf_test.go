package syntax

import (
	"os"
	"strings"
	"testing"
	"unicode"
)

// grammarOp is the operator of a grammar expression.
type grammarOp int

const (
	alternativeOp grammarOp = iota
	sequenceOp
	groupOp
	optionOp
	repetitionOp
	rangeOp // from the character in text to the one in the text of its part
	nameOp
	literalOp
)

// bracketOps maps opening brackets to the operators that they denote.
var bracketOps = map[string]grammarOp{"(": groupOp, "[": optionOp, "{": repetitionOp}

// grammarExpr is an expression on the right side of a production.
type grammarExpr struct {
	op    grammarOp
	text  string
	parts []grammarExpr
}

// readGrammar reads the productions of the grammar in docs/language.md.
func readGrammar(t testing.TB) map[string]grammarExpr {
	t.Helper()
	page, err := os.ReadFile("../../../docs/language.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, ok := strings.Cut(string(page), "```ebnf\n")
	text, _, end := strings.Cut(rest, "```")
	if !ok || !end {
		t.Fatal("docs/language.md contains no grammar")
	}
	g := &grammarParser{t: t, tokens: splitGrammarTokens(text)}
	productions := map[string]grammarExpr{}
	for len(g.tokens) > 0 {
		name := g.next()
		g.expect("=")
		productions[name] = g.parseAlternatives()
		g.expect(".")
	}
	return productions
}

const ellipsis = "…"

// splitGrammarTokens splits a grammar into literals, names and punctuation marks.
func splitGrammarTokens(text string) []string {
	var tokens []string
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeft(text, " \n") {
		length := 1 // of a punctuation mark
		switch {
		case text[0] == '"':
			length = literalLength(text)
		case strings.HasPrefix(text, ellipsis):
			length = len(ellipsis)
		case unicode.IsLetter(rune(text[0])):
			length = strings.IndexFunc(text, func(r rune) bool { return !unicode.IsLetter(r) })
		}
		tokens = append(tokens, text[:length])
		text = text[length:]
	}
	return tokens
}

// literalLength returns the length of the literal at the start of a text, including its quotes.
func literalLength(text string) int {
	end := 1
	for ; text[end] != '"'; end++ {
		if text[end] == '\\' {
			end++
		}
	}
	return end + 1
}

// grammarParser parses productions.
type grammarParser struct {
	t      testing.TB
	tokens []string
}

// next consumes the next token and returns it.
func (g *grammarParser) next() string {
	g.t.Helper()
	if len(g.tokens) == 0 {
		g.t.Fatal("the grammar ends within a production")
	}
	token := g.tokens[0]
	g.tokens = g.tokens[1:]
	return token
}

// expect consumes the next token and fails the test if it is not the given one.
func (g *grammarParser) expect(token string) {
	g.t.Helper()
	if got := g.next(); got != token {
		g.t.Fatalf("grammar: found %q, want %q", got, token)
	}
}

func (g *grammarParser) parseAlternatives() grammarExpr {
	e := grammarExpr{op: alternativeOp, parts: []grammarExpr{g.parseSequence()}}
	for g.tokens[0] == "|" {
		g.next()
		e.parts = append(e.parts, g.parseSequence())
	}
	return e
}

func (g *grammarParser) parseSequence() grammarExpr {
	e := grammarExpr{op: sequenceOp}
	for !strings.Contains("|.)]}", g.tokens[0]) {
		e.parts = append(e.parts, g.parseTerm())
	}
	return e
}

func (g *grammarParser) parseTerm() grammarExpr {
	token := g.next()
	if op, ok := bracketOps[token]; ok {
		e := grammarExpr{op: op, parts: []grammarExpr{g.parseAlternatives()}}
		g.next() // the closing bracket
		return e
	}
	if token[0] != '"' {
		return grammarExpr{op: nameOp, text: token}
	}
	e := grammarExpr{op: literalOp, text: unquote(token)}
	if g.tokens[0] == ellipsis {
		g.next()
		e.op = rangeOp
		e.parts = []grammarExpr{{op: literalOp, text: unquote(g.next())}}
	}
	return e
}

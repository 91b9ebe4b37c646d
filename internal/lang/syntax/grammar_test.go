package syntax

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// derivation derives a random sentence from a grammar.
type derivation struct {
	random      *rand.Rand
	productions map[string]grammarExpr
	sentence    strings.Builder
}

// derive appends a sentence that is derived from an expression; depth is the number of enclosing blocks.
func (d *derivation) derive(e grammarExpr, depth int) {
	switch e.op {
	case alternativeOp:
		d.derive(e.parts[d.random.IntN(len(e.parts))], depth)
	case sequenceOp:
		for _, part := range e.parts {
			d.derive(part, depth)
		}
	case groupOp:
		d.derive(e.parts[0], depth)
	case optionOp:
		if d.random.IntN(2) == 0 {
			d.derive(e.parts[0], depth)
		}
	case repetitionOp:
		for range d.random.IntN(4) {
			d.derive(e.parts[0], depth)
		}
	case literalOp:
		d.sentence.WriteString(e.text)
	case rangeOp:
		first, last := []rune(e.text)[0], []rune(e.parts[0].text)[0]
		d.sentence.WriteRune(first + rune(d.random.IntN(int(last-first)+1)))
	case nameOp:
		d.deriveProduction(e.text, depth)
	}
}

// tokenProductions are the productions of tokens. A space is written before each token, and none within it.
var tokenProductions = []string{"string", "quantity", "word"}

// deriveProduction appends a sentence that is derived from a production. Blocks are nested at most MaxDepth deep.
func (d *derivation) deriveProduction(name string, depth int) {
	if name == "Block" {
		if depth >= MaxDepth {
			d.sentence.WriteString("deep = 1")
			return
		}
		depth++
	}
	if slices.Contains(tokenProductions, name) {
		d.sentence.WriteByte(' ')
	}
	d.derive(d.productions[name], depth)
}

// Sentences that are derived from the grammar in docs/language.md are parsed without a fault and keep their meaning
// when they are formatted.
func TestParserAcceptsDerivedSentences(t *testing.T) {
	productions := readGrammar(t)
	for _, name := range []string{"File", "Block", "Setting", "Value", "string", "quantity", "word"} {
		if _, ok := productions[name]; !ok {
			t.Fatalf("the grammar lacks %s", name)
		}
	}
	longSentences := 0
	for seed := range uint64(3000) {
		d := &derivation{random: rand.New(rand.NewPCG(seed, 1)), productions: productions}
		d.derive(grammarExpr{op: nameOp, text: "File"}, 0)
		text := d.sentence.String()
		if len(text) > 200 {
			longSentences++
		}
		f, _, faults := Parse("derived", []byte(text))
		if len(faults) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, faults, text)
		}
		checkFormatting(t, f)
	}
	if longSentences < 50 {
		t.Errorf("only %d derived files are longer than 200 bytes", longSentences)
	}
}

// A sentence that the grammar does not derive, because a token is missing, repeated or replaced, has a fault.
func TestParserRejectsInvalidSentences(t *testing.T) {
	for _, text := range []string{"{", "}", "=", ",", "a", "a {", "a = 1", "a {}}", "a { b = }", "a { b = , 1 }", "a { = 1 }",
		"a { b 1 }", "a b {}", "a {} b {}", `include`, `include a`, `include "a" "b"`, `"a" {}`, "1 {}", "a { b = 1 c = 2 }",
		"a { b = 1 2 }", "a { b = 1, }", "a { include \"x\" }", "a \"x\" \"y\" {}", "a\n{}"} {
		if _, _, faults := Parse("f", []byte(text)); len(faults) == 0 {
			t.Errorf("%q is parsed without a fault", text)
		}
	}
}

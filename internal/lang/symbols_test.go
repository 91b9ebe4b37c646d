package lang

import (
	"slices"
	"testing"

	"crankhold/internal/lang/syntax"
)

// parseBlocks reads the blocks of a text and fails the test if they have faults.
func parseBlocks(t *testing.T, text string) []*block {
	t.Helper()
	file, source, faults := syntax.Parse("f", []byte(text))
	report := &reporter{faults: faults}
	reader := &blockReader{report: report, sources: map[string]*syntax.Source{"f": source}}
	var blocks []*block
	for _, entry := range file.Entries {
		blocks = append(blocks, reader.read(entry.(*syntax.Block)))
	}
	if len(report.faults) > 0 {
		t.Fatal(report.faults)
	}
	return blocks
}

func TestSymbolTableKeepsTheFirstDefinition(t *testing.T) {
	blocks := parseBlocks(t, "pool \"b\" {}\npool \"a\" {}\npool \"b\" {}\nroute \"b\" { pool = \"a\" }\n")
	symbols := newSymbolTable(true)
	for i, b := range blocks {
		first := symbols.define(b)
		if want := i == 2; (first != nil) != want || want && first != blocks[0] {
			t.Errorf("block %d: first definition %+v", i, first)
		}
	}
	if names := symbols.names(poolKeyword); !slices.Equal(names, []string{"a", "b"}) {
		t.Errorf("names %v", names)
	}
	if !symbols.isDefinition(blocks[0]) || symbols.isDefinition(blocks[2]) || symbols.find(routeKeyword, "a") != nil {
		t.Error("wrong definitions")
	}
}

// No block is reported as unused while a reference is unresolved, because the reference may be meant for that block.
func TestUnusedBlocksAreReportedOnlyIfAllReferencesResolve(t *testing.T) {
	for _, c := range []struct{ fallback, want string }{
		{"b", "f:1:1: pool \"a\" is not used by any pool"},
		{"c", "f:1:23: no pool \"c\"; did you mean a?"},
	} {
		blocks := parseBlocks(t, "pool \"a\" { fallback = \""+c.fallback+"\" }\npool \"b\" {}\n")
		report := &reporter{}
		symbols := newSymbolTable(true)
		references := newReferenceResolver(report, symbols)
		for _, b := range blocks {
			symbols.define(b)
		}
		resolved := references.resolve(blocks[0], fallbackSetting, poolKeyword)
		references.reportUnused(poolKeyword, "pool")
		if got := report.faults.Error(); got != c.want || resolved != (c.fallback == "b") {
			t.Errorf("fallback %s: resolved %v, faults %s, want %s", c.fallback, resolved, got, c.want)
		}
	}
}

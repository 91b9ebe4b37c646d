package lang

import (
	"testing"

	"crankhold/internal/lang/syntax"
)

// Settings and values that do not fit the type of the block are reported and left out; all others are read.
func TestBlockReaderLeavesOutInvalidSettings(t *testing.T) {
	file, source, _ := syntax.Parse("f", []byte("pool \"p\" {\n\tcap = 0\n\tspill = 5/s\n\tcapp = 1\n\tworkers { cell = 1, x, 1 }\n}\n"))
	report := &reporter{}
	reader := &blockReader{report: report, sources: map[string]*syntax.Source{"f": source}}
	b := reader.read(file.Entries[0].(*syntax.Block))
	if b.hasValue(capSetting) || !b.isPresent(capSetting) || b.value(overflowSetting).number != 5 {
		t.Errorf("settings %+v", b.settings.list)
	}
	if cells := b.nested[0].values(cellSetting); len(cells) != 1 || cells[0].count != 1 {
		t.Errorf("cells %+v", cells)
	}
	report.sort()
	want := "f:2:8: cap must be 1 or more, found 0\n" +
		"f:4:2: unknown setting capp in pool; did you mean cap?\n" +
		"f:5:22: cell takes a number, found x\n" +
		"f:5:25: cell has 1 twice"
	if got := report.faults.Error(); got != want {
		t.Errorf("faults\n%s\nwant\n%s", got, want)
	}
}

func TestEveryBlockTypeHasABuilder(t *testing.T) {
	c := newChecker(&loader{files: []*syntax.File{{Name: "f"}}, report: &reporter{}}, nil)
	for _, blockType := range blockTypes {
		if c.builders[blockType.keyword] == nil {
			t.Errorf("%s has no builder", blockType.keyword)
		}
	}
	if len(c.builders) != len(blockTypes) {
		t.Errorf("%d builders for %d block types", len(c.builders), len(blockTypes))
	}
}

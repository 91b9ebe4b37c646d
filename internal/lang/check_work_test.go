package lang

import (
	"fmt"
	"strings"
	"testing"
	"testing/fstest"
)

// A check takes work in proportion to the file, also where each block names another one that is not there, or selects
// workers of a kind that none has. Guards against a reload that uses the router's core for a minute to find typing
// errors.
func TestCheckAllocatesInProportionToTheFile(t *testing.T) {
	for name, block := range map[string]string{
		"mistyped pools": "pool \"pool-%d\" {}\nroute \"r%d\" {\n\tfunction = \"%016x\"\n\tpool = \"pol-%d\"\n}\n",
		"pools by kind": "worker \"w-%d\" { kind = \"a\" }\nroute \"r%d\" {\n\tfunction = \"%016x\"\n\tpool = \"p%d\"\n}\n" +
			"pool \"p%d\" {\n\tworkers { kind = \"b\" }\n}\n",
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			allocations := func(blocks int) float64 {
				var text strings.Builder
				for i := range blocks {
					text.WriteString(numbered(block, i))
				}
				files := fstest.MapFS{"f": {Data: []byte(text.String())}}
				return testing.AllocsPerRun(1, func() {
					if _, err := Check(files, "f", "", nil); err != nil {
						t.Error(err)
					}
				}) / float64(blocks)
			}
			few := allocations(100)
			if many := allocations(1600); many > 2*few {
				t.Errorf("%.0f allocations for each of 1,600 blocks, and %.0f for each of 100", many, few)
			}
		})
	}
}

// numbered returns a text with a number in place of each verb.
func numbered(text string, number int) string {
	args := make([]any, strings.Count(text, "%"))
	for i := range args {
		args[i] = number
	}
	return fmt.Sprintf(text, args...)
}

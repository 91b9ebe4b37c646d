package lang

import (
	"slices"
	"strings"
	"testing"
	"testing/fstest"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// The lines of a policy, which the command explain shows, include those of the policy that it inherits from.
func TestLinesIncludeInheritedSettings(t *testing.T) {
	r := mustCheck(t, testFiles, "deploy", nil)
	var lines []string
	for _, f := range r.DefinitionLines(route.PolicyBlock, "quick") {
		lines = append(lines, f.Pos.String()+" "+f.Line)
	}
	want := []string{
		`deploy/main.crank:15:1 policy "quick" {`,
		"deploy/main.crank:17:2 attempt-time = 300ms",
		`deploy/main.crank:16:2 like = "base"`,
		"deploy/main.crank:18:2 second-copy-after = 0.1s",
		"deploy/parts/policies.crank:3:2 again-if-ran = 1",
		"deploy/parts/policies.crank:2:2 attempts = 2",
	}
	if !slices.Equal(lines, want) {
		t.Errorf("lines %s", strings.Join(lines, "\n"))
	}
}

// Diff finds no difference between files and their formatted form, but finds a changed setting.
func TestFormattingKeepsBehaviour(t *testing.T) {
	formatted := fstest.MapFS{}
	for name, f := range testFiles {
		tree, _, faults := syntax.Parse(name, f.Data)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		formatted[name] = textFile(string(syntax.Format(tree)))
	}
	original := mustCheck(t, testFiles, "", nil)
	if changes, err := Diff(original, mustCheck(t, formatted, "", nil)); err != nil || len(changes) > 0 {
		t.Errorf("formatting changes the behavior: %+v, %v", changes, err)
	}
	formatted["main.crank"] = textFile(strings.Replace(string(formatted["main.crank"].Data), "300ms", "200ms", 1))
	changes, err := Diff(original, mustCheck(t, formatted, "", nil))
	if err != nil || len(changes) != 1 || !strings.Contains(changes[0].After, "attempt-time 200ms") {
		t.Errorf("changes after another attempt-time: %+v, %v", changes, err)
	}
}

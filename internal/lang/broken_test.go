package lang

import (
	"flag"
	"os"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"crankhold/internal/lang/syntax"
)

var update = flag.Bool("update", false, "update the expected faults in testdata/broken.txt; review the changes before you commit them")

// faultCasesFile contains configurations with faults, each with the faults that are expected.
const faultCasesFile = "testdata/broken.txt"

// testPlatform has the platform's settings for the cases with "platform" in their name.
var testPlatform = &Platform{
	MaxAttempts:    3,
	HedgingAllowed: true,
	Kinds:          []string{"large-worker", "small-worker"},
	Zones:          []string{"edinburgh-dc"},
	KindMemoryMB:   map[string]float64{"large-worker": 10240, "small-worker": 7616},
	Classes: []Class{
		{Name: "dim-level", Deadline: 2 * time.Second, LatencyObjective: 400 * time.Millisecond},
		{Name: "fault-check", Deadline: 2500 * time.Millisecond, LatencyObjective: 600 * time.Millisecond},
		{Name: "audit", NotIdempotent: true, Deadline: 2 * time.Second, LatencyObjective: time.Second},
		{Name: "repair-order", NotIdempotent: true, Deadline: 3 * time.Second, LatencyObjective: 1200 * time.Millisecond},
	},
}

// faultCase is a configuration with faults: its files, and the faults that are expected.
type faultCase struct {
	name  string
	files fstest.MapFS
	want  string
	text  string // the case as in the file, without the expected faults
}

// readFaultCases reads the cases. A line "== NAME" starts a case, "-- FILE" starts one of its files, and "-- want"
// starts the expected faults.
func readFaultCases(t *testing.T) []faultCase {
	t.Helper()
	text, err := os.ReadFile(faultCasesFile)
	if err != nil {
		t.Fatal(err)
	}
	var cases []faultCase
	for _, part := range strings.Split("\n"+string(text), "\n== ")[1:] {
		part = strings.TrimSuffix(part, "\n") + "\n"
		name, rest, _ := strings.Cut(part, "\n")
		before, want, ok := strings.Cut(rest, "-- want\n")
		if !ok {
			t.Fatalf("case %s has no expected faults", name)
		}
		c := faultCase{name: name, files: fstest.MapFS{}, want: want, text: "== " + name + "\n" + before + "-- want\n"}
		for _, f := range strings.Split("\n"+before, "\n-- ")[1:] {
			file, body, _ := strings.Cut(f, "\n")
			c.files[file] = textFile(body)
		}
		cases = append(cases, c)
	}
	return cases
}

// check checks the files of the case, with the platform's settings if "platform" is in its name.
func (b faultCase) check(t *testing.T) *Result {
	t.Helper()
	var platform *Platform
	if strings.Contains(b.name, "platform") {
		platform = testPlatform
	}
	r, err := Check(b.files, "main.crank", "", platform)
	if err != nil {
		t.Fatalf("%s: %v", b.name, err)
	}
	return r
}

// Each configuration with faults is rejected with exactly the expected messages, each with the position of the fault.
func TestCheckReportsEachFaultAtItsPosition(t *testing.T) {
	cases := readFaultCases(t)
	names := map[string]bool{}
	updated := ""
	for _, c := range cases {
		if names[c.name] {
			t.Errorf("%s: two cases have this name", c.name)
		}
		names[c.name] = true
		r := c.check(t)
		got := ""
		for _, f := range r.Faults {
			got += f.Error() + "\n"
			if !f.Pos.Valid() || c.files[f.Pos.File] == nil {
				t.Errorf("%s: the position is not in a file of the case: %v", c.name, f)
			}
		}
		updated += c.text + got
		if got == "" {
			t.Errorf("%s: no fault", c.name)
		}
		if got != c.want && !*update {
			t.Errorf("%s:\n%swant\n%s", c.name, got, c.want)
		}
	}
	if len(cases) < 120 {
		t.Errorf("%d cases, want at least 120", len(cases))
	}
	if *update {
		if err := os.WriteFile(faultCasesFile, []byte(updated), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// Formatting is idempotent for each file of the cases that has no syntax faults.
func TestFormattingIsIdempotentOnBrokenFiles(t *testing.T) {
	for _, c := range readFaultCases(t) {
		for name, f := range c.files {
			tree, _, faults := syntax.Parse(name, f.Data)
			if len(faults) > 0 {
				continue
			}
			formatted := syntax.Format(tree)
			reparsed, _, faults := syntax.Parse(name, formatted)
			if len(faults) > 0 || string(syntax.Format(reparsed)) != string(formatted) {
				t.Errorf("%s: formatting %s again changes it or has faults: %v\n%s", c.name, name, faults, formatted)
			}
		}
	}
}

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

var update = flag.Bool("update", false, "write the faults of the broken files into testdata/broken.txt; read it before it is committed")

// brokenFiles is the file of configurations with faults, and of the faults that are expected.
const faultCasesFile = "testdata/broken.txt"

// testPlatform has the settings that the cases with "platform" in their name are checked against.
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

// faultCase is a case: a configuration's files, and the faults that are expected.
type faultCase struct {
	name  string
	files fstest.MapFS
	want  string
	text  string // of the case, without what is expected
}

// readFaultCases reads the cases: a line "== NAME" begins one, "-- FILE" a file of it, and "-- want" its faults.
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
			t.Fatalf("case %s expects nothing", name)
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

// check checks the case's files, with the platform's settings where the name of the case says so.
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

// Every broken file is rejected with exactly these messages, each with the position of what is wrong.
func TestCheckReportsEachFaultAtItsPosition(t *testing.T) {
	cases := readFaultCases(t)
	names := map[string]bool{}
	updated := ""
	for _, c := range cases {
		if names[c.name] {
			t.Errorf("%s: the name is there twice", c.name)
		}
		names[c.name] = true
		r := c.check(t)
		got := ""
		for _, f := range r.Faults {
			got += f.Error() + "\n"
			if !f.Pos.Valid() || c.files[f.Pos.File] == nil {
				t.Errorf("%s: no such position: %v", c.name, f)
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
		t.Errorf("%d broken files; at least 120 are wanted", len(cases))
	}
	if *update {
		if err := os.WriteFile(faultCasesFile, []byte(updated), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// Formatting a formatted file changes nothing, for each of the broken files that can be parsed.
func TestFormattingIsIdempotentOnBrokenFiles(t *testing.T) {
	for _, c := range readFaultCases(t) {
		for name, f := range c.files {
			tree, _, faults := syntax.Parse(name, f.Data)
			if len(faults) > 0 {
				continue
			}
			once := syntax.Format(tree)
			again, _, faults := syntax.Parse(name, once)
			if len(faults) > 0 || string(syntax.Format(again)) != string(once) {
				t.Errorf("%s: %s is not stable: %v\n%s", c.name, name, faults, once)
			}
		}
	}
}

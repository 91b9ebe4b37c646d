package lang

import (
	"flag"
	"fmt"
	"os"
	"path"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"crankhold/internal/lang/syntax"
)

var update = flag.Bool("update", false, "write what the broken files are told into testdata/broken.txt; read it before it is committed")

// site is the settings that the cases with "platform" in their name are checked against.
var testPlatform = &Platform{MaxAttempts: 3, HedgingAllowed: true, Kinds: []string{"large-worker", "small-worker"}, Zones: []string{"edinburgh-dc"},
	KindMemoryMB: map[string]float64{"large-worker": 10240, "small-worker": 7616},
	Classes: []Class{{"dim-level", false, 2 * time.Second, 400 * time.Millisecond}, {"fault-check", false, 2500 * time.Millisecond, 600 * time.Millisecond},
		{"audit", true, 2 * time.Second, time.Second}, {"repair-order", true, 3 * time.Second, 1200 * time.Millisecond}}}

// brokenFile is a case of a test: files by name, and what is wanted of them.
type brokenFile struct {
	name  string
	files fstest.MapFS
	want  string
	text  string // of all but want
}

// readCases reads cases: a line "== NAME" begins one, "-- FILE" a file of it, and "-- want" what it is told.
func readCases(t *testing.T, file string) (cases []brokenFile) {
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range strings.Split("\n"+string(text), "\n== ")[1:] {
		part = strings.TrimSuffix(part, "\n") + "\n"
		name, rest, _ := strings.Cut(part, "\n")
		before, want, ok := strings.Cut(rest, "-- want\n")
		if !ok {
			t.Fatalf("case %s wants nothing", name)
		}
		a := brokenFile{name: name, files: fstest.MapFS{}, want: want, text: "== " + name + "\n" + before + "-- want\n"}
		for _, f := range strings.Split("\n"+before, "\n-- ")[1:] {
			file, body, _ := strings.Cut(f, "\n")
			a.files[file] = &fstest.MapFile{Data: []byte(body), Mode: 0o644}
		}
		cases = append(cases, a)
	}
	return cases
}

func (a brokenFile) check(t *testing.T) *Result {
	p := (*Platform)(nil)
	if strings.Contains(a.name, "platform") {
		p = testPlatform
	}
	r, err := Check(a.files, "main.crank", "", p)
	if err != nil {
		t.Fatalf("%s: %v", a.name, err)
	}
	return r
}

// Every broken file is rejected with exactly these messages, each with the place of what is wrong.
func TestCheckReportsEachFaultAtItsPosition(t *testing.T) {
	cases, told, names := readCases(t, "testdata/broken.txt"), "", map[string]bool{}
	for _, a := range cases {
		if names[a.name] {
			t.Errorf("%s: the name is there twice", a.name)
		}
		names[a.name] = true
		r := a.check(t)
		got := ""
		for _, f := range r.Faults {
			got += f.Error() + "\n"
			if !f.Pos.Valid() || a.files[f.Pos.File] == nil {
				t.Errorf("%s: no such place: %v", a.name, f)
			}
		}
		told += a.text + got
		if got == "" {
			t.Errorf("%s: no fault", a.name)
		}
		if got != a.want && !*update {
			t.Errorf("%s:\n%swant\n%s", a.name, got, a.want)
		}
	}
	if len(cases) < 120 {
		t.Errorf("%d broken files; at least 120 are wanted", len(cases))
	}
	if *update {
		if err := os.WriteFile("testdata/broken.txt", []byte(told), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

const mainFile = `include "parts/*.crank"
# the fleet
worker "s-1" {
	kind = "large"
	cell = 2
	memory = 8GiB
	labels { rack = "r1" }
}
class "dim-level" {
	runs = repeatable
	deadline = 2s
	aim = 400ms
}
class "repair-order" { deadline = 3s }
policy "quick" {
	like = "base"
	attempt-time = 300ms
	second-copy-after = 0.1s
}
route "dims" {
	front = thrift, webhook
	class = "dim-level"
	function = "7f*", "7f3a9c21e0b4d655"
	tenant = "east"
	pool = "fast"
	policy = "quick"
}
route "rest" { pool = "all" }
`

var testFiles = fstest.MapFS{
	"main.crank":           {Data: []byte(mainFile), Mode: 0o644},
	"parts/policies.crank": {Data: []byte("policy \"base\" {\n\tattempts = 2\n\tagain-if-ran = 1\n}\n"), Mode: 0o644},
	"parts/pools.crank": {Data: []byte("pool \"all\" {}\npool \"fast\" {\n\tworkers { labels { rack = \"r1\", \"r2\" } }\n\tworkers {\n\t\tkind = \"large\"\n\t\tmemory-at-least = 8GiB\n\t}\n" +
		"\tcap = 40\n\tload-orders = 30%\n\tfallback = \"all\"\n\tspill = 120/m\n}\n"), Mode: 0o644},
}

func TestCheckAcceptsValidFiles(t *testing.T) {
	r, err := Check(testFiles, "main.crank", "deploy", nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Faults) > 0 {
		t.Fatal(r.Faults)
	}
	if fmt.Sprint(r.Files) != "[deploy/main.crank deploy/parts/policies.crank deploy/parts/pools.crank]" {
		t.Errorf("files %v", r.Files)
	}
	k := r.Spec.Policies
	if len(k) != 2 || k[1].Name != "quick" && k[0].Name != "quick" {
		t.Fatalf("policies %+v", k)
	}
	for _, p := range k {
		if p.Name == "quick" && (p.MaxAttempts != 2 || p.RetriesAfterPossibleRun != 1 || p.RetriesAfterProvenNoRun != -1 || p.AttemptTimeout != 300*time.Millisecond || p.HedgeDelay != 100*time.Millisecond) {
			t.Errorf("policy %+v", p)
		}
	}
	for _, p := range r.Spec.Pools {
		if p.Name == "fast" && (p.MaxInFlight != 40 || p.LoadShare != 0.3 || p.OverflowRate != 2 || len(p.Workers) != 2 || p.Workers[1].MemoryMB != 8*1073.741824) {
			t.Errorf("pool %+v", p)
		}
	}
	var lines []string
	for _, f := range r.Lines("policy", "quick") {
		lines = append(lines, f.Pos.String()+" "+f.Line)
	}
	if got := strings.Join(lines, "; "); !strings.Contains(got, "deploy/parts/policies.crank:2:2 attempts = 2") || !strings.Contains(got, "deploy/main.crank:17:2 attempt-time = 300ms") {
		t.Errorf("lines %s", got)
	}
}

// Guards the meaning of a file over formatting: the same files, formatted, differ in nothing.
func TestFormattingKeepsBehaviour(t *testing.T) {
	formed := fstest.MapFS{}
	for name, f := range testFiles {
		tree, _, faults := syntax.Parse(name, f.Data)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		formed[name] = &fstest.MapFile{Data: syntax.Format(tree), Mode: 0o644}
	}
	o, err := Check(testFiles, "main.crank", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := Check(formed, "main.crank", "", nil)
	if err != nil || len(n.Faults) > 0 {
		t.Fatal(err, n.Faults)
	}
	if d, err := Diff(o, n); err != nil || len(d) > 0 {
		t.Errorf("formatting changes %+v, %v", d, err)
	}
	formed["main.crank"].Data = []byte(strings.Replace(string(formed["main.crank"].Data), "300ms", "200ms", 1))
	if n, err = Check(formed, "main.crank", "", nil); err != nil {
		t.Fatal(err)
	}
	d, err := Diff(o, n)
	if err != nil || len(d) != 1 || !strings.Contains(d[0].After, "attempt-time 200ms") {
		t.Errorf("a changed time: %+v, %v", d, err)
	}
}

// Every file of the broken ones that can be read whole is stable when formatted, and gets as many faults after it.
func TestFormattingIsStableOnEveryFile(t *testing.T) {
	for _, a := range readCases(t, "testdata/broken.txt") {
		for name, f := range a.files {
			tree, _, faults := syntax.Parse(name, f.Data)
			if len(faults) > 0 {
				continue
			}
			once := syntax.Format(tree)
			again, _, faults := syntax.Parse(name, once)
			if len(faults) > 0 || string(syntax.Format(again)) != string(once) {
				t.Errorf("%s: %s is not stable: %v\n%s", a.name, name, faults, once)
			}
		}
	}
}

// Guards bounds on what is included: depth, files, and the memory and time of hostile ones.
func TestIncludesAreBounded(t *testing.T) {
	deep := fstest.MapFS{"main.crank": {Data: []byte("include \"a0.crank\"\n"), Mode: 0o644}}
	for i := range 40 {
		deep[fmt.Sprintf("a%d.crank", i)] = &fstest.MapFile{Data: []byte(fmt.Sprintf("include \"a%d.crank\"\n", i+1)), Mode: 0o644}
	}
	r, err := Check(deep, "main.crank", "", nil)
	if err != nil || len(r.Files) != maxIncludeDepth || !strings.Contains(r.Faults.Error(), "includes are nested more than 16 deep: main.crank > a0.crank") {
		t.Errorf("%d files, %v, %v", len(r.Files), r.Faults, err)
	}
	many := fstest.MapFS{"main.crank": {Data: []byte("include \"d/*\"\n"), Mode: 0o644}}
	for i := range 1200 {
		many[fmt.Sprintf("d/%04d", i)] = &fstest.MapFile{Data: []byte("# x\n"), Mode: 0o644}
	}
	r, err = Check(many, "main.crank", "", nil)
	if err != nil || len(r.Files) != maxFiles || !strings.Contains(r.Faults.Error(), "main.crank:1:1: more than 1000 files") {
		t.Errorf("%d files, %.200v, %v", len(r.Files), r.Faults, err)
	}
	big := fstest.MapFS{"main.crank": {Data: make([]byte, 50<<20), Mode: 0o644}}
	if r, err = Check(big, "main.crank", "", nil); err != nil || !strings.Contains(r.Faults.Error(), "larger than 4 MiB") {
		t.Errorf("%.200v, %v", r.Faults, err)
	}
	if _, err := Check(fstest.MapFS{}, "main.crank", "deploy", nil); err == nil || err.Error() != path.Join("deploy", "main.crank")+": file does not exist" {
		t.Errorf("no first file: %v", err)
	}
}

func TestUnmatchedRequestsAreNoted(t *testing.T) {
	text := "pool \"p\" {}\nroute \"r\" {\n\tclass = \"dim-level\"\n\tfunction = \"7*\"\n\tpool = \"p\"\n}\n"
	r, err := Check(fstest.MapFS{"main.crank": {Data: []byte(text), Mode: 0o644}}, "main.crank", "", testPlatform)
	if err != nil || len(r.Faults) > 0 {
		t.Fatal(err, r)
	}
	want := "main.crank:2:1: no route takes calls for function * (but not 7*); they are refused (--front=thrift --class=dim-level --function=0000000000000000)\n" +
		"main.crank:2:1: no route takes calls of class fault-check or audit or repair-order for function 7*; they are refused (--front=thrift --class=fault-check --function=7000000000000000)"
	if got := r.Notes.Error(); got != want {
		t.Errorf("notes:\n%s\nwant\n%s", got, want)
	}
}

// Guards a class that the files make run once against the platform's more generous word: its calls get the strict
// terms, others of the same route don't.
func TestClassBlockMakesAClassNotIdempotent(t *testing.T) {
	text := "class \"dim-level\" { runs = once }\npool \"p\" {}\nroute \"r\" { pool = \"p\" }\n"
	r, err := Check(fstest.MapFS{"main.crank": {Data: []byte(text), Mode: 0o644}}, "main.crank", "", testPlatform)
	if err != nil || len(r.Faults) > 0 {
		t.Fatal(err, r)
	}
	if fmt.Sprint(r.Spec.NotIdempotentClasses) != "[dim-level]" || fmt.Sprint(r.NotIdempotent(r.Classes())) != "[true false true true]" {
		t.Errorf("once: %v, %v", r.Spec.NotIdempotentClasses, r.NotIdempotent(r.Classes()))
	}
}

func TestSuggest(t *testing.T) {
	for _, c := range [][3]string{{"capp", "cap", "; did you mean cap?"}, {"pol", "pool", "; did you mean pool?"}, {"fallbakc", "fallback", "; did you mean fallback?"}, {"zone", "cap", ""}, {"cap", "cap", ""}} {
		if got := suggest(c[0], []string{c[1]}); got != c[2] {
			t.Errorf("%s: %q, want %q", c[0], got, c[2])
		}
	}
}

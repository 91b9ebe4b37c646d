package lang

import (
	"fmt"
	"slices"
	"testing"
	"testing/fstest"
	"time"

	"crankhold/internal/route"
)

// textFile returns a regular file.
func textFile(text string) *fstest.MapFile { return &fstest.MapFile{Data: []byte(text), Mode: 0o644} }

// checkFiles checks the files, starting with main.crank, and fails the test if main.crank can't be read.
func checkFiles(t *testing.T, files fstest.MapFS, prefix string, platform *Platform) *Result {
	t.Helper()
	r, err := Check(files, "main.crank", prefix, platform)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// mustCheck checks the files and fails the test if they have faults.
func mustCheck(t *testing.T, files fstest.MapFS, prefix string, platform *Platform) *Result {
	t.Helper()
	r := checkFiles(t, files, prefix, platform)
	if len(r.Faults) > 0 {
		t.Fatal(r.Faults)
	}
	return r
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

const policiesFile = `policy "base" {
	attempts = 2
	again-if-ran = 1
}
`

const poolsFile = `pool "all" {}
pool "fast" {
	workers { labels { rack = "r1", "r2" } }
	workers {
		kind = "large"
		memory-at-least = 8GiB
	}
	cap = 40
	load-orders = 30%
	fallback = "all"
	spill = 120/m
}
`

var testFiles = fstest.MapFS{
	"main.crank":           textFile(mainFile),
	"parts/policies.crank": textFile(policiesFile),
	"parts/pools.crank":    textFile(poolsFile),
}

func TestCheckAcceptsValidFiles(t *testing.T) {
	r := mustCheck(t, testFiles, "deploy", nil)
	if fmt.Sprint(r.Files) != "[deploy/main.crank deploy/parts/policies.crank deploy/parts/pools.crank]" {
		t.Errorf("files %v", r.Files)
	}
	policies := r.Spec.Policies
	quick := slices.IndexFunc(policies, func(p route.PolicySpec) bool { return p.Name == "quick" })
	if len(policies) != 2 || quick < 0 {
		t.Fatalf("policies %+v", policies)
	}
	wantPolicy := route.PolicySpec{Name: "quick", MaxAttempts: 2, RetriesAfterPossibleRun: 1, RetriesAfterProvenNoRun: route.Unset,
		AttemptTimeout: 300 * time.Millisecond, HedgeDelay: 100 * time.Millisecond, At: "deploy/main.crank:15"}
	if policies[quick] != wantPolicy {
		t.Errorf("policy %+v", policies[quick])
	}
	fast := slices.IndexFunc(r.Spec.Pools, func(p route.PoolSpec) bool { return p.Name == "fast" })
	if fast < 0 {
		t.Fatalf("pools %+v", r.Spec.Pools)
	}
	p := r.Spec.Pools[fast]
	if p.MaxInFlight != 40 || p.LoadShare != 0.3 || p.OverflowRate != 2 || len(p.Selectors) != 2 || p.Selectors[1].MemoryMB != 8*1073.741824 {
		t.Errorf("pool %+v", p)
	}
}

// These boundary cases are not in testdata/broken.txt.
func TestCheckBoundaryCases(t *testing.T) {
	const rest = "pool \"p\" {}\nroute \"r\" {\n\tpool = \"p\"\n\tpolicy = \"q\"\n}\n"
	for _, c := range []struct{ name, text, want string }{
		{"a hedge delay equal to the attempt timeout",
			"policy \"q\" {\n\tattempt-time = 300ms\n\tsecond-copy-after = 300ms\n}\n" + rest,
			"main.crank:3:22: policy \"q\": the attempt ends at 300ms, before a second copy goes out at 300ms"},
		{"an include of the parent folder",
			"include \"..\"\npolicy \"q\" {}\n" + rest,
			"main.crank:1:1: the include \"..\" leaves the directory of the first file"},
		{"aliases that share an address",
			"worker \"a\" { tcp4 = \"10.0.0.1:80\" }\nworker \"b\" {\n\ttcp4 = \"10.0.0.1:80\"\n\tsame-as = \"a\"\n}\npolicy \"q\" {}\n" + rest,
			""},
		{"workers that share an address",
			"worker \"a\" { tcp4 = \"10.0.0.1:80\" }\nworker \"b\" { tcp4 = \"10.0.0.1:80\" }\npolicy \"q\" {}\n" + rest,
			"main.crank:2:21: 10.0.0.1:80 is an address of worker \"a\" too, at main.crank:1:21: say same-as where they are one"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := checkFiles(t, fstest.MapFS{"main.crank": textFile(c.text)}, "", nil)
			if got := r.Faults.Error(); got != c.want {
				t.Errorf("faults:\n%s\nwant\n%s", got, c.want)
			}
		})
	}
}

func TestUnmatchedRequestsAreNoted(t *testing.T) {
	text := "pool \"p\" {}\nroute \"r\" {\n\tclass = \"dim-level\"\n\tfunction = \"7*\"\n\tpool = \"p\"\n}\n"
	r := mustCheck(t, fstest.MapFS{"main.crank": textFile(text)}, "", testPlatform)
	want := "main.crank:2:1: no route takes calls for function * (but not 7*); they are refused (--front=thrift --class=dim-level --function=0000000000000000)\n" +
		"main.crank:2:1: no route takes calls of class fault-check or audit or repair-order for function 7*; they are refused (--front=thrift --class=fault-check --function=7000000000000000)"
	if got := r.Notes.Error(); got != want {
		t.Errorf("notes:\n%s\nwant\n%s", got, want)
	}
}

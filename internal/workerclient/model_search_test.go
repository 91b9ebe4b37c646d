package workerclient

import (
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"

	"crankhold/internal/modelcheck"
)

// scopes are searched exhaustively by CI.
var scopes = map[string]scope{
	"one request":   {workers: 2, addrs: 2, requestCount: 1, faults: 2, drains: 1, ticks: 1, disconnects: 1, maxStates: 200_000},
	"two requests":  {workers: 2, addrs: 2, requestCount: 2, faults: 2, drains: 1, ticks: 0, disconnects: 0, maxStates: 200_000},
	"load commands": {workers: 2, addrs: 2, requestCount: 1, faults: 2, drains: 1, ticks: 1, disconnects: 0, loadsRequired: true, maxStates: 200_000},
}

// Runs the real code through every interleaving of each scope. A request that may have run is never written again, each
// request has one response, nothing new goes to a draining worker, and no dial or connection leaks.
func TestEveryInterleaving(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(scopes)) {
		s := scopes[name]
		r := modelcheck.Search(func() modelcheck.System { return newModel(s) }, s.maxStates, runtime.GOMAXPROCS(0))
		t.Logf("%s: %v", name, r)
		if r.Err != nil || !r.Complete || r.States < 1000 {
			t.Errorf("%s: %v", name, r)
		}
	}
}

// plantedFaults are faults, each of which is put into a copy of the code by replacing a text. The model check must find
// all of them.
var plantedFaults = []struct {
	name string
	file string
	old  string // text to replace, which occurs once in the file
	new  string // its replacement
}{
	{
		name: "requests that were sent whole are sent again",
		file: "internal/workerclient/dispatch.go",
		old:  "case neverArrived && cmd.mayBeResent()",
		new:  "case !cmd.kind.isHealthQuery() && cmd.sendState.written && cmd.sendState.resends < maxResends",
	},
	{
		name: "requests are sent again to a draining worker",
		file: "internal/workerclient/dispatch.go",
		old:  "cmd.mayBeResent() && w.ready()",
		new:  "cmd.mayBeResent()",
	},
	{
		name: "draining does not fail what is queued behind a dial",
		file: "internal/workerclient/worker.go",
		old:  "c.failQueuedOnDrain()\n\t\t\tif c.state == connecting && len(c.commands.queued) == 0 {",
		new:  "if false {",
	},
	{
		name: "a reset counts as a refused dial",
		file: "internal/workerclient/connection.go",
		old:  "c.terminate(c.endOutcome())",
		new:  "c.terminate(policy.Unreachable)",
	},
	{
		name: "a failure counts as rejected",
		file: "internal/workerclient/response_decoding.go",
		old:  "statusFault: policy.Failed",
		new:  "statusFault: policy.Overloaded",
	},
	{
		name: "dials that lost the race stay open",
		file: "internal/workerclient/dialer.go",
		old:  "\t\tattempt.finish()\n\t\tattempt.transport.Close()",
		new:  "\t\tattempt.finish()",
	},
	{
		name: "the connection of a recovery dial stays open",
		file: "internal/workerclient/recovery.go",
		old:  "r.pool.dialsInProgress--\n\tr.transport.Close()",
		new:  "r.pool.dialsInProgress--",
	},
	{
		name: "a canceled request is sent nevertheless",
		file: "internal/workerclient/attempts.go",
		old:  "\tcmd.sendState.connection.commands.dequeue(cmd)\n\treturn true",
		new:  "\treturn true",
	},
	{
		name: "the decision module retries a request that must not run twice",
		file: "policy/retry_rules.go",
		old:  "rules.deduplicates(r, w)\n\tdefault:\n\t\treturn false",
		new:  "rules.deduplicates(r, w)\n\tdefault:\n\t\treturn true",
	},
	{
		name: "a lost race is never reported",
		file: "internal/endpoint/race.go",
		old:  "return !r.won && r.inProgress == 0 && len(r.remaining) == 0",
		new:  "return false",
	},
}

// Guards against a model check that finds nothing: it must find each planted fault.
func TestPlantedFaultsAreFound(t *testing.T) {
	if os.Getenv("CRANKHOLD_PLANTED") != "" {
		t.Skip("this is a run with a fault planted")
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range plantedFaults {
		t.Run(strings.ReplaceAll(f.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			sourceFile := filepath.Join(root, f.file)
			text, err := os.ReadFile(sourceFile)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Count(string(text), f.old) != 1 {
				t.Fatalf("%s contains %q %d times", f.file, f.old, strings.Count(string(text), f.old))
			}
			dir := t.TempDir()
			mutant, overlay := filepath.Join(dir, "mutant.go"), filepath.Join(dir, "overlay.json")
			if err := os.WriteFile(mutant, []byte(strings.Replace(string(text), f.old, f.new, 1)), 0o644); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(overlay, fmt.Appendf(nil, `{"Replace": {%q: %q}}`, sourceFile, mutant), 0o644); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command("go", "test", "-overlay", overlay, "-vet=off", "-count=1", "-run", "TestEveryInterleaving", ".")
			cmd.Env = append(os.Environ(), "CRANKHOLD_PLANTED=1")
			out, err := cmd.CombinedOutput()
			if err == nil {
				t.Errorf("the fault was not found:\n%s", out)
			} else if !strings.Contains(string(out), " after\n") && !strings.Contains(string(out), "panic") {
				t.Errorf("the run failed in another way:\n%s", out)
			}
		})
	}
}

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

// scopes are what CI goes through whole.
var scopes = map[string]scope{
	"one call":    {workers: 2, addrs: 2, calls: 1, faults: 2, drains: 1, ticks: 1, interrupts: 1, maxStates: 200_000},
	"two calls":   {workers: 2, addrs: 2, calls: 2, faults: 2, drains: 1, ticks: 0, interrupts: 0, maxStates: 200_000},
	"load orders": {workers: 2, addrs: 2, calls: 1, faults: 2, drains: 1, ticks: 1, interrupts: 0, loadsRequired: true, maxStates: 200_000},
}

// Every interleaving of a small scope, by the real code: a request that may have run is never written again, each
// request has one response, nothing new goes to a worker that is draining, and no dial or connection leaks.
func TestEveryInterleaving(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(scopes)) {
		s := scopes[name]
		r := modelcheck.Search(func() modelcheck.System { return newModel(s) }, s.maxStates, runtime.GOMAXPROCS(0))
		t.Logf("%s: %v", name, r)
		if r.Err != nil || !r.Whole || r.States < 1000 {
			t.Errorf("%s: %v", name, r)
		}
	}
}

// planted are faults, each put into a copy of the code by replacing a text; the model check must find all of them.
var plantedFaults = []struct{ name, file, old, new string }{
	{"requests that left whole are sent again", "internal/workerclient/dispatch.go", "case neverArrived && cmd.mayBeResent()", "case !cmd.kind.isHealthQuery() && cmd.delivery.written && cmd.delivery.resends < maxResends"},
	{"requests are sent again to a draining worker", "internal/workerclient/dispatch.go", "cmd.mayBeResent() && w.ready()", "cmd.mayBeResent()"},
	{"draining leaves what is queued behind a dial", "internal/workerclient/worker.go", "c.failQueued()\n\t\t\tif c.state == connecting && len(c.commands.queued) == 0 {", "if false {"},
	{"a reset counts as a refused dial", "internal/workerclient/connection.go", "c.terminate(policy.ConnectionReset)", "c.terminate(policy.Unreachable)"},
	{"a failure counts as rejected", "internal/workerclient/response_decoding.go", "statusFault: policy.Failed", "statusFault: policy.Overloaded"},
	{"dials that lost the race go on", "internal/workerclient/dialer.go", "\t\tattempt.finish()\n\t\tattempt.transport.Close()", "\t\tattempt.finish()"},
	{"the connection of a recovery dial stays open", "internal/workerclient/recovery.go", "r.pool.dialsInProgress--\n\tr.transport.Close()", "r.pool.dialsInProgress--"},
	{"a cancelled request is sent all the same", "internal/workerclient/attempts.go", "\tcmd.delivery.connection.commands.dequeue(cmd)\n\treturn true", "\treturn true"},
	{"the module repeats what must not be", "policy/retries.go", "return withinLimit && (c.Idempotency == Idempotent ||", "return withinLimit && (c.Idempotency != IdempotentWithKey ||"},
	{"a lost race is never reported", "internal/endpoint/race.go", "return !r.won && r.inProgress == 0 && len(r.remaining) == 0", "return false"},
}

// Guards the check itself: each planted fault is found.
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
			whole := filepath.Join(root, f.file)
			text, err := os.ReadFile(whole)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Count(string(text), f.old) != 1 {
				t.Fatalf("%s holds %q %d times", f.file, f.old, strings.Count(string(text), f.old))
			}
			dir := t.TempDir()
			mutant, overlay := filepath.Join(dir, "mutant.go"), filepath.Join(dir, "overlay.json")
			if err := os.WriteFile(mutant, []byte(strings.Replace(string(text), f.old, f.new, 1)), 0o644); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(overlay, fmt.Appendf(nil, `{"Replace": {%q: %q}}`, whole, mutant), 0o644); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command("go", "test", "-overlay", overlay, "-vet=off", "-count=1", "-run", "TestEveryInterleaving", ".")
			cmd.Env = append(os.Environ(), "CRANKHOLD_PLANTED=1")
			out, err := cmd.CombinedOutput()
			if err == nil {
				t.Errorf("not found:\n%s", out)
			} else if !strings.Contains(string(out), " after\n") && !strings.Contains(string(out), "panic") {
				t.Errorf("the run failed in another way:\n%s", out)
			}
		})
	}
}

package server

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/config"
	"crankhold/internal/discovery"
	"crankhold/internal/endpoint"
	"crankhold/internal/logging"
	"crankhold/internal/router"
	"crankhold/policy"
)

// spellings are names that DNS considers equal for each of two zones, and names that the drawn settings never list.
var (
	spellings     = [][]string{{"dc1", "DC1", "Dc1"}, {"dc2", "DC2", "dC2"}}
	unlistedZones = []string{"", "lab", "LAB", "here"}
)

// labeledWorker is a worker with what its entry says, and the group that it may really be in: a worker whose entry says
// nothing that the settings know may be in a group of its own.
type labeledWorker struct {
	discovery.Worker
	zone string
	cell string
}

// drawLabeledWorkers draws workers, whose entries spell their zones in any way, name other zones, or lack their labels.
func drawLabeledWorkers(t *rapid.T, listed []string) []labeledWorker {
	var workers []labeledWorker
	for i := range rapid.IntRange(2, 6).Draw(t, "workers") {
		name := rapid.SampledFrom([]string{"s-%d", "S-%d"}).Draw(t, "spelling of the name")
		w := labeledWorker{
			Worker: discovery.Worker{Name: fmt.Sprintf(name, i), Addrs: []endpoint.Addr{{Network: endpoint.TCP4, Addr: fmt.Sprintf("127.0.0.1:%d", i+1)}}, State: policy.Ready, Weight: 1},
			zone:   fmt.Sprint("own zone of ", i),
			cell:   fmt.Sprint("own cell of ", i),
		}
		w.Zone = rapid.SampledFrom(slices.Concat(spellings[0], spellings[1], unlistedZones)).Draw(t, "zone")
		entries := 0
		for _, zone := range listed {
			if strings.EqualFold(zone, w.Zone) {
				entries++
			}
		}
		if entries == 1 && w.Zone != "" {
			w.zone = strings.ToLower(w.Zone)
		}
		if cell := rapid.IntRange(-1, 2).Draw(t, "cell"); cell >= 0 {
			w.Cell = policy.KnownGroup(cell)
			w.cell = fmt.Sprint(cell)
		}
		workers = append(workers, w)
	}
	return workers
}

// newIdleCore returns a core without workers.
func newIdleCore(t *rapid.T) *router.Core {
	module, err := policy.New(policy.Config{Routers: 1, OverQuotaWeight: 1, Classes: []policy.Class{{LatencyObjective: time.Second, Deadline: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return router.New(module, router.Config{NewWorkerClient: func(*router.Core) router.WorkerClient { return nil }})
}

// A request with a key that may have run is never sent to a worker of another group, however the settings and the
// entries of the list spell zones, whatever they leave out, and however attempts fail. Guards against unknown zones and
// cells that count as the first ones.
func TestKeyedRequestRunsInOneGroup(t *testing.T) {
	repeats := 0
	rapid.Check(t, func(t *rapid.T) {
		listed := rapid.SampledFrom([][]string{{"DC1", "DC2"}, {"dc1", "dc2"}, {"dc2"}, {"DC1", "dc1"}, {"", "dc1"}, nil}).Draw(t, "zones of the settings")
		scope := rapid.SampledFrom([]policy.DeduplicationScope{policy.DeduplicatedInZone, policy.DeduplicatedInCell}).Draw(t, "scope")
		workers := drawLabeledWorkers(t, listed)
		cfg := &config.Config{}
		cfg.Network.Zones = listed
		cfg.Policy = policy.Config{Routers: 1, MaxAttempts: 5, OverQuotaWeight: 1, Classes: []policy.Class{{LatencyObjective: time.Second, Deadline: 4 * time.Second,
			Idempotency: policy.IdempotentWithKey, DeduplicationScope: scope, DeduplicationWindow: 3 * time.Second, PriorityWeight: 1}}}
		module, err := policy.New(cfg.Policy, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		m := &membership{config: cfg, core: newIdleCore(t), starts: newStartTimes(time.Now, 0)}
		list := policy.EndpointList{Kind: policy.EndpointSnapshot}
		byID := map[policy.WorkerID]labeledWorker{}
		for _, w := range workers {
			m.list = append(m.list, w.Worker)
			byID[workerID(w.Name)] = w
		}
		for _, merged := range m.mergeAliases() {
			list.Workers = append(list.Workers, merged.endpoint)
		}
		now := time.Hour
		module.Handle(now, list, nil)
		group := func(id policy.WorkerID) string {
			if scope == policy.DeduplicatedInZone {
				return byID[id].zone
			}
			return byID[id].cell
		}
		var ranIn []string // groups of attempts that may have run
		actions := module.Handle(now, policy.RequestArrived{Request: 1, Function: 7, Lanes: 1, Remaining: 4 * time.Second}, nil)
		for attempt := 0; len(actions) > 0; attempt++ {
			var started *policy.StartAttempt
			for _, action := range actions {
				if start, ok := action.(policy.StartAttempt); ok {
					started = &start
				}
			}
			if started == nil {
				break
			}
			for _, earlier := range ranIn {
				if earlier != group(started.Worker) {
					t.Fatalf("the request may have run in %q, and is sent to a worker in %q", earlier, group(started.Worker))
				}
				repeats++
			}
			outcome := rapid.SampledFrom([]policy.Outcome{policy.ConnectionReset, policy.Failed, policy.TimedOut, policy.Overloaded, policy.Unreachable}).Draw(t, "outcome")
			if !outcome.NeverRan() {
				ranIn = append(ranIn, group(started.Worker))
			}
			now += time.Millisecond
			actions = module.Handle(now, policy.AttemptCompleted{Request: 1, Attempt: attempt, Worker: started.Worker, Outcome: outcome, Took: time.Millisecond}, nil)
		}
	})
	if repeats == 0 {
		t.Error("no request was repeated within its group")
	}
}

// A worker that is spelled differently in the configuration and by discovery is one worker: it does not leave and
// return, it keeps its connections, and routes find it by any spelling.
func TestSpellingsOfANameAreOneWorker(t *testing.T) {
	m := newTestMembership(t)
	m.update([]discovery.Worker{listEntry(t, "S-1", policy.Ready, "127.0.0.1:1")})
	if got := m.startAttempt(workerID("s-1"), 0); got != "tcp4 127.0.0.1:1" {
		t.Fatalf("dialed %q", got)
	}
	m.update([]discovery.Worker{listEntry(t, "s-1", policy.Ready, "127.0.0.1:1")})
	if m.transports[0].Closed || len(m.departed) > 0 || len(m.returned) > 0 || m.startTime(m.list[0]).at != 0 {
		t.Errorf("closed: %v, departed %v, returned %v, started %v", m.transports[0].Closed, m.departed, m.returned, m.startTime(m.list[0]).at)
	}
}

// Entries of one process that disagree on its zone or its cell leave them unknown.
func TestAliasesThatDisagreeHaveNoGroup(t *testing.T) {
	m := newTestMembership(t)
	m.config.Network.Zones = []string{"dc1", "DC2"}
	a := listEntry(t, "s-1", policy.Ready, "127.0.0.1:1")
	b := listEntry(t, "s-2", policy.Ready, "127.0.0.1:1")
	a.Zone, b.Zone = "DC1", "dc1"
	a.Cell, b.Cell = policy.KnownGroup(4), policy.KnownGroup(5)
	m.list = []discovery.Worker{a, b}
	merged := m.mergeAliases()
	if len(merged) != 1 || merged[0].endpoint.Zone != policy.KnownGroup(0) || merged[0].endpoint.Cell.IsKnown() {
		t.Errorf("merged %+v, want one worker in zone 0 without a cell", merged)
	}
	m.list[1].Zone = "dc2"
	if merged := m.mergeAliases(); merged[0].endpoint.Zone.IsKnown() {
		t.Errorf("zone %v, want none", merged[0].endpoint.Zone)
	}
}

// A worker whose zone, kind or cell the router can't use is logged once, again if the value changes, and counted.
func TestUnknownGroupsAreLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	cfg := &config.Config{}
	cfg.Network.Zones = []string{"DC1"}
	cfg.Network.Kinds = []string{"std"}
	cfg.Policy.Classes = []policy.Class{{Idempotency: policy.IdempotentWithKey, DeduplicationScope: policy.DeduplicatedInCell}}
	u := &unknownGroups{config: cfg, logger: logging.New(&log, slog.LevelInfo)}
	known := discovery.Worker{Name: "s-1", Zone: "dc1", Kind: "std", Cell: policy.KnownGroup(0)}
	unknown := discovery.Worker{Name: "S-2", Zone: "lab", Kind: "STD"}
	for range 2 {
		u.update([]discovery.Worker{known, unknown})
	}
	want := []string{"name=S-2 field=zone value=lab", "name=S-2 field=kind value=STD", `name=S-2 field=cell value=""`}
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	for i, line := range lines {
		if i >= len(want) || !strings.HasSuffix(line, "level=WARN event=worker_group_unknown "+want[i]) {
			t.Errorf("line %q", line)
		}
	}
	if len(lines) != len(want) || u.zones != 1 || u.kinds != 1 || u.cells != 1 {
		t.Errorf("%d lines; counters %d, %d, %d", len(lines), u.zones, u.kinds, u.cells)
	}
	unknown.Zone = "attic"
	u.update([]discovery.Worker{known, unknown})
	if !strings.HasSuffix(log.String(), "field=zone value=attic\n") || strings.Count(log.String(), "\n") != len(want)+1 {
		t.Errorf("log %s, want one more line for the other zone", log.String())
	}
}

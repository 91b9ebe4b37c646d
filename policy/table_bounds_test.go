package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// boundedTables plays random peers against a Policy whose tables are small: clients name any function at any time, and
// workers answer in any way.
type boundedTables struct {
	*harness
	open []StartAttempt // attempts in flight
	load []Load         // load commands in flight
}

const (
	boundedFunctions = 24
	boundedReplicas  = 16
	boundedOpen      = 4
)

var boundedLimits = TableLimits{Functions: boundedFunctions, Replicas: boundedReplicas}

// record keeps the attempts and load commands that the module has started.
func (b *boundedTables) record(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case StartAttempt:
			b.open = append(b.open, a)
		case Load:
			b.load = append(b.load, a)
		}
	}
}

// completeAttempt ends an attempt in flight with any outcome.
func (b *boundedTables) completeAttempt(t *rapid.T) {
	i := rapid.IntRange(0, len(b.open)-1).Draw(t, "attempt")
	a := b.open[i]
	b.open = append(b.open[:i], b.open[i+1:]...)
	r := b.p.requests.get(a.Request)
	if r == nil {
		return
	}
	number := len(r.attempts) - 1
	outcome := rapid.SampledFrom([]Outcome{Served, NotLoaded, Overloaded, Failed, ConnectionReset}).Draw(t, "outcome")
	b.record(b.handle(AttemptCompleted{Request: a.Request, Attempt: number, Worker: a.Worker, Outcome: outcome, RequestClosed: outcome == Served, Took: ms}))
}

// completeLoad ends a load command in flight with any outcome.
func (b *boundedTables) completeLoad(t *rapid.T) {
	i := rapid.IntRange(0, len(b.load)-1).Draw(t, "load")
	l := b.load[i]
	b.load = append(b.load[:i], b.load[i+1:]...)
	outcome := rapid.SampledFrom([]Outcome{Served, Failed, TimedOut}).Draw(t, "outcome")
	b.record(b.handle(LoadCompleted{Worker: l.Worker, Function: l.Function, Outcome: outcome, Took: time.Second}))
}

// check fails the test if a table is above its bound, or if what is in use has been replaced.
func (b *boundedTables) check(t *rapid.T) {
	p := b.p
	if got := len(p.functions.byID); got > boundedFunctions || got != p.functions.leastRecent.Len() {
		t.Fatalf("%d functions are kept, %d of them in order, want at most %d", got, p.functions.leastRecent.Len(), boundedFunctions)
	}
	replicas, loads := 0, 0
	for _, w := range p.workers.fleet {
		replicas += len(w.replicas)
		loads += w.pendingLoads
	}
	if replicas > boundedReplicas || replicas != p.replicas.leastRecent.Len() || loads != p.replicas.loads || loads > boundedReplicas/2 {
		t.Fatalf("%d replicas are kept, %d in order; %d loads, %d counted", replicas, p.replicas.leastRecent.Len(), loads, p.replicas.loads)
	}
	for _, r := range p.requests.byID {
		if p.functions.get(r.Function) != r.function {
			t.Fatalf("the function of open request %d was replaced", r.Request)
		}
		for _, a := range r.attempts {
			if entry := a.worker.replicas[r.Function]; !a.completed && (entry == nil || entry.inFlight == 0) {
				t.Fatalf("the replica of attempt %d of request %d was replaced", a.number, r.Request)
			}
		}
	}
	for _, l := range b.load {
		if entry := p.workers.get(l.Worker).replicas[l.Function]; entry == nil || !entry.loadPending {
			t.Fatalf("the replica of a load command at worker %d was replaced", l.Worker)
		}
	}
}

// Guards against memory that grows with the names that clients send (review/7): no table is ever above its bound.
func TestTablesStayWithinTheirBoundsWhateverPeersSend(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := config()
		cfg.LoadCommandsSupported, cfg.MissWhenNotLoaded = true, rapid.Bool().Draw(rt, "miss")
		cfg.LoadBudgetMinimum, cfg.LoadBudgetWindow = 100, time.Minute
		b := &boundedTables{harness: newHarness(t, cfg, 5)}
		b.p.LimitTables(boundedLimits)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			switch step := rapid.IntRange(0, 9).Draw(rt, "step"); {
			case step < 5 && len(b.p.requests.byID) < boundedOpen:
				_, actions := b.arrive(rapid.IntRange(0, 2).Draw(rt, "class"), FunctionID(rapid.IntRange(1, 200).Draw(rt, "function")))
				b.record(actions)
			case step < 8 && len(b.open) > 0:
				b.completeAttempt(rt)
			case step == 8 && len(b.load) > 0:
				b.completeLoad(rt)
			default:
				b.advance(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * ms)
			}
			b.check(rt)
		}
	})
}

// Guards against a flood of new names that makes the router forget what it knows: a function with a loaded replica
// stays, and functions without one leave no entry behind.
func TestFloodOfNamesDoesNotReplaceALoadedFunction(t *testing.T) {
	cfg := config()
	cfg.MissWhenNotLoaded = true
	h := newHarness(t, cfg, 2)
	h.p.LimitTables(boundedLimits)
	h.serve(7, 20*ms, AlreadyLoaded)
	known := h.p.functions.get(7)
	for name := FunctionID(1000); name < 3000; name++ {
		id, actions := h.arrive(0, name)
		for number := 0; has[StartAttempt](actions); number++ {
			s, _ := first[StartAttempt](actions)
			actions = h.handle(AttemptCompleted{Request: id, Attempt: number, Worker: s.Worker, Outcome: NotLoaded, Took: ms})
		}
		h.handle(RequestCanceled{Request: id})
		h.now += ms
	}
	if h.p.functions.get(7) != known || !h.p.replicas.has(7) {
		t.Error("the loaded function was forgotten")
	}
	if functions, replicas := len(h.p.functions.byID), h.p.replicas.leastRecent.Len(); functions > boundedFunctions || replicas != 1 {
		t.Errorf("%d functions and %d replicas are kept, want at most %d and 1", functions, replicas, boundedFunctions)
	}
	if h.p.TableCounters().FunctionsEvicted == 0 {
		t.Error("no replaced function was counted")
	}
}

// Guards against a sweep whose time grows with the functions that clients have named.
func TestSweepForgetsABoundedNumberOfFunctions(t *testing.T) {
	table := newFunctionTable(&replicaTable{})
	for name := range FunctionID(3 * maxForgottenPerSweep) {
		table.recordRequest(0, RequestArrived{Function: name}, &classState{})
	}
	for swept := 1; swept <= 3; swept++ {
		table.forgetUnused(functionRetention + 1)
		if want := (3 - swept) * maxForgottenPerSweep; len(table.byID) != want {
			t.Errorf("%d functions after sweep %d, want %d", len(table.byID), swept, want)
		}
	}
}

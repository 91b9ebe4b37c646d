package policy

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakePool is a stand-in for a route's fakePool.
type fakePool struct {
	members                      map[WorkerID]bool
	capacity                     int
	inFlight, maxInFlight        int
	completed                    int
	loads, maxLoads              int
	next                         *fakePool
	overflowsLeft, overflowCalls int
}

func (p *fakePool) Contains(w WorkerID) bool            { return p.members[w] }
func (p *fakePool) HasCapacity() bool                   { return p.inFlight < p.capacity }
func (p *fakePool) AttemptStarted()                     { p.inFlight++; p.maxInFlight = max(p.maxInFlight, p.inFlight) }
func (p *fakePool) AttemptFinished()                    { p.inFlight--; p.completed++ }
func (p *fakePool) MayLoad(time.Duration, float64) bool { return p.loads < p.maxLoads }
func (p *fakePool) LoadStarted(time.Duration)           { p.loads++ }
func (p *fakePool) Overflow(time.Duration) Pool {
	if p.overflowCalls++; p.next == nil || p.overflowsLeft == 0 {
		return nil
	}
	p.overflowsLeft--
	return p.next
}

func newFakePool(room int, members ...WorkerID) *fakePool {
	p := &fakePool{members: map[WorkerID]bool{}, capacity: room, maxLoads: 100}
	for _, w := range members {
		p.members[w] = true
	}
	return p
}

// arriveWithPolicy has a request arrive arriveWithPolicy terms.
func (b *harness) arriveWithPolicy(class int, t RequestPolicy) (RequestID, []Action) {
	b.id++
	return b.id, b.handle(RequestArrived{Request: b.id, Class: class, Function: 7, Lanes: 4, LoadTime: time.Second, Remaining: 4 * time.Second, Policy: &t})
}

func unlimitedPolicy(p *fakePool) RequestPolicy {
	return RequestPolicy{Pool: p, RetriesAfterPossibleRun: -1, RetriesAfterProvenNoRun: -1}
}

func TestRequestsStayInTheirPool(t *testing.T) {
	b := newHarness(t, config(), 4)
	p := newFakePool(100, 3)
	for range 30 {
		_, acts := b.arriveWithPolicy(0, unlimitedPolicy(p))
		if s, ok := first[StartAttempt](acts); !ok || s.Worker != 3 {
			t.Fatalf("%v, want worker 3", acts)
		}
	}
	if p.inFlight != 30 {
		t.Errorf("%d attempts counted, 30 are out", p.inFlight)
	}
	empty := newFakePool(100, 99)
	if _, acts := b.arriveWithPolicy(0, unlimitedPolicy(empty)); !has[Reject](acts) {
		t.Errorf("a pool with no worker: %v, want a rejection at once", acts)
	}
}

// Guards the cap at every instant, and that what is beyond it is rejected at once and not queued.
func TestRequestsBeyondPoolCapacityAreRejected(t *testing.T) {
	b := newHarness(t, config(), 4)
	p := newFakePool(2, 1, 2)
	one, acts := b.arriveWithPolicy(0, unlimitedPolicy(p))
	s, _ := first[StartAttempt](acts)
	b.arriveWithPolicy(0, unlimitedPolicy(p))
	if _, acts := b.arriveWithPolicy(0, unlimitedPolicy(p)); !has[Reject](acts) {
		t.Errorf("over the cap: %v, want a rejection at once", acts)
	}
	if len(b.p.requests.deferred) > 0 {
		t.Error("a request over the cap is deferred")
	}
	b.handle(AttemptCompleted{Request: one, Worker: s.Worker, Outcome: Served, Closed: true, Took: ms})
	if _, acts := b.arriveWithPolicy(0, unlimitedPolicy(p)); !has[StartAttempt](acts) || p.maxInFlight != 2 {
		t.Errorf("room again: %v, at most %d out", acts, p.maxInFlight)
	}
}

func TestRequestOverflowsWhenItsPoolIsFull(t *testing.T) {
	b := newHarness(t, config(), 4)
	p, next := newFakePool(1, 1), newFakePool(100, 4)
	p.next, p.overflowsLeft = next, 1
	b.arriveWithPolicy(0, unlimitedPolicy(p))
	_, acts := b.arriveWithPolicy(0, unlimitedPolicy(p))
	if s, ok := first[StartAttempt](acts); !ok || s.Worker != 4 || next.inFlight != 1 || p.inFlight != 1 {
		t.Errorf("a full pool's call: %v, want worker 4", acts)
	}
	if _, acts := b.arriveWithPolicy(0, unlimitedPolicy(p)); !has[Reject](acts) {
		t.Errorf("beyond the overflow limit: %v, want a rejection", acts)
	}
	// A call that may not be sent again has nothing to spill.
	asked := p.overflowCalls
	q := newFakePool(100, 2)
	q.next, q.overflowsLeft = next, 100
	id, acts := b.arriveWithPolicy(2, unlimitedPolicy(q))
	s, _ := first[StartAttempt](acts)
	acts = b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: ConnectionReset})
	if !has[FailRequest](acts) || has[StartAttempt](acts) || q.overflowCalls > 0 || p.overflowCalls != asked {
		t.Errorf("an order that may have run: %v, want a failure", acts)
	}
}

// The two kinds of further attempts are counted apart: after one that may have run, and after those that never
// ran, which alone an order gets.
func TestRetriesByWhetherTheAttemptMayHaveRun(t *testing.T) {
	run := func(class int, terms RequestPolicy, outcomes ...Outcome) (sends int, last []Action) {
		b := newHarness(t, config(), 6)
		terms.Pool = newFakePool(100, 1, 2, 3, 4, 5, 6)
		id, acts := b.arriveWithPolicy(class, terms)
		for _, o := range outcomes {
			s, ok := first[StartAttempt](acts)
			if !ok {
				break
			}
			sends++
			acts = b.handle(AttemptCompleted{Request: id, Attempt: sends - 1, Worker: s.Worker, Outcome: o})
		}
		return sends, acts
	}
	free := RequestPolicy{RetriesAfterPossibleRun: -1, RetriesAfterProvenNoRun: -1}
	for _, c := range []struct {
		name     string
		class    int
		terms    RequestPolicy
		outcomes []Outcome
		sends    int
	}{
		{"as the settings allow", 0, free, []Outcome{Failed, Failed, Failed, Failed, Failed, Failed}, 5},
		{"attempts", 0, RequestPolicy{MaxAttempts: 2, RetriesAfterPossibleRun: -1, RetriesAfterProvenNoRun: -1}, []Outcome{Failed, Failed, Failed}, 2},
		{"attempts beyond the settings", 0, RequestPolicy{MaxAttempts: 9, RetriesAfterPossibleRun: -1, RetriesAfterProvenNoRun: -1}, []Outcome{Failed, Failed, Failed, Failed, Failed, Failed, Failed}, 5},
		{"none if it may have run", 0, RequestPolicy{RetriesAfterPossibleRun: 0, RetriesAfterProvenNoRun: -1}, []Outcome{Failed, Failed}, 1},
		{"none if it may have run, after some that never ran", 0, RequestPolicy{RetriesAfterPossibleRun: 0, RetriesAfterProvenNoRun: -1}, []Outcome{Overloaded, Overloaded, Failed, Overloaded}, 3},
		{"one if it may have run", 0, RequestPolicy{RetriesAfterPossibleRun: 1, RetriesAfterProvenNoRun: -1}, []Outcome{Failed, Failed, Failed}, 2},
		{"none if it never ran", 0, RequestPolicy{RetriesAfterPossibleRun: -1, RetriesAfterProvenNoRun: 0}, []Outcome{Overloaded, Overloaded}, 1},
		{"one if it never ran", 0, RequestPolicy{RetriesAfterPossibleRun: -1, RetriesAfterProvenNoRun: 1}, []Outcome{Overloaded, Overloaded, Overloaded}, 2},
		{"an order that never ran goes again", 2, free, []Outcome{Overloaded, Overloaded, Overloaded}, 3},
		{"an order that may have run does not, whatever the terms", 2, RequestPolicy{RetriesAfterPossibleRun: 5, RetriesAfterProvenNoRun: 5}, []Outcome{Overloaded, Failed, Failed}, 2},
	} {
		if got, acts := run(c.class, c.terms, c.outcomes...); got != c.sends {
			t.Errorf("%s: %d sends, want %d; %v", c.name, got, c.sends, acts)
		}
	}
}

// Guards second replicas: after the time, to another worker, one that has the function; of a repeatable request
// alone, and only where the settings allow two attempts at once.
func TestHedgedRequest(t *testing.T) {
	start := func(class int, allowed bool) (*harness, RequestID, StartAttempt, uint64) {
		cfg := config()
		cfg.HedgingAllowed = allowed
		b := newHarness(t, cfg, 4)
		for w := range WorkerID(4) {
			b.p.replicas.get(b.p.workers.byID[w+1], 7).loadedUntil = b.now + time.Hour
		}
		terms := unlimitedPolicy(newFakePool(100, 1, 2, 3, 4))
		terms.HedgeDelay = 100 * ms
		id, acts := b.arriveWithPolicy(class, terms)
		s, _ := first[StartAttempt](acts)
		for _, a := range acts {
			if k, ok := a.(SetTimer); ok && k.Token >= hedgeToken {
				return b, id, s, k.Token
			}
		}
		t.Fatalf("no timer: %v", acts)
		return nil, 0, s, 0
	}
	b, id, one, token := start(0, true)
	b.now += 100 * ms
	acts := b.handle(TimerFired{Token: token})
	two, ok := first[StartAttempt](acts)
	if !ok || two.Worker == one.Worker {
		t.Fatalf("%v beside worker %d, want another worker", acts, one.Worker)
	}
	if acts := b.handle(TimerFired{Token: token}); has[StartAttempt](acts) {
		t.Error("a third copy goes out")
	}
	acts = b.handle(AttemptCompleted{Request: id, Attempt: 1, Worker: two.Worker, Outcome: Served, Closed: true, Took: 50 * ms})
	if c, ok := first[CancelAttempt](acts); !ok || c.Attempt != 0 {
		t.Errorf("the copy is served: %v, want the first canceled", acts)
	}
	for name, x := range map[string]struct {
		class   int
		allowed bool
	}{"an order": {2, true}, "a keyed request": {1, true}, "settings that allow none": {0, false}} {
		b, _, _, token := start(x.class, x.allowed)
		b.now += 100 * ms
		if acts := b.handle(TimerFired{Token: token}); has[StartAttempt](acts) {
			t.Errorf("%s gets a second copy: %v", name, acts)
		}
	}
}

func TestAttemptTimeoutAndLoads(t *testing.T) {
	cfg := config()
	cfg.MissWhenNotLoaded, cfg.LoadCommandsSupported, cfg.LoadBudgetWindow, cfg.LoadBudgetMinimum = true, true, 10*time.Second, 5
	b := newHarness(t, cfg, 3)
	p := newFakePool(100, 1, 2, 3)
	p.maxLoads = 1
	terms := unlimitedPolicy(p)
	terms.AttemptTimeout = 300 * ms
	commands := 0
	for f := range FunctionID(3) {
		b.id++
		acts := b.handle(RequestArrived{Request: b.id, Function: 20 + f, Lanes: 1, LoadTime: time.Second, Remaining: 4 * time.Second, Policy: &terms})
		s, ok := first[StartAttempt](acts)
		if !ok || s.Limit != terms.AttemptTimeout {
			t.Fatalf("%v, want a limit of %v", acts, terms.AttemptTimeout)
		}
		if has[Load](b.handle(AttemptCompleted{Request: b.id, Worker: s.Worker, Outcome: NotLoaded})) {
			commands++
		}
	}
	if commands != 1 || p.loads != 1 {
		t.Errorf("%d load commands, %d counted; the pool's share is 1", commands, p.loads)
	}
}

// Guards the counts of pools over random histories: what is counted as out is what is out, under its cap, and
// nothing stays counted when all has ended.
func TestPoolCountsBalance(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := config()
		cfg.HedgingAllowed = true
		b := newHarness(t, cfg, 4)
		pools := []*fakePool{newFakePool(3, 1, 2), newFakePool(2, 2, 3, 4)}
		pools[0].next, pools[0].overflowsLeft = pools[1], 1000
		type out struct {
			id     RequestID
			number int
			w      WorkerID
		}
		var outs []out
		sent := map[RequestID]int{}
		var tokens []uint64
		take := func(acts []Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case StartAttempt:
					outs = append(outs, out{a.Request, sent[a.Request], a.Worker})
					sent[a.Request]++
				case SetTimer:
					if a.Token >= hedgeToken {
						tokens = append(tokens, a.Token)
					}
				}
			}
			if n := pools[0].inFlight + pools[1].inFlight; n != len(outs) || pools[0].inFlight > 3 || pools[1].inFlight > 2 {
				rt.Fatalf("%d and %d are counted, %d are out", pools[0].inFlight, pools[1].inFlight, len(outs))
			}
		}
		end := func(i int, o Outcome) {
			x := outs[i]
			outs = append(outs[:i], outs[i+1:]...)
			take(b.handle(AttemptCompleted{Request: x.id, Attempt: x.number, Worker: x.w, Outcome: o, Took: 10 * ms,
				Closed: o == Served}))
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			b.now += time.Duration(rapid.IntRange(0, 200).Draw(rt, "passes")) * ms
			switch what := rapid.IntRange(0, 4).Draw(rt, "what"); {
			case what <= 1:
				terms := unlimitedPolicy(pools[rapid.IntRange(0, 1).Draw(rt, "pool")])
				terms.HedgeDelay = 100 * ms
				_, acts := b.arriveWithPolicy(rapid.SampledFrom([]int{0, 0, 2}).Draw(rt, "class"), terms)
				take(acts)
			case what == 2 && len(outs) > 0:
				o := rapid.SampledFrom([]Outcome{Served, Failed, Overloaded, ConnectionReset, TimedOut, Canceled, NotLoaded, NotSent}).Draw(rt, "end")
				end(rapid.IntRange(0, len(outs)-1).Draw(rt, "which"), o)
			case what == 3 && len(tokens) > 0:
				take(b.handle(TimerFired{Token: tokens[0]}))
				tokens = tokens[1:]
			case what == 4 && b.id > 0:
				take(b.handle(RequestCanceled{Request: RequestID(rapid.IntRange(1, int(b.id)).Draw(rt, "leaves"))}))
			}
		}
		for id := range b.id {
			take(b.handle(RequestCanceled{Request: id + 1}))
		}
		for len(outs) > 0 {
			end(0, Canceled)
		}
		if pools[0].inFlight != 0 || pools[1].inFlight != 0 {
			rt.Fatalf("%d and %d stay counted", pools[0].inFlight, pools[1].inFlight)
		}
	})
}

// Guards what stands without a routes file: a request under terms that tighten nothing, in a pool of all workers,
// gets the same actions as one without terms, on the same events.
func TestUnlimitedPolicyChangesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := config()
		cfg.MissWhenNotLoaded, cfg.LoadCommandsSupported, cfg.LoadBudgetWindow, cfg.LoadBudgetMinimum, cfg.LoadBudgetRatio = true, true, 10*time.Second, 4, 0.3
		plain, under := newHarness(t, cfg, 4), newHarness(t, cfg, 4)
		terms := unlimitedPolicy(newFakePool(1<<30, 1, 2, 3, 4))
		terms.Pool.(*fakePool).maxLoads = 1 << 30
		var outs []StartAttempt
		number := map[RequestID]int{}
		both := func(ev Event) {
			a := plain.handle(ev)
			if e, ok := ev.(RequestArrived); ok {
				e.Policy = &terms
				ev = e
			}
			b := under.handle(ev)
			if !reflect.DeepEqual(a, b) {
				rt.Fatalf("%+v: %v without terms, %v with open ones", ev, a, b)
			}
			for _, x := range a {
				if s, ok := x.(StartAttempt); ok {
					outs = append(outs, s)
				}
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			pass := time.Duration(rapid.IntRange(0, 300).Draw(rt, "passes")) * ms
			plain.now, under.now = plain.now+pass, under.now+pass
			switch what := rapid.IntRange(0, 3).Draw(rt, "what"); {
			case what <= 1 || len(outs) == 0:
				both(RequestArrived{Request: RequestID(i + 1), Class: rapid.IntRange(0, 2).Draw(rt, "class"), Function: FunctionID(rapid.IntRange(0, 3).Draw(rt, "function")),
					Lanes: 1, LoadTime: time.Second, Remaining: 4 * time.Second})
			case what == 2:
				s := outs[0]
				outs = outs[1:]
				o := rapid.SampledFrom([]Outcome{Served, Served, Failed, Overloaded, ConnectionReset, TimedOut, NotLoaded, Unreachable}).Draw(rt, "end")
				both(AttemptCompleted{Request: s.Request, Attempt: number[s.Request], Worker: s.Worker, Outcome: o, LoadStatus: AlreadyLoaded, Closed: o == Served, Took: 80 * ms})
				number[s.Request]++
			default:
				both(TimerFired{Token: housekeepingToken})
			}
		}
	})
}

// Guards the return of a pool that died whole: while nobody else can take its calls, its workers are looked at
// every half second, not after spells that have grown.
func TestPoolOfEjectedWorkersIsCheckedSooner(t *testing.T) {
	b := newHarness(t, config(), 2)
	p := newFakePool(100, 1)
	for range 6 { // spells of 1, 2, 4 and 8 s
		b.now += 10 * time.Second
		b.p.now = b.now
		b.p.scheduler.outliers.eject(b.p.now, b.p.workers.byID[1])
	}
	w := b.p.workers.byID[1]
	w.health.lastCheck = b.now
	if left := w.health.ejectedUntil - b.now; left < 7*time.Second {
		t.Fatalf("ejected for %v", left)
	}
	b.arriveWithPolicy(0, unlimitedPolicy(p))
	if left := w.health.ejectedUntil - b.now; left > 500*ms {
		t.Errorf("looked at in %v with a call that waits for it", left)
	}
}

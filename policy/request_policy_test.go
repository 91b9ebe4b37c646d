package policy

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakePool is a fake of the pool of a route.
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
func (p *fakePool) AttemptCompleted()                   { p.inFlight--; p.completed++ }
func (p *fakePool) MayLoad(time.Duration, float64) bool { return p.loads < p.maxLoads }
func (p *fakePool) LoadStarted(time.Duration)           { p.loads++ }
func (p *fakePool) Overflow(time.Duration) Pool {
	if p.overflowCalls++; p.next == nil || p.overflowsLeft == 0 {
		return nil
	}
	p.overflowsLeft--
	return p.next
}

func newFakePool(capacity int, members ...WorkerID) *fakePool {
	p := &fakePool{members: map[WorkerID]bool{}, capacity: capacity, maxLoads: 100}
	for _, w := range members {
		p.members[w] = true
	}
	return p
}

// arriveWithPolicy has a request with a policy arrive.
func (h *harness) arriveWithPolicy(class int, policy RequestPolicy) (RequestID, []Action) {
	h.id++
	return h.id, h.handle(RequestArrived{Request: h.id, Class: class, Function: 7, Lanes: 4, LoadTime: time.Second, Remaining: 4 * time.Second, Policy: &policy})
}

func unlimitedPolicy(p *fakePool) RequestPolicy {
	return RequestPolicy{Pool: p, RetriesAfterPossibleRun: -1, RetriesAfterProvenNoRun: -1}
}

func TestRequestsStayInTheirPool(t *testing.T) {
	h := newHarness(t, config(), 4)
	p := newFakePool(100, 3)
	for range 30 {
		_, actions := h.arriveWithPolicy(0, unlimitedPolicy(p))
		if s, ok := first[StartAttempt](actions); !ok || s.Worker != 3 {
			t.Fatalf("%v, want worker 3", actions)
		}
	}
	if p.inFlight != 30 {
		t.Errorf("%d attempts counted, 30 are in flight", p.inFlight)
	}
	empty := newFakePool(100, 99)
	if _, actions := h.arriveWithPolicy(0, unlimitedPolicy(empty)); !has[Reject](actions) {
		t.Errorf("a pool with no worker: %v, want a rejection at once", actions)
	}
}

// A pool must never exceed its capacity. Requests beyond it are rejected at once and not queued.
func TestRequestsBeyondPoolCapacityAreRejected(t *testing.T) {
	h := newHarness(t, config(), 4)
	p := newFakePool(2, 1, 2)
	firstID, actions := h.arriveWithPolicy(0, unlimitedPolicy(p))
	s, _ := first[StartAttempt](actions)
	h.arriveWithPolicy(0, unlimitedPolicy(p))
	if _, actions := h.arriveWithPolicy(0, unlimitedPolicy(p)); !has[Reject](actions) {
		t.Errorf("beyond the capacity: %v, want a rejection at once", actions)
	}
	if len(h.p.requests.deferred) > 0 {
		t.Error("a request beyond the capacity is deferred")
	}
	h.handle(AttemptCompleted{Request: firstID, Worker: s.Worker, Outcome: Served, RequestClosed: true, Took: ms})
	if _, actions := h.arriveWithPolicy(0, unlimitedPolicy(p)); !has[StartAttempt](actions) || p.maxInFlight != 2 {
		t.Errorf("with capacity again: %v, at most %d in flight", actions, p.maxInFlight)
	}
}

func TestRequestOverflowsWhenItsPoolIsFull(t *testing.T) {
	h := newHarness(t, config(), 4)
	p, next := newFakePool(1, 1), newFakePool(100, 4)
	p.next, p.overflowsLeft = next, 1
	h.arriveWithPolicy(0, unlimitedPolicy(p))
	_, actions := h.arriveWithPolicy(0, unlimitedPolicy(p))
	if s, ok := first[StartAttempt](actions); !ok || s.Worker != 4 || next.inFlight != 1 || p.inFlight != 1 {
		t.Errorf("request to a full pool: %v, want worker 4", actions)
	}
	if _, actions := h.arriveWithPolicy(0, unlimitedPolicy(p)); !has[Reject](actions) {
		t.Errorf("beyond the overflow limit: %v, want a rejection", actions)
	}
	// A request that must not be retried does not overflow.
	overflowCalls := p.overflowCalls
	q := newFakePool(100, 2)
	q.next, q.overflowsLeft = next, 100
	id, actions := h.arriveWithPolicy(2, unlimitedPolicy(q))
	s, _ := first[StartAttempt](actions)
	actions = h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: ConnectionReset})
	if !has[FailRequest](actions) || has[StartAttempt](actions) || q.overflowCalls > 0 || p.overflowCalls != overflowCalls {
		t.Errorf("a request that is not idempotent and may have run: %v, want a failure", actions)
	}
}

// Retries after an attempt that may have run and retries after attempts that never ran have separate limits.
// A request that is not idempotent gets only the second kind.
func TestRetriesByWhetherTheAttemptMayHaveRun(t *testing.T) {
	run := func(class int, policy RequestPolicy, outcomes ...Outcome) (attempts int, last []Action) {
		h := newHarness(t, config(), 6)
		policy.Pool = newFakePool(100, 1, 2, 3, 4, 5, 6)
		id, actions := h.arriveWithPolicy(class, policy)
		for _, o := range outcomes {
			s, ok := first[StartAttempt](actions)
			if !ok {
				break
			}
			attempts++
			actions = h.handle(AttemptCompleted{Request: id, Attempt: attempts - 1, Worker: s.Worker, Outcome: o})
		}
		return attempts, actions
	}
	unlimited := RequestPolicy{RetriesAfterPossibleRun: -1, RetriesAfterProvenNoRun: -1}
	for _, c := range []struct {
		name     string
		class    int
		policy   RequestPolicy
		outcomes []Outcome
		attempts int
	}{
		{"as the settings allow", 0, unlimited, []Outcome{Failed, Failed, Failed, Failed, Failed, Failed}, 5},
		{"attempts", 0, RequestPolicy{MaxAttempts: 2, RetriesAfterPossibleRun: -1, RetriesAfterProvenNoRun: -1}, []Outcome{Failed, Failed, Failed}, 2},
		{"attempts beyond the settings", 0, RequestPolicy{MaxAttempts: 9, RetriesAfterPossibleRun: -1, RetriesAfterProvenNoRun: -1}, []Outcome{Failed, Failed, Failed, Failed, Failed, Failed, Failed}, 5},
		{"no retry if it may have run", 0, RequestPolicy{RetriesAfterPossibleRun: 0, RetriesAfterProvenNoRun: -1}, []Outcome{Failed, Failed}, 1},
		{"no retry if it may have run, after some that never ran", 0, RequestPolicy{RetriesAfterPossibleRun: 0, RetriesAfterProvenNoRun: -1}, []Outcome{Overloaded, Overloaded, Failed, Overloaded}, 3},
		{"one retry if it may have run", 0, RequestPolicy{RetriesAfterPossibleRun: 1, RetriesAfterProvenNoRun: -1}, []Outcome{Failed, Failed, Failed}, 2},
		{"no retry if it never ran", 0, RequestPolicy{RetriesAfterPossibleRun: -1, RetriesAfterProvenNoRun: 0}, []Outcome{Overloaded, Overloaded}, 1},
		{"one retry if it never ran", 0, RequestPolicy{RetriesAfterPossibleRun: -1, RetriesAfterProvenNoRun: 1}, []Outcome{Overloaded, Overloaded, Overloaded}, 2},
		{"a request that is not idempotent and never ran is retried", 2, unlimited, []Outcome{Overloaded, Overloaded, Overloaded}, 3},
		{"a request that is not idempotent and may have run is not, whatever its policy", 2, RequestPolicy{RetriesAfterPossibleRun: 5, RetriesAfterProvenNoRun: 5}, []Outcome{Overloaded, Failed, Failed}, 2},
	} {
		if got, actions := run(c.class, c.policy, c.outcomes...); got != c.attempts {
			t.Errorf("%s: %d attempts, want %d; %v", c.name, got, c.attempts, actions)
		}
	}
}

// A hedged attempt starts after its delay, at another worker that has the function. Only idempotent requests
// get one, and only if the settings allow two attempts at once.
func TestHedgedRequest(t *testing.T) {
	start := func(class int, allowed bool) (*harness, RequestID, StartAttempt, uint64) {
		cfg := config()
		cfg.HedgingAllowed = allowed
		h := newHarness(t, cfg, 4)
		for w := range WorkerID(4) {
			h.p.replicas.get(h.p.workers.byID[w+1], 7).loadedUntil = h.now + time.Hour
		}
		policy := unlimitedPolicy(newFakePool(100, 1, 2, 3, 4))
		policy.HedgeDelay = 100 * ms
		id, actions := h.arriveWithPolicy(class, policy)
		s, _ := first[StartAttempt](actions)
		for _, a := range actions {
			if k, ok := a.(SetTimer); ok && k.Token >= hedgeToken {
				return h, id, s, k.Token
			}
		}
		t.Fatalf("no timer: %v", actions)
		return nil, 0, s, 0
	}
	h, id, firstAttempt, token := start(0, true)
	h.now += 100 * ms
	actions := h.handle(TimerFired{Token: token})
	hedge, ok := first[StartAttempt](actions)
	if !ok || hedge.Worker == firstAttempt.Worker {
		t.Fatalf("%v while an attempt is at worker %d, want another worker", actions, firstAttempt.Worker)
	}
	if actions := h.handle(TimerFired{Token: token}); has[StartAttempt](actions) {
		t.Error("a third attempt starts")
	}
	actions = h.handle(AttemptCompleted{Request: id, Attempt: 1, Worker: hedge.Worker, Outcome: Served, RequestClosed: true, Took: 50 * ms})
	if c, ok := first[CancelAttempt](actions); !ok || c.Attempt != 0 {
		t.Errorf("the hedged attempt is served: %v, want the first canceled", actions)
	}
	for name, test := range map[string]struct {
		class   int
		allowed bool
	}{"a request that is not idempotent": {2, true}, "a request with a key": {1, true}, "settings without hedging": {0, false}} {
		h, _, _, token := start(test.class, test.allowed)
		h.now += 100 * ms
		if actions := h.handle(TimerFired{Token: token}); has[StartAttempt](actions) {
			t.Errorf("%s: a hedged attempt starts: %v", name, actions)
		}
	}
}

func TestAttemptTimeoutAndLoads(t *testing.T) {
	cfg := config()
	cfg.MissWhenNotLoaded, cfg.LoadCommandsSupported, cfg.LoadBudgetWindow, cfg.LoadBudgetMinimum = true, true, 10*time.Second, 5
	h := newHarness(t, cfg, 3)
	p := newFakePool(100, 1, 2, 3)
	p.maxLoads = 1
	policy := unlimitedPolicy(p)
	policy.AttemptTimeout = 300 * ms
	commands := 0
	for f := range FunctionID(3) {
		h.id++
		actions := h.handle(RequestArrived{Request: h.id, Function: 20 + f, Lanes: 1, LoadTime: time.Second, Remaining: 4 * time.Second, Policy: &policy})
		s, ok := first[StartAttempt](actions)
		if !ok || s.Timeout != policy.AttemptTimeout {
			t.Fatalf("%v, want a limit of %v", actions, policy.AttemptTimeout)
		}
		if has[Load](h.handle(AttemptCompleted{Request: h.id, Worker: s.Worker, Outcome: NotLoaded})) {
			commands++
		}
	}
	if commands != 1 || p.loads != 1 {
		t.Errorf("%d load commands, %d counted; the pool's share is 1", commands, p.loads)
	}
}

// Checks the counts of pools under random events: the attempts counted as in flight are those in flight, they
// stay within the capacity, and none stays counted when all attempts have completed.
func TestPoolCountsBalance(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := config()
		cfg.HedgingAllowed = true
		h := newHarness(t, cfg, 4)
		pools := []*fakePool{newFakePool(3, 1, 2), newFakePool(2, 2, 3, 4)}
		pools[0].next, pools[0].overflowsLeft = pools[1], 1000
		type inFlight struct {
			id     RequestID
			number int
			w      WorkerID
		}
		var sentAttempts []inFlight
		sent := map[RequestID]int{}
		var hedgeTokens []uint64
		apply := func(actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case StartAttempt:
					sentAttempts = append(sentAttempts, inFlight{a.Request, sent[a.Request], a.Worker})
					sent[a.Request]++
				case SetTimer:
					if a.Token >= hedgeToken {
						hedgeTokens = append(hedgeTokens, a.Token)
					}
				}
			}
			if n := pools[0].inFlight + pools[1].inFlight; n != len(sentAttempts) || pools[0].inFlight > 3 || pools[1].inFlight > 2 {
				rt.Fatalf("%d and %d are counted, %d are in flight", pools[0].inFlight, pools[1].inFlight, len(sentAttempts))
			}
		}
		completeAttempt := func(i int, o Outcome) {
			x := sentAttempts[i]
			sentAttempts = append(sentAttempts[:i], sentAttempts[i+1:]...)
			apply(h.handle(AttemptCompleted{Request: x.id, Attempt: x.number, Worker: x.w, Outcome: o, Took: 10 * ms,
				RequestClosed: o == Served}))
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			h.now += time.Duration(rapid.IntRange(0, 200).Draw(rt, "passes")) * ms
			switch what := rapid.IntRange(0, 4).Draw(rt, "what"); {
			case what <= 1:
				policy := unlimitedPolicy(pools[rapid.IntRange(0, 1).Draw(rt, "pool")])
				policy.HedgeDelay = 100 * ms
				_, actions := h.arriveWithPolicy(rapid.SampledFrom([]int{0, 0, 2}).Draw(rt, "class"), policy)
				apply(actions)
			case what == 2 && len(sentAttempts) > 0:
				o := rapid.SampledFrom([]Outcome{Served, Failed, Overloaded, ConnectionReset, TimedOut, Canceled, NotLoaded, NotSent}).Draw(rt, "end")
				completeAttempt(rapid.IntRange(0, len(sentAttempts)-1).Draw(rt, "which"), o)
			case what == 3 && len(hedgeTokens) > 0:
				apply(h.handle(TimerFired{Token: hedgeTokens[0]}))
				hedgeTokens = hedgeTokens[1:]
			case what == 4 && h.id > 0:
				apply(h.handle(RequestCanceled{Request: RequestID(rapid.IntRange(1, int(h.id)).Draw(rt, "leaves"))}))
			}
		}
		for id := range h.id {
			apply(h.handle(RequestCanceled{Request: id + 1}))
		}
		for len(sentAttempts) > 0 {
			completeAttempt(0, Canceled)
		}
		if pools[0].inFlight != 0 || pools[1].inFlight != 0 {
			rt.Fatalf("%d and %d are still counted", pools[0].inFlight, pools[1].inFlight)
		}
	})
}

// A policy that adds no limits, in a pool of all workers, must change no decision: on the same events, its
// requests get the same actions as requests without a policy, which is how routers without a routes file work.
func TestUnlimitedPolicyChangesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := config()
		cfg.MissWhenNotLoaded, cfg.LoadCommandsSupported, cfg.LoadBudgetWindow, cfg.LoadBudgetMinimum, cfg.LoadBudgetRatio = true, true, 10*time.Second, 4, 0.3
		without, with := newHarness(t, cfg, 4), newHarness(t, cfg, 4)
		policy := unlimitedPolicy(newFakePool(1<<30, 1, 2, 3, 4))
		policy.Pool.(*fakePool).maxLoads = 1 << 30
		var inFlight []StartAttempt
		number := map[RequestID]int{}
		both := func(ev Event) {
			a := without.handle(ev)
			if e, ok := ev.(RequestArrived); ok {
				e.Policy = &policy
				ev = e
			}
			b := with.handle(ev)
			if !reflect.DeepEqual(a, b) {
				rt.Fatalf("%+v: %v without a policy, %v with an unlimited one", ev, a, b)
			}
			for _, x := range a {
				if s, ok := x.(StartAttempt); ok {
					inFlight = append(inFlight, s)
				}
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			elapsed := time.Duration(rapid.IntRange(0, 300).Draw(rt, "passes")) * ms
			without.now, with.now = without.now+elapsed, with.now+elapsed
			switch what := rapid.IntRange(0, 3).Draw(rt, "what"); {
			case what <= 1 || len(inFlight) == 0:
				both(RequestArrived{Request: RequestID(i + 1), Class: rapid.IntRange(0, 2).Draw(rt, "class"), Function: FunctionID(rapid.IntRange(0, 3).Draw(rt, "function")),
					Lanes: 1, LoadTime: time.Second, Remaining: 4 * time.Second})
			case what == 2:
				s := inFlight[0]
				inFlight = inFlight[1:]
				o := rapid.SampledFrom([]Outcome{Served, Served, Failed, Overloaded, ConnectionReset, TimedOut, NotLoaded, Unreachable}).Draw(rt, "end")
				both(AttemptCompleted{Request: s.Request, Attempt: number[s.Request], Worker: s.Worker, Outcome: o, LoadStatus: AlreadyLoaded, RequestClosed: o == Served, Took: 80 * ms})
				number[s.Request]++
			default:
				both(TimerFired{Token: housekeepingToken})
			}
		}
	})
}

// If all workers of a pool are ejected, no other worker can take its requests. The pool's workers must then
// be checked within half a second, and not only at the end of their ejections, which may last 8 s.
func TestPoolOfEjectedWorkersIsCheckedSooner(t *testing.T) {
	h := newHarness(t, config(), 2)
	p := newFakePool(100, 1)
	for range 6 { // ejections of 1, 2, 4 and 8 s
		h.now += 10 * time.Second
		h.p.now = h.now
		h.p.scheduler.outliers.eject(h.p.now, h.p.workers.byID[1])
	}
	w := h.p.workers.byID[1]
	w.health.lastCheck = h.now
	if left := w.health.ejectedUntil - h.now; left < 7*time.Second {
		t.Fatalf("ejected for %v", left)
	}
	h.arriveWithPolicy(0, unlimitedPolicy(p))
	if left := w.health.ejectedUntil - h.now; left > 500*ms {
		t.Errorf("checked in %v although a request waits for it", left)
	}
}

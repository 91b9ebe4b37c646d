package policy

import (
	"testing"
	"time"
)

func TestNotLoadedSendsOneLoadCommandAndTheRequestFollows(t *testing.T) {
	cfg := config()
	cfg.MissWhenNotLoaded, cfg.LoadCommandsSupported, cfg.LoadStatusReported = true, true, false
	h := newHarness(t, cfg, 4)
	id, actions := h.arrive(0, 7)
	s, _ := first[StartAttempt](actions)
	actions = h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: NotLoaded})
	if o, ok := first[Load](actions); !ok || o.Worker != s.Worker || o.Count != 1 || has[StartAttempt](actions) {
		t.Fatalf("after NotLoaded: %v", actions)
	}
	h.now += time.Second
	actions = h.handle(LoadCompleted{Worker: s.Worker, Function: 7, Outcome: Served, Took: time.Second, Count: 1})
	if again, ok := first[StartAttempt](actions); !ok || again.Worker != s.Worker {
		t.Errorf("after the load: %v", actions)
	}
}

func TestLoadsStayWithinTheBudget(t *testing.T) {
	cfg := config()
	cfg.MissWhenNotLoaded, cfg.LoadCommandsSupported, cfg.LoadStatusReported = true, true, false
	cfg.LoadBudgetWindow, cfg.LoadBudgetMinimum, cfg.LoadBudgetRatio = 10*time.Second, 2, 0.1
	h := newHarness(t, cfg, 8)
	commands := 0
	for f := FunctionID(1); f <= 9; f++ {
		id, actions := h.arrive(0, f)
		s, ok := first[StartAttempt](actions)
		for n := 0; ok; n++ {
			actions = h.handle(AttemptCompleted{Request: id, Attempt: n, Worker: s.Worker, Outcome: NotLoaded})
			if has[Load](actions) {
				commands++
				break
			}
			s, ok = first[StartAttempt](actions)
		}
	}
	if commands != 2 {
		t.Errorf("%d load commands, the budget is 2", commands)
	}
}

// Canceled requests must not raise the load budget. On a full fleet, 200 requests of one misbehaving client
// made a router that accepted 70 requests send 30 load commands, although 25 were allowed.
func TestCanceledRequestsDoNotWidenTheLoadBudget(t *testing.T) {
	cfg := config()
	cfg.MissWhenNotLoaded, cfg.LoadBudgetWindow, cfg.LoadBudgetMinimum, cfg.LoadBudgetRatio = true, 10*time.Second, 4, 0.3
	h := newHarness(t, cfg, 4)
	for range 200 {
		id, _ := h.arrive(0, 9)
		h.handle(RequestCanceled{Request: id})
	}
	if got := h.p.loads.budget.allowance(h.p.now); got != 4 {
		t.Fatalf("the budget is %v after 200 canceled requests, want 4", got)
	}
	keptID, _ := h.arrive(0, 9)
	h.now += time.Second
	for range 3 { // all arrive at the same time; canceling one must remove only that one
		h.arrive(0, 9)
	}
	id, _ := h.arrive(0, 9)
	h.handle(RequestCanceled{Request: id})
	if got := h.p.loads.budget.allowance(h.p.now); got != 4+0.3*4 {
		t.Fatalf("the budget is %v with four requests that were not canceled", got)
	}
	h.handle(RequestCanceled{Request: keptID})
	h.handle(RequestCanceled{Request: keptID}) // a second cancellation has no effect
	if got := h.p.loads.budget.allowance(h.p.now); got != 4+0.3*3 {
		t.Fatalf("the budget is %v with three requests that were not canceled", got)
	}
}

// While loads fail, a request that likely has a replica at its preferred worker is still sent there. A
// further attempt of it must not start a load.
func TestCircuitBreakerAllowsLikelyReplicas(t *testing.T) {
	cfg := config()
	cfg.Routers = 40
	h := newHarness(t, cfg, 5)
	h.serve(7, 100*ms, AlreadyLoaded)
	h.p.scheduler.breaker.failures, h.p.scheduler.breaker.openUntil = 1, h.now+time.Second
	id, actions := h.arrive(0, 8)
	s, ok := first[StartAttempt](actions)
	if !ok {
		t.Fatalf("a request with a likely replica is deferred: %v", actions)
	}
	if actions := h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Failed, LoadStatus: LoadFailed}); has[StartAttempt](actions) {
		t.Error("a further attempt started another load")
	}
}

// While the store is down, loads must start one at a time. Otherwise each failed load would start another
// one, at every router.
func TestFailingLoadsStartOneAtATime(t *testing.T) {
	h := newHarness(t, config(), 6)
	started := 0
	for f := FunctionID(1); f <= 100; f++ { // a new function every 20 ms, for 2 s
		h.now += 20 * ms
		_, actions := h.arrive(0, f)
		if f%3 == 0 {
			actions = append(actions, h.handle(TimerFired{Token: housekeepingToken})...)
		}
		for _, a := range actions {
			if s, ok := a.(StartAttempt); ok {
				started++
				n := len(h.p.requests.byID[s.Request].attempts) - 1
				h.handle(AttemptCompleted{Request: s.Request, Attempt: n, Worker: s.Worker, Outcome: Failed, LoadStatus: LoadFailed})
			}
		}
	}
	if started < 2 || started > 12 {
		t.Errorf("%d loads started in 2 s while the store is down", started)
	}
	h.now += 2 * time.Second
	h.handle(TimerFired{Token: housekeepingToken})
	h.p.requests.deferred = nil
	h.now += 2 * time.Second
	h.serve(500, time.Second, StartedLoad)
	h.serve(501, time.Second, StartedLoad) // the first success has closed the breaker
	h.serve(502, time.Second, StartedLoad)
}

// A load command counts when it arrives at the worker. One that was within the budget when it was decided on
// may exceed it later, when the requests that allowed it have left the window.
func TestQueuedLoadCommandIsCheckedAgainstThePresentBudget(t *testing.T) {
	cfg := config()
	cfg.MissWhenNotLoaded, cfg.LoadCommandsSupported = true, true
	cfg.LoadBudgetWindow, cfg.LoadBudgetMinimum, cfg.LoadBudgetRatio = 10*time.Second, 1, 0.3
	h := newHarness(t, cfg, 5)
	for f := range FunctionID(10) {
		h.serve(f, ms, AlreadyLoaded)
	}
	h.advance(9 * time.Second)
	commands := 0
	for f := FunctionID(100); f < 105; f++ {
		id, actions := h.arrive(0, f)
		s, _ := first[StartAttempt](actions)
		if has[Load](h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: NotLoaded})) {
			commands++
		}
	}
	// A budget of 1 plus 0.3 of 11 to 15 requests allows each of the five load commands when it is decided
	// on. 0.3 of 5 requests would not.
	if commands < 4 || !h.p.AllowsQueuedLoad(h.now) {
		t.Fatalf("%d load commands, the last may be sent: %v", commands, h.p.AllowsQueuedLoad(h.now))
	}
	if h.p.AllowsQueuedLoad(h.now + 2*time.Second) {
		t.Error("load commands may be sent after the requests that allowed them have left the window")
	}
}

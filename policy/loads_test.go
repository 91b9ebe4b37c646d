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
		t.Fatalf("after a miss: %v", actions)
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

// Guards the load budget against requests that their clients cancel: on a full fleet one bad client's 200 requests had a
// router that accepted 70 send 30 load commands, where 25 were allowed.
func TestCanceledRequestsDoNotWidenTheLoadBudget(t *testing.T) {
	cfg := config()
	cfg.MissWhenNotLoaded, cfg.LoadBudgetWindow, cfg.LoadBudgetMinimum, cfg.LoadBudgetRatio = true, 10*time.Second, 4, 0.3
	h := newHarness(t, cfg, 4)
	for range 200 {
		id, _ := h.arrive(0, 9)
		h.handle(RequestCanceled{Request: id})
	}
	if got := h.p.loads.budget.allowance(h.p.now); got != 4 {
		t.Fatalf("200 requests that were canceled make a budget of %v, 4 wanted", got)
	}
	keptID, _ := h.arrive(0, 9)
	h.now += time.Second
	for range 3 { // at one time: one of them goes, and no other
		h.arrive(0, 9)
	}
	id, _ := h.arrive(0, 9)
	h.handle(RequestCanceled{Request: id})
	if got := h.p.loads.budget.allowance(h.p.now); got != 4+0.3*4 {
		t.Fatalf("four requests that stay make a budget of %v", got)
	}
	h.handle(RequestCanceled{Request: keptID})
	h.handle(RequestCanceled{Request: keptID}) // twice counts once
	if got := h.p.loads.budget.allowance(h.p.now); got != 4+0.3*3 {
		t.Fatalf("three requests that stay make a budget of %v", got)
	}
}

// While loads fail, what most likely stands at its home is served; only a further attempt may begin no load.
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
		t.Error("a further attempt began another load")
	}
}

// A store that has stopped must not be sent more loads: each failed load would begin another, here and everywhere.
func TestFailingLoadsStartOneAtATime(t *testing.T) {
	h := newHarness(t, config(), 6)
	started := 0
	for f := FunctionID(1); f <= 100; f++ { // one new function each 20 ms, 2 s in all
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
		t.Errorf("%d loads begun in 2 s at a stopped store", started)
	}
	h.now += 2 * time.Second
	h.handle(TimerFired{Token: housekeepingToken})
	h.p.requests.deferred = nil
	h.now += 2 * time.Second
	h.serve(500, time.Second, StartedLoad)
	h.serve(501, time.Second, StartedLoad) // one success closes the breaker
	h.serve(502, time.Second, StartedLoad)
}

// An order counts when it arrives: what was within the budget when it was decided on may no longer be, once the requests
// that paid for it have left the window.
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
	// 1 and 0.3 of 11 to 15 requests allow each of five load commands as it is decided on; 0.3 of 5 would not.
	if commands < 4 || !h.p.MayStillLoad(h.now) {
		t.Fatalf("%d load commands, of which the last may go out: %v", commands, h.p.MayStillLoad(h.now))
	}
	if h.p.MayStillLoad(h.now + 2*time.Second) {
		t.Error("load commands may be sent when the requests that paid for them have left the window")
	}
}

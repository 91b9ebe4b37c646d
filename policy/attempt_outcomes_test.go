package policy

import "testing"

// Guards against a new load for each request whose connection broke. The worker that has the replica gets one
// more attempt, over another connection. If that fails too, the request goes to another worker.
func TestResetIsRetriedAtTheLoadedWorker(t *testing.T) {
	for _, again := range []Outcome{ConnectionReset, Unreachable} {
		h := newHarness(t, config(), 3)
		w := h.serve(7, 1100*ms, StartedLoad)
		for range 20 {
			h.serve(7, 80*ms, AlreadyLoaded)
		}
		otherID, _ := h.arrive(0, 7) // on the same connection
		id, actions := h.arrive(0, 7)
		if s, _ := first[StartAttempt](actions); s.Worker != w {
			t.Fatalf("loaded at worker %d, sent to %d", w, s.Worker)
		}
		h.now += 10 * ms
		checks := h.handle(AttemptCompleted{Request: otherID, Worker: w, Outcome: ConnectionReset, Took: 10 * ms})
		failures := h.p.workers.byID[w].latency.failureRates[0].Weight()
		actions = h.handle(AttemptCompleted{Request: id, Worker: w, Outcome: ConnectionReset, Took: 10 * ms})
		if s, ok := first[StartAttempt](actions); !ok || s.Worker != w || !has[CheckHealth](checks) || has[CheckHealth](actions) {
			t.Fatalf("after a reset: %v, %v", checks, actions)
		}
		if h.p.workers.byID[w].latency.failureRates[0].Weight() != failures {
			t.Error("one broken connection counts as two failures")
		}
		actions = h.handle(AttemptCompleted{Request: id, Attempt: 1, Worker: w, Outcome: again})
		if s, ok := first[StartAttempt](actions); !ok || s.Worker == w {
			t.Errorf("after outcome %d of the second attempt: %v", again, actions)
		}
	}
}

func TestNotIdempotentThatMayHaveRunFails(t *testing.T) {
	for _, o := range []Outcome{Failed, TimedOut, ConnectionReset, Canceled} {
		h := newHarness(t, config(), 4)
		id, actions := h.arrive(2, 7)
		s, _ := first[StartAttempt](actions)
		actions = h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: o})
		if has[StartAttempt](actions) || has[Reject](actions) || !has[FailRequest](actions) {
			t.Errorf("outcome %d: %v", o, actions)
		}
	}
}

func TestNotIdempotentThatNeverRanIsRetried(t *testing.T) {
	h := newHarness(t, config(), 4)
	id, actions := h.arrive(2, 7)
	s, _ := first[StartAttempt](actions)
	again, ok := first[StartAttempt](h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Overloaded}))
	if !ok || again.Worker == s.Worker {
		t.Errorf("after Overloaded: %v %v", again, ok)
	}
}

func TestRetriesWithAKeyStayInsideScopeAndWindow(t *testing.T) {
	h := newHarness(t, config(), 0)
	h.handle(EndpointList{Kind: EndpointSnapshot, Workers: []Endpoint{{Worker: 1, State: Ready, Zone: KnownGroup(0)},
		{Worker: 2, State: Ready, Zone: KnownGroup(1)}, {Worker: 3, State: Ready, Zone: KnownGroup(1)}}})
	for range 20 {
		id, actions := h.arrive(1, 7)
		s, _ := first[StartAttempt](actions)
		h.now += 10 * ms
		again, ok := first[StartAttempt](h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Failed}))
		if ok && (again.Worker == 1) != (s.Worker == 1) {
			t.Fatalf("sent to worker %d, then to %d in another zone", s.Worker, again.Worker)
		}
		id, actions = h.arrive(1, 8)
		s, _ = first[StartAttempt](actions)
		h.now += 1100 * ms
		if actions := h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Failed}); has[StartAttempt](actions) || has[Reject](actions) {
			t.Fatal("retried or rejected outside the deduplication window")
		}
	}
}

package policy

import "testing"

// Guards against a load for each call whose connection broke: the worker that holds the replica is tried once
// more, over another connection. Where that ends badly too the call goes elsewhere.
func TestResetIsRetriedAtTheLoadedWorker(t *testing.T) {
	for _, again := range []Outcome{ConnectionReset, Unreachable} {
		b := newHarness(t, config(), 3)
		w := b.serve(7, 1100*ms, StartedLoad)
		for range 20 {
			b.serve(7, 80*ms, AlreadyLoaded)
		}
		others, _ := b.arrive(0, 7) // on the same connection
		id, acts := b.arrive(0, 7)
		if s, _ := first[StartAttempt](acts); s.Worker != w {
			t.Fatalf("warm at %d, sent to %d", w, s.Worker)
		}
		b.now += 10 * ms
		checks := b.handle(AttemptCompleted{Request: others, Worker: w, Outcome: ConnectionReset, Took: 10 * ms})
		n := b.p.workers.byID[w].latency.failureRates[0].Weight()
		acts = b.handle(AttemptCompleted{Request: id, Worker: w, Outcome: ConnectionReset, Took: 10 * ms})
		if s, ok := first[StartAttempt](acts); !ok || s.Worker != w || !has[CheckHealth](checks) || has[CheckHealth](acts) {
			t.Fatalf("after a reset: %v, %v", checks, acts)
		}
		if b.p.workers.byID[w].latency.failureRates[0].Weight() != n {
			t.Error("one broken connection counts as two failures")
		}
		acts = b.handle(AttemptCompleted{Request: id, Attempt: 1, Worker: w, Outcome: again})
		if s, ok := first[StartAttempt](acts); !ok || s.Worker == w {
			t.Errorf("after outcome %d of the second: %v", again, acts)
		}
	}
}

func TestNotIdempotentThatMayHaveRunFails(t *testing.T) {
	for _, o := range []Outcome{Failed, TimedOut, ConnectionReset, Canceled} {
		b := newHarness(t, config(), 4)
		id, acts := b.arrive(2, 7)
		s, _ := first[StartAttempt](acts)
		acts = b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: o})
		if has[StartAttempt](acts) || has[Reject](acts) || !has[FailRequest](acts) {
			t.Errorf("outcome %d: %v", o, acts)
		}
	}
}

func TestNotIdempotentThatNeverRanIsRetried(t *testing.T) {
	b := newHarness(t, config(), 4)
	id, acts := b.arrive(2, 7)
	s, _ := first[StartAttempt](acts)
	again, ok := first[StartAttempt](b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Overloaded}))
	if !ok || again.Worker == s.Worker {
		t.Errorf("after full: %v %v", again, ok)
	}
}

func TestRetriesWithAKeyStayInsideScopeAndWindow(t *testing.T) {
	b := newHarness(t, config(), 0)
	b.handle(EndpointList{Kind: EndpointSnapshot, Workers: []Endpoint{{Worker: 1, State: Ready, Zone: 0},
		{Worker: 2, State: Ready, Zone: 1}, {Worker: 3, State: Ready, Zone: 1}}})
	for range 20 {
		id, acts := b.arrive(1, 7)
		s, _ := first[StartAttempt](acts)
		b.now += 10 * ms
		again, ok := first[StartAttempt](b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Failed}))
		if ok && (again.Worker == 1) != (s.Worker == 1) {
			t.Fatalf("sent to %d, then to %d of another group", s.Worker, again.Worker)
		}
		id, acts = b.arrive(1, 8)
		s, _ = first[StartAttempt](acts)
		b.now += 1100 * ms
		if acts := b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Failed}); has[StartAttempt](acts) || has[Reject](acts) {
			t.Fatal("repeated or rejected outside the window")
		}
	}
}

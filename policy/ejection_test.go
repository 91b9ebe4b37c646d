package policy

import (
	"testing"
	"time"
)

// A load command whose connection broke must not eject a healthy worker. A health check decides. Until then
// the worker is not ejected, and the requests that wait for the load stay there.
func TestResetOfALoadEjectsNoWorker(t *testing.T) {
	for _, o := range []Outcome{ConnectionReset, Unreachable} {
		cfg := config()
		cfg.MissWhenNotLoaded, cfg.LoadCommandsSupported = true, true
		h := newHarness(t, cfg, 3)
		id, actions := h.arrive(0, 7)
		s, _ := first[StartAttempt](actions)
		if actions = h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: NotLoaded}); !has[Load](actions) {
			t.Fatalf("after NotLoaded: %v", actions)
		}
		actions = h.handle(LoadCompleted{Worker: s.Worker, Function: 7, Outcome: o})
		ejected := h.ejected(h.p.workers.byID[s.Worker])
		if next, ok := first[StartAttempt](actions); !ok || ejected != (o == Unreachable) || has[CheckHealth](actions) != (o == ConnectionReset) ||
			o == Unreachable && next.Worker == s.Worker {
			t.Errorf("after outcome %d of the load command: %v, ejected %v", o, actions, ejected)
		}
	}
}

// After a stall, a router gets late timers and all responses at once. It must not eject a worker because of
// its own stall. Final responses that are due are given in that turn, and requests are scheduled as before.
func TestStallOfTheRouterEjectsNoWorker(t *testing.T) {
	h := newHarness(t, config(), 4)
	for range 8 {
		h.serve(7, 100*ms, AlreadyLoaded)
	}
	id, actions := h.arrive(0, 7)
	s, _ := first[StartAttempt](actions)
	dueID, _ := h.arrive(2, 7)
	h.now += 3999 * ms // the second request must get its final response, but its worker has not responded
	checks := 0
	for _, a := range h.handle(TimerFired{Token: housekeepingToken}) {
		if _, ok := a.(CheckHealth); ok {
			checks++
		}
	}
	if checks > 4 {
		t.Errorf("%d health checks of 4 workers in one turn", checks)
	}
	if actions := h.handle(TimerFired{Token: deadlineToken + uint64(dueID)}); !has[FailRequest](actions) {
		t.Errorf("a request that may have run and is not idempotent does not fail at its deadline: %v", actions)
	}
	h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: 100 * ms})
	for _, w := range h.p.workers.fleet {
		if w.health.checking {
			h.handle(HealthCheckCompleted{Worker: w.Worker, Took: 2 * ms})
		}
		if h.ejected(w) {
			t.Errorf("worker %d is ejected", w.Worker)
		}
	}
	if got := h.serve(7, 100*ms, AlreadyLoaded); got != s.Worker {
		t.Errorf("loaded at worker %d, sent to %d", s.Worker, got)
	}
}

// A response that is lost by a connection reset does not prove that the worker's process has exited. A health
// check decides whether the worker is ejected, and its replicas stay known.
func TestResetStartsAHealthCheckAndForgetsNoReplica(t *testing.T) {
	h := newHarness(t, config(), 5)
	w := h.serve(7, 1100*ms, StartedLoad)
	id, _ := h.arrive(2, 7)
	actions := h.handle(AttemptCompleted{Request: id, Worker: w, Outcome: ConnectionReset})
	if healthCheck, ok := first[CheckHealth](actions); !ok || healthCheck.Worker != w {
		t.Fatalf("no health check of the worker: %v", actions)
	}
	h.handle(HealthCheckCompleted{Worker: w})
	if h.ejected(h.p.workers.byID[w]) || h.p.workers.byID[w].replicas[7].loadedUntil <= h.now {
		t.Error("a healthy worker is ejected, or its replica is forgotten")
	}
	h.now += ms
	h.handle(HealthCheckCompleted{Worker: 999}) // advances the time of the policy
	h.p.health.check(h.p.workers.byID[w])
	h.now += time.Second
	h.handle(HealthCheckCompleted{Worker: w, Outcome: TimedOut})
	if !h.ejected(h.p.workers.byID[w]) {
		t.Error("a worker that does not respond to a health check is not ejected")
	}
}

// Attempts at a silent worker do not complete by themselves. When its health check fails, the attempts that
// may be retried must be canceled and sent to other workers.
func TestSilentWorkerIsEjectedAndItsAttemptsMove(t *testing.T) {
	h := newHarness(t, config(), 4)
	w := h.serve(7, 1100*ms, StartedLoad)
	id, actions := h.arrive(0, 7)
	if s, _ := first[StartAttempt](actions); s.Worker != w {
		t.Fatal("not sent to the worker with the replica")
	}
	checked, canceled := false, false
	for range 60 {
		h.now += housekeepingInterval
		actions := h.handle(TimerFired{Token: housekeepingToken})
		for _, a := range actions {
			if check, ok := a.(CheckHealth); ok {
				o := Served
				if check.Worker == w {
					checked, o = true, TimedOut
				}
				canceled = canceled || has[CancelAttempt](h.handle(HealthCheckCompleted{Worker: check.Worker, Outcome: o}))
			}
		}
		if canceled {
			break
		}
	}
	if !checked || !canceled {
		t.Fatalf("checked %v, canceled %v", checked, canceled)
	}
	again, ok := first[StartAttempt](h.handle(AttemptCompleted{Request: id, Worker: w, Outcome: Canceled}))
	if !ok || again.Worker == w {
		t.Errorf("retry of the canceled attempt: %v %v", again, ok)
	}
	if _, actions := h.arrive(2, 9); has[StartAttempt](actions) {
		if s, _ := first[StartAttempt](actions); s.Worker == w {
			t.Error("a request that is not idempotent is sent to the silent worker")
		}
	}
}

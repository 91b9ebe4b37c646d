package policy

import (
	"testing"
	"time"
)

// Guards a worker that is well against a load command whose connection broke: a health check decides, and until
// then neither is the worker ejected nor do the calls that wait for the load go elsewhere.
func TestResetOfALoadEjectsNoWorker(t *testing.T) {
	for _, o := range []Outcome{ConnectionReset, Unreachable} {
		cfg := config()
		cfg.MissWhenNotLoaded, cfg.LoadCommandsSupported = true, true
		h := newHarness(t, cfg, 3)
		id, actions := h.arrive(0, 7)
		s, _ := first[StartAttempt](actions)
		if actions = h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: NotLoaded}); !has[Load](actions) {
			t.Fatalf("after a miss: %v", actions)
		}
		actions = h.handle(LoadCompleted{Worker: s.Worker, Function: 7, Outcome: o})
		ejected := h.ejected(h.p.workers.byID[s.Worker])
		if next, ok := first[StartAttempt](actions); !ok || ejected != (o == Unreachable) || has[CheckHealth](actions) != (o == ConnectionReset) ||
			o == Unreachable && next.Worker == s.Worker {
			t.Errorf("after outcome %d of the load command: %v, ejected %v", o, actions, ejected)
		}
	}
}

// A router that stood still finds late timers and all answers at once: no worker is ejected for it, answers that
// are due go out in that turn, and calls flow as before.
func TestStallOfTheRouterEjectsNoWorker(t *testing.T) {
	h := newHarness(t, config(), 4)
	for range 8 {
		h.serve(7, 100*ms, AlreadyLoaded)
	}
	id, actions := h.arrive(0, 7)
	s, _ := first[StartAttempt](actions)
	dueID, _ := h.arrive(2, 7)
	h.now += 3999 * ms // beyond the time to answer the second, whose worker has not
	checks := 0
	for _, a := range h.handle(TimerFired{Token: housekeepingToken}) {
		if _, ok := a.(CheckHealth); ok {
			checks++
		}
	}
	if checks > 4 {
		t.Errorf("%d checks of 4 workers in one turn", checks)
	}
	if actions := h.handle(TimerFired{Token: deadlineToken + uint64(dueID)}); !has[FailRequest](actions) {
		t.Errorf("an unsafe call that may have run is not failed when due: %v", actions)
	}
	h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, Closed: true, Took: 100 * ms})
	for _, w := range h.p.workers.fleet {
		if w.health.checking {
			h.handle(HealthCheckCompleted{Worker: w.Worker, Took: 2 * ms})
		}
		if h.ejected(w) {
			t.Errorf("worker %d is ejected", w.Worker)
		}
	}
	if got := h.serve(7, 100*ms, AlreadyLoaded); got != s.Worker {
		t.Errorf("the warm worker %d is left for %d", s.Worker, got)
	}
}

// An answer lost by a reset is not a dead process.
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
		t.Error("a living worker is ejected or thought empty")
	}
	h.now += ms
	h.handle(HealthCheckCompleted{Worker: 999}) // the clock goes on
	h.p.health.check(h.p.workers.byID[w])
	h.now += time.Second
	h.handle(HealthCheckCompleted{Worker: w, Outcome: TimedOut})
	if !h.ejected(h.p.workers.byID[w]) {
		t.Error("a worker that answers no health check is still used")
	}
}

// A silent worker gives no outcomes: the failed health check is the signal to call off what may be repeated.
func TestSilentWorkerIsEjectedAndItsAttemptsMove(t *testing.T) {
	h := newHarness(t, config(), 4)
	w := h.serve(7, 1100*ms, StartedLoad)
	id, actions := h.arrive(0, 7)
	if s, _ := first[StartAttempt](actions); s.Worker != w {
		t.Fatal("not sent to the warm worker")
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
		t.Errorf("rescued call: %v %v", again, ok)
	}
	if _, actions := h.arrive(2, 9); has[StartAttempt](actions) {
		if s, _ := first[StartAttempt](actions); s.Worker == w {
			t.Error("an unsafe call went to the silent worker")
		}
	}
}

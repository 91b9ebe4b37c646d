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
		b := newHarness(t, cfg, 3)
		id, acts := b.arrive(0, 7)
		s, _ := first[StartAttempt](acts)
		if acts = b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: NotLoaded}); !has[Load](acts) {
			t.Fatalf("after a miss: %v", acts)
		}
		acts = b.handle(LoadCompleted{Worker: s.Worker, Function: 7, Outcome: o})
		ejected := b.ejected(b.p.workers.byID[s.Worker])
		if next, ok := first[StartAttempt](acts); !ok || ejected != (o == Unreachable) || has[CheckHealth](acts) != (o == ConnectionReset) ||
			o == Unreachable && next.Worker == s.Worker {
			t.Errorf("after outcome %d of the load command: %v, ejected %v", o, acts, ejected)
		}
	}
}

// A router that stood still finds late timers and all answers at once: no worker is ejected for it, answers that
// are due go out in that turn, and calls flow as before.
func TestStallOfTheRouterEjectsNoWorker(t *testing.T) {
	b := newHarness(t, config(), 4)
	for range 8 {
		b.serve(7, 100*ms, AlreadyLoaded)
	}
	id, acts := b.arrive(0, 7)
	s, _ := first[StartAttempt](acts)
	due, _ := b.arrive(2, 7)
	b.now += 3999 * ms // beyond the time to answer the second, whose worker has not
	checks := 0
	for _, a := range b.handle(TimerFired{Token: housekeepingToken}) {
		if _, ok := a.(CheckHealth); ok {
			checks++
		}
	}
	if checks > 4 {
		t.Errorf("%d checks of 4 workers in one turn", checks)
	}
	if acts := b.handle(TimerFired{Token: deadlineToken + uint64(due)}); !has[FailRequest](acts) {
		t.Errorf("an unsafe call that may have run is not failed when due: %v", acts)
	}
	b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, Closed: true, Took: 100 * ms})
	for _, w := range b.p.workers.fleet {
		if w.health.checking {
			b.handle(HealthCheckCompleted{Worker: w.Worker, Took: 2 * ms})
		}
		if b.ejected(w) {
			t.Errorf("worker %d is ejected", w.Worker)
		}
	}
	if got := b.serve(7, 100*ms, AlreadyLoaded); got != s.Worker {
		t.Errorf("the warm worker %d is left for %d", s.Worker, got)
	}
}

// An answer lost by a reset is not a dead process.
func TestResetStartsAHealthCheckAndForgetsNoReplica(t *testing.T) {
	b := newHarness(t, config(), 5)
	w := b.serve(7, 1100*ms, StartedLoad)
	id, _ := b.arrive(2, 7)
	acts := b.handle(AttemptCompleted{Request: id, Worker: w, Outcome: ConnectionReset})
	if pr, ok := first[CheckHealth](acts); !ok || pr.Worker != w {
		t.Fatalf("no health check of the worker: %v", acts)
	}
	b.handle(HealthCheckCompleted{Worker: w})
	if b.ejected(b.p.workers.byID[w]) || b.p.workers.byID[w].replicas[7].loadedUntil <= b.now {
		t.Error("a living worker is ejected or thought empty")
	}
	b.now += ms
	b.handle(HealthCheckCompleted{Worker: 999}) // the clock goes on
	b.p.health.check(b.p.workers.byID[w])
	b.now += time.Second
	b.handle(HealthCheckCompleted{Worker: w, Outcome: TimedOut})
	if !b.ejected(b.p.workers.byID[w]) {
		t.Error("a worker that answers no health check is still used")
	}
}

// A silent worker gives no outcomes: the failed health check is the signal to call off what may be repeated.
func TestSilentWorkerIsEjectedAndItsAttemptsMove(t *testing.T) {
	b := newHarness(t, config(), 4)
	w := b.serve(7, 1100*ms, StartedLoad)
	id, acts := b.arrive(0, 7)
	if s, _ := first[StartAttempt](acts); s.Worker != w {
		t.Fatal("not sent to the warm worker")
	}
	checked, called := false, false
	for range 60 {
		b.now += housekeepingInterval
		acts := b.handle(TimerFired{Token: housekeepingToken})
		for _, a := range acts {
			if pr, ok := a.(CheckHealth); ok {
				o := Served
				if pr.Worker == w {
					checked, o = true, TimedOut
				}
				called = called || has[CancelAttempt](b.handle(HealthCheckCompleted{Worker: pr.Worker, Outcome: o}))
			}
		}
		if called {
			break
		}
	}
	if !checked || !called {
		t.Fatalf("checked %v, canceled %v", checked, called)
	}
	again, ok := first[StartAttempt](b.handle(AttemptCompleted{Request: id, Worker: w, Outcome: Canceled}))
	if !ok || again.Worker == w {
		t.Errorf("rescued call: %v %v", again, ok)
	}
	if _, acts := b.arrive(2, 9); has[StartAttempt](acts) {
		if s, _ := first[StartAttempt](acts); s.Worker == w {
			t.Error("an unsafe call went to the silent worker")
		}
	}
}

package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestSlowStartBoundsAttempts(t *testing.T) {
	h := newHarness(t, config(), 5)
	for range 200 { // 10 a second over 5 workers
		h.serveWithHousekeeping(FunctionID(h.now%50), 95*ms)
		h.advance(5 * ms)
	}
	h.handle(EndpointList{Workers: []Endpoint{{Worker: 1, State: Ready, Started: h.now}}})
	sent := 0
	for f := FunctionID(1000); f < 1600; f++ {
		h.advance(10 * ms)
		id, actions := h.arrive(0, f)
		s, ok := first[StartAttempt](actions)
		for n := 0; ok; n++ {
			if s.Worker == 1 {
				sent++
			}
			s, ok = first[StartAttempt](h.handle(AttemptCompleted{Request: id, Attempt: n, Worker: s.Worker, Outcome: Failed}))
		}
	}
	// A share of 0.2 to 0.6 at a multiple of 2 allows 0.8 of the mean, 2 a second, on average: 9.6 in 6 s.
	if sent < 4 || sent > 9 {
		t.Errorf("%d sends to a cold worker in 6 s", sent)
	}
}

// A worker that could not be reached, or was silent, may have been started anew before it answers again, and its start is
// reported later. Until then it counts as in slow start; after that, where none was reported, as warm.
func TestReturningWorkerIsInSlowStartUntilAStartWouldBeReported(t *testing.T) {
	h := newHarness(t, config(), 5)
	for range 200 { // 10 a second over 5 workers
		h.serveWithHousekeeping(FunctionID(h.now%50), 95*ms)
		h.advance(5 * ms)
	}
	h.failAt(1, Unreachable)
	h.advance(2 * time.Second)
	h.handle(HealthCheckCompleted{Worker: 1, Outcome: Served})
	early := h.attemptsAt(1, 200, 10*ms) // 2 s
	// The least share of 0.2 at a multiple of 2 allows 0.4 of the mean, 2 a second; one that was warm takes 40 a second.
	if early > 4 {
		t.Errorf("%d sends within 2 s of the return of a worker that may be cold", early)
	}
	h.advance(2 * time.Second)
	if late := h.attemptsAt(1, 200, 10*ms); late < 20 {
		t.Errorf("%d sends within 2 s to a worker whose start was not reported", late)
	}
}

// failAt has attempts go out until one goes to a worker, and ends that with an outcome; the others are served.
func (h *harness) failAt(worker WorkerID, outcome Outcome) {
	for f := FunctionID(5000); ; f++ {
		id, actions := h.arrive(0, f)
		s, ok := first[StartAttempt](actions)
		if !ok {
			h.t.Fatal("nothing was sent")
		}
		if s.Worker == worker {
			h.handle(AttemptCompleted{Request: id, Worker: worker, Outcome: outcome})
			return
		}
		h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, Closed: true, Took: 100 * ms})
	}
}

// attemptsAt sends requests for new functions, all of which are served, and counts those that go to one worker.
func (h *harness) attemptsAt(worker WorkerID, requests int, interval time.Duration) (sent int) {
	for f := range requests {
		h.advance(interval)
		id, actions := h.arrive(0, FunctionID(10_000+int(h.now)+f))
		s, ok := first[StartAttempt](actions)
		if !ok {
			continue
		}
		if s.Worker == worker {
			sent++
		}
		h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, Closed: true, Took: 95 * ms})
	}
	return sent
}

// Of many routers, blind to each other, each may send a worker that just started only part of a call. But where
// most of a fleet starts at once, that part is of what the warm rest takes, not of a mean that the cold ones lower:
// the rest would be overrun while new workers have next to nothing to do.
func TestSlowStartLimitsAllRoutersTogether(t *testing.T) {
	for _, started := range []int{1, 6} { // of ten workers
		sent := 0
		for n := range 100 {
			sent += attemptsInSlowStart(t, uint64(n), started)
		}
		// All serve 300 calls a second, so a warm worker takes 30, and 75 where six don't. At 0.2 to 0.44 of that, in
		// the mean 0.32, and a multiple of 2, 3 s allow 58 and 144; half is well used.
		mean := 300.0
		if started == 1 {
			mean /= 10
		} else {
			mean /= 4
		}
		if limit := 3 * 0.32 * 2 * mean; float64(sent) < limit/4 || float64(sent) > limit {
			t.Errorf("%d started: %d sends to one of them within 3 s by all together, %.0f at most", started, sent, limit)
		}
	}
}

// attemptsInSlowStart is how many calls a router that serves 3 in a second sends to worker 1, 10 s after it and others
// were away and while they come back cold, of twenty in a second for functions that stand nowhere.
func attemptsInSlowStart(t *testing.T, seed uint64, started int) int {
	cfg := config()
	cfg.Routers = 100
	h := newHarness(t, cfg, 10)
	*h.p.scheduler.rng = *rand.New(rand.NewPCG(seed, 1))
	gone, restarted := EndpointList{}, EndpointList{}
	for w := range started {
		gone.Workers = append(gone.Workers, Endpoint{Worker: WorkerID(w + 1), State: Gone})
	}
	if started > 1 {
		h.handle(gone)
	}
	for k := range 60 {
		h.serveWithHousekeeping(FunctionID(k), 300*ms)
		h.advance(33 * ms)
	}
	for w := range started {
		restarted.Workers = append(restarted.Workers, Endpoint{Worker: WorkerID(w + 1), State: Ready, Started: h.now})
	}
	h.handle(restarted)
	before := h.attemptsAtWorker1
	for f := FunctionID(1000); f < 1060; f++ {
		h.advance(50 * ms)
		id, actions := h.arrive(0, f)
		s, ok := first[StartAttempt](actions)
		for try := 0; ok; try++ {
			s, ok = first[StartAttempt](h.handle(AttemptCompleted{Request: id, Attempt: try, Worker: s.Worker, Outcome: Failed}))
		}
	}
	return h.attemptsAtWorker1 - before
}

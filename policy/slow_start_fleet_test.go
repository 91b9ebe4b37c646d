package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestSlowStartBoundsAttempts(t *testing.T) {
	h := newHarness(t, config(), 5)
	for range 200 { // 10 per second over 5 workers
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
	// A capacity share of 0.2 to 0.6 with a multiple of 2 allows on average 0.8 of the mean rate of 2 per
	// second: 9.6 in 6 s.
	if sent < 4 || sent > 9 {
		t.Errorf("%d attempts at a starting worker in 6 s", sent)
	}
}

// A worker that could not be reached or was silent may have restarted before it responds again, and its
// restart is reported later. Until a restart would have been reported, the worker counts as in slow start.
// After that, if none was reported, it counts as warm.
func TestReturningWorkerIsInSlowStartUntilAStartWouldBeReported(t *testing.T) {
	h := newHarness(t, config(), 5)
	for range 200 { // 10 per second over 5 workers
		h.serveWithHousekeeping(FunctionID(h.now%50), 95*ms)
		h.advance(5 * ms)
	}
	h.failAt(1, Unreachable)
	h.advance(2 * time.Second)
	h.handle(HealthCheckCompleted{Worker: 1, Outcome: Served})
	early := h.attemptsAt(1, 200, 10*ms) // 2 s
	// The least capacity share of 0.2 with a multiple of 2 allows 0.4 of the mean rate of 2 per second. A
	// warm worker would be sent 40 per second.
	if early > 4 {
		t.Errorf("%d attempts within 2 s after the recovery of a worker that may have restarted", early)
	}
	h.advance(2 * time.Second)
	if late := h.attemptsAt(1, 200, 10*ms); late < 20 {
		t.Errorf("%d attempts within 2 s at a worker whose restart was not reported", late)
	}
}

// failAt has requests arrive until one is sent to the given worker, and completes that attempt with an
// outcome. The other requests are served.
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
		h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, RequestClosed: true, Took: 100 * ms})
	}
}

// attemptsAt has requests for new functions arrive, all of which are served, and counts those sent to a
// worker.
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
		h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: 95 * ms})
	}
	return sent
}

// Many routers share no state, so each may send a worker that has just started only a part of a request on
// average. If most of a fleet starts at once, the limit must follow the rate of the workers that are still
// warm, and not a mean that the starting workers lower. Otherwise the warm workers are overloaded while the
// new ones are idle.
func TestSlowStartLimitsAllRoutersTogether(t *testing.T) {
	for _, started := range []int{1, 6} { // number of the ten workers that start
		sent := 0
		for n := range 100 {
			sent += attemptsInSlowStart(t, uint64(n), started)
		}
		// The fleet serves 300 requests per second, so a warm worker serves 30, or 75 if six are starting. A
		// capacity share of 0.2 to 0.44, 0.32 on average, with a multiple of 2 allows 58 and 144 in 3 s. Half
		// of that is a good use of the limit.
		mean := 300.0
		if started == 1 {
			mean /= 10
		} else {
			mean /= 4
		}
		if limit := 3 * 0.32 * 2 * mean; float64(sent) < limit/4 || float64(sent) > limit {
			t.Errorf("%d started: all routers sent %d attempts to one of them within 3 s, want at most %.0f", started, sent, limit)
		}
	}
}

// attemptsInSlowStart returns the number of attempts that a router sends to worker 1 after it and other
// workers have restarted. Before that, the router serves 3 requests per second for longer than rateSpan, which
// is 10 s. If several workers restart, they are gone during this time. After the restart, twenty requests per
// second arrive for functions that are loaded nowhere.
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
		restarted.Workers = append(restarted.Workers, Endpoint{Worker: WorkerID(w + 1), State: Ready, Started: h.now, Zone: KnownGroup(0), Cell: KnownGroup(0)})
	}
	h.handle(restarted)
	before := h.attemptsAtWorker1
	for f := FunctionID(1000); f < 1060; f++ {
		h.advance(50 * ms)
		id, actions := h.arrive(0, f)
		s, ok := first[StartAttempt](actions)
		for number := 0; ok; number++ {
			s, ok = first[StartAttempt](h.handle(AttemptCompleted{Request: id, Attempt: number, Worker: s.Worker, Outcome: Failed}))
		}
	}
	return h.attemptsAtWorker1 - before
}

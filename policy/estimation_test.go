package policy

import (
	"math"
	"testing"
	"time"
)

// An attempt that is canceled at its deadline has shown how slow its worker is, though no answer did: a router that
// forgets that sends the next one there too, and loses it as well.
func TestCanceledAttemptsCountAsDelay(t *testing.T) {
	h := newHarness(t, config(), 2)
	h.serve(7, 100*ms, AlreadyLoaded)
	for range 30 {
		h.serve(7, 100*ms, AlreadyLoaded)
	}
	for _, w := range h.p.workers.fleet { // both hold a replica
		h.p.replicas.get(w, 7).loadedUntil = h.now + time.Hour
	}
	slow, lost := WorkerID(1), 0
	for range 20 {
		id, actions := h.arrive(0, 7)
		s, ok := first[StartAttempt](actions)
		switch {
		case !ok:
		case s.Worker == slow:
			lost++
			h.advance(4 * time.Second)
			h.handle(TimerFired{Token: deadlineToken + uint64(id)})
			h.handle(AttemptCompleted{Request: id, Worker: slow, Outcome: Canceled, Closed: true, Took: 4 * time.Second})
		default:
			h.advance(100 * ms)
			h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, Closed: true, Took: 100 * ms})
		}
	}
	if lost < 1 || lost > 3 {
		t.Errorf("%d of 20 calls lost at a worker whose calls don't end", lost)
	}
}

// Own calls in flight say nothing of what other routers queue at a worker: its answers do.
func TestOtherRoutersQueuesShowInThePrediction(t *testing.T) {
	h := newHarness(t, config(), 6)
	for range 10 {
		h.serve(7, 100*ms, AlreadyLoaded)
	}
	w := h.serve(7, 100*ms, AlreadyLoaded)
	h.serve(7, 900*ms, AlreadyLoaded)
	h.serve(7, 900*ms, AlreadyLoaded)
	other := h.p.workers.byID[w%6+1]
	h.p.replicas.get(other, 7).loadedUntil = h.now + time.Minute // a hedged request stands
	if got := h.serve(7, 100*ms, AlreadyLoaded); got != other.Worker {
		t.Errorf("sent to %d again after two late answers", got)
	}
	before := h.queueingDelay(h.p.workers.byID[w], 0)
	if idle := h.queueingDelay(other, 0); before < idle+float64(50*ms) {
		t.Errorf("late answers predict %v, nothing known %v", before, idle)
	}
	h.now += 20 * time.Second
	h.handle(HealthCheckCompleted{Worker: w})
	if after := h.queueingDelay(h.p.workers.byID[w], 0); after > before/10 {
		t.Errorf("a queue is still believed in after 20 s: %v of %v", after, before)
	}
}

// Load reports show the queues of other routers even where no late response did, and absurd ones show nothing.
func TestLoadReportsShowOtherRoutersQueues(t *testing.T) {
	cfg := config()
	cfg.LoadReportFields, cfg.InlineLoadReports = []string{"inflight", "queue"}, true
	h := newHarness(t, cfg, 4)
	for k := range 20 { // 10 waiting mean 300 ms
		id, actions := h.arrive(0, 7)
		s, ok := first[StartAttempt](actions)
		if !ok {
			t.Fatal("not sent")
		}
		h.now += 100 * ms
		took, queue := 100*ms, 0.0
		if k > 10 {
			took, queue = 400*ms, 10
		}
		h.now += took
		h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, Closed: true, Took: took,
			Report: []float64{queue + 3, queue}})
	}
	h.now += time.Minute
	h.handle(HealthCheckCompleted{Worker: 1, Report: []float64{33, 30}})
	h.handle(HealthCheckCompleted{Worker: 2, Report: []float64{3, 0}})
	full, idle := h.queueingDelay(h.p.workers.byID[1], 0), h.queueingDelay(h.p.workers.byID[2], 0)
	if full < idle+float64(150*ms) {
		t.Errorf("30 waiting predict %v, none %v", full, idle)
	}
	before := h.queueingDelay(h.p.workers.byID[3], 0)
	for _, r := range [][]float64{nil, {1}, {math.NaN(), math.NaN()}, {-5, -5}, {math.Inf(-1), math.Inf(-1)}} {
		h.handle(HealthCheckCompleted{Worker: 3, Report: r})
	}
	if got := h.queueingDelay(h.p.workers.byID[3], 0); got != before {
		t.Errorf("absurd reports predict %v", got)
	}
	h.handle(HealthCheckCompleted{Worker: 3, Report: []float64{1e300, 1e300}})
	if got := h.queueingDelay(h.p.workers.byID[3], 0); got > maxMultiple*float64(400*ms) {
		t.Errorf("a report far off predicts %v", got)
	}
	h.now += time.Minute
	h.handle(HealthCheckCompleted{Worker: 3, Report: []float64{3, 0}})
	if got := h.queueingDelay(h.p.workers.byID[3], 0); got > float64(50*ms) {
		t.Errorf("a report far off is still believed after a minute: %v", got)
	}
}

// A worker that turns a call away has begun no load for it: the next call must not count on one.
func TestOverloadedAttemptStartsNoLoad(t *testing.T) {
	h := newHarness(t, config(), 3)
	id, actions := h.arrive(0, 7)
	s, _ := first[StartAttempt](actions)
	h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Overloaded, Took: ms})
	if w := h.p.workers.byID[s.Worker]; !h.p.scheduler.estimator.startsLoad(h.p.now, w, h.p.requests.byID[id]) {
		t.Errorf("a load is thought under way: %v left", h.p.scheduler.estimator.expectedLoadTime(h.p.now, w, h.p.requests.byID[id]))
	}
}

// One class failing at a worker that serves the rest: its calls go elsewhere, the others stay, and it is tried again.
func TestFailuresOfOneClassMoveOnlyThatClass(t *testing.T) {
	h := newHarness(t, config(), 5)
	w := h.serve(7, 1100*ms, StartedLoad)
	for range 2 {
		id, actions := h.arrive(1, 7)
		s, _ := first[StartAttempt](actions)
		h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Failed, Took: 5 * ms})
		h.handle(RequestCanceled{Request: id})
	}
	if _, actions := h.arrive(1, 7); has[StartAttempt](actions) {
		if s, _ := first[StartAttempt](actions); s.Worker == w {
			t.Error("the failing class goes on at the worker")
		}
	}
	if got := h.serve(7, 80*ms, AlreadyLoaded); got != w {
		t.Errorf("the other class left for %d", got)
	}
	h.now += 30 * time.Second
	h.p.replicas.get(h.p.workers.byID[w], 7).loadedUntil = h.now + time.Minute
	for o, x := range h.p.workers.byID {
		if o != w {
			delete(x.replicas, 7)
		}
	}
	if _, actions := h.arrive(1, 7); has[StartAttempt](actions) {
		if s, _ := first[StartAttempt](actions); s.Worker != w {
			t.Error("the worker is shut out for the class")
		}
	}
}

// A first answer to a call with a tiny hint must not multiply all later estimates.
func TestWorkHintsAreUsedUntilResponsesAreMeasured(t *testing.T) {
	h := newHarness(t, config(), 3)
	h.handle(RequestArrived{Request: 99, Function: 7, LoadTime: time.Second, Work: ms, Remaining: 4 * time.Second})
	r := h.p.requests.byID[99]
	h.handle(AttemptCompleted{Request: 99, Worker: r.attempts[0].worker.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, Closed: true, Took: 150 * ms})
	if got := h.p.scheduler.estimator.runTime(&request{RequestArrived: RequestArrived{Work: 100 * ms}, class: r.class, function: r.function}); got > nanoseconds(200*ms) {
		t.Errorf("a hint of 100 ms counts as %v", time.Duration(got))
	}
}

package policy

import (
	"math"
	"testing"
	"time"
)

// An attempt that is canceled at its deadline shows how slow its worker is, although there was no response.
// If it is ignored, the next request is sent there too and is lost as well.
func TestCanceledAttemptsCountAsDelay(t *testing.T) {
	h := newHarness(t, config(), 2)
	h.serve(7, 100*ms, AlreadyLoaded)
	for range 30 {
		h.serve(7, 100*ms, AlreadyLoaded)
	}
	for _, w := range h.p.workers.fleet { // both have a replica
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
			h.handle(AttemptCompleted{Request: id, Worker: slow, Outcome: Canceled, RequestClosed: true, Took: 4 * time.Second})
		default:
			h.advance(100 * ms)
			h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: 100 * ms})
		}
	}
	if lost < 1 || lost > 3 {
		t.Errorf("%d of 20 requests are lost at a worker that does not respond", lost)
	}
}

// The attempts in flight of a router do not show the queue of other routers at a worker. Its responses do.
func TestOtherRoutersQueuesShowInThePrediction(t *testing.T) {
	h := newHarness(t, config(), 6)
	for range 10 {
		h.serve(7, 100*ms, AlreadyLoaded)
	}
	w := h.serve(7, 100*ms, AlreadyLoaded)
	h.serve(7, 900*ms, AlreadyLoaded)
	h.serve(7, 900*ms, AlreadyLoaded)
	other := h.p.workers.byID[w%6+1]
	h.p.replicas.get(other, 7).loadedUntil = h.now + time.Minute // another worker has a replica
	if got := h.serve(7, 100*ms, AlreadyLoaded); got != other.Worker {
		t.Errorf("sent to worker %d again after two late responses", got)
	}
	before := h.queueingDelay(h.p.workers.byID[w], 0)
	if idle := h.queueingDelay(other, 0); before < idle+float64(50*ms) {
		t.Errorf("predicted delay after late responses %v, without responses %v", before, idle)
	}
	h.now += 20 * time.Second
	h.handle(HealthCheckCompleted{Worker: w})
	if after := h.queueingDelay(h.p.workers.byID[w], 0); after > before/10 {
		t.Errorf("a queue is still predicted after 20 s: %v of %v", after, before)
	}
}

// Load reports show the queues of other routers even if no response was late. Invalid reports are ignored.
func TestLoadReportsShowOtherRoutersQueues(t *testing.T) {
	cfg := config()
	cfg.LoadReportFields, cfg.InlineLoadReports = []string{"inflight", "queue"}, true
	h := newHarness(t, cfg, 4)
	for k := range 20 { // a queue of 10 requests causes a delay of 300 ms
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
		h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: took,
			Report: []float64{queue + 3, queue}})
	}
	h.now += time.Minute
	h.handle(HealthCheckCompleted{Worker: 1, Report: []float64{33, 30}})
	h.handle(HealthCheckCompleted{Worker: 2, Report: []float64{3, 0}})
	full, idle := h.queueingDelay(h.p.workers.byID[1], 0), h.queueingDelay(h.p.workers.byID[2], 0)
	if full < idle+float64(150*ms) {
		t.Errorf("predicted delay with 30 queued requests %v, with none %v", full, idle)
	}
	before := h.queueingDelay(h.p.workers.byID[3], 0)
	for _, r := range [][]float64{nil, {1}, {math.NaN(), math.NaN()}, {-5, -5}, {math.Inf(-1), math.Inf(-1)}} {
		h.handle(HealthCheckCompleted{Worker: 3, Report: r})
	}
	if got := h.queueingDelay(h.p.workers.byID[3], 0); got != before {
		t.Errorf("predicted delay after invalid reports %v", got)
	}
	h.handle(HealthCheckCompleted{Worker: 3, Report: []float64{1e300, 1e300}})
	if got := h.queueingDelay(h.p.workers.byID[3], 0); got > maxMultiple*float64(400*ms) {
		t.Errorf("predicted delay after an implausible report %v", got)
	}
	h.now += time.Minute
	h.handle(HealthCheckCompleted{Worker: 3, Report: []float64{3, 0}})
	if got := h.queueingDelay(h.p.workers.byID[3], 0); got > float64(50*ms) {
		t.Errorf("an implausible report still counts after a minute: %v", got)
	}
}

// A worker that rejects a request starts no load for it, so the next request must not expect one.
func TestOverloadedAttemptStartsNoLoad(t *testing.T) {
	h := newHarness(t, config(), 3)
	id, actions := h.arrive(0, 7)
	s, _ := first[StartAttempt](actions)
	h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Overloaded, Took: ms})
	if w := h.p.workers.byID[s.Worker]; !h.p.scheduler.estimator.startsLoad(h.p.now, w, h.p.requests.byID[id]) {
		t.Errorf("a load is expected to be in progress: %v left", h.p.scheduler.estimator.expectedLoadTime(h.p.now, w, h.p.requests.byID[id]))
	}
}

// If the requests of one class fail at a worker that serves the other classes, only those go to other
// workers. After some time the worker gets requests of that class again.
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
			t.Error("the failing class is still sent to the worker")
		}
	}
	if got := h.serve(7, 80*ms, AlreadyLoaded); got != w {
		t.Errorf("the other class is sent to worker %d", got)
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
			t.Error("the worker gets no requests of the class any more")
		}
	}
}

// The first response to a request with a very small work hint must not inflate all later estimates.
func TestWorkHintsAreUsedUntilResponsesAreMeasured(t *testing.T) {
	h := newHarness(t, config(), 3)
	h.handle(RequestArrived{Request: 99, Function: 7, LoadTime: time.Second, Work: ms, Remaining: 4 * time.Second})
	r := h.p.requests.byID[99]
	h.handle(AttemptCompleted{Request: 99, Worker: r.attempts[0].worker.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: 150 * ms})
	if got := h.p.scheduler.estimator.runTime(&request{RequestArrived: RequestArrived{Work: 100 * ms}, class: r.class, function: r.function}); got > nanoseconds(200*ms) {
		t.Errorf("a hint of 100 ms counts as %v", time.Duration(got))
	}
}

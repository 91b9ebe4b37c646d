package policy

import (
	"math"
	"testing"
	"time"
)

// An attempt that is canceled at its deadline has shown how slow its worker is, though no answer did: a router that
// forgets that sends the next one there too, and loses it as well.
func TestCanceledAttemptsCountAsDelay(t *testing.T) {
	b := newHarness(t, config(), 2)
	b.serve(7, 100*ms, AlreadyLoaded)
	for range 30 {
		b.serve(7, 100*ms, AlreadyLoaded)
	}
	for _, w := range b.p.workers.fleet { // both hold a replica
		b.p.replicas.get(w, 7).loadedUntil = b.now + time.Hour
	}
	slow, lost := WorkerID(1), 0
	for range 20 {
		id, acts := b.arrive(0, 7)
		s, ok := first[StartAttempt](acts)
		switch {
		case !ok:
		case s.Worker == slow:
			lost++
			b.advance(4 * time.Second)
			b.handle(TimerFired{Token: deadlineToken + uint64(id)})
			b.handle(AttemptCompleted{Request: id, Worker: slow, Outcome: Canceled, Closed: true, Took: 4 * time.Second})
		default:
			b.advance(100 * ms)
			b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, Closed: true, Took: 100 * ms})
		}
	}
	if lost < 1 || lost > 3 {
		t.Errorf("%d of 20 calls lost at a worker whose calls don't end", lost)
	}
}

// Own calls in flight say nothing of what other routers queue at a worker: its answers do.
func TestOtherRoutersQueuesShowInThePrediction(t *testing.T) {
	b := newHarness(t, config(), 6)
	for range 10 {
		b.serve(7, 100*ms, AlreadyLoaded)
	}
	w := b.serve(7, 100*ms, AlreadyLoaded)
	b.serve(7, 900*ms, AlreadyLoaded)
	b.serve(7, 900*ms, AlreadyLoaded)
	other := b.p.workers.byID[w%6+1]
	b.p.replicas.get(other, 7).loadedUntil = b.now + time.Minute // a hedged request stands
	if got := b.serve(7, 100*ms, AlreadyLoaded); got != other.Worker {
		t.Errorf("sent to %d again after two late answers", got)
	}
	before := b.queueingDelay(b.p.workers.byID[w], 0)
	if idle := b.queueingDelay(other, 0); before < idle+float64(50*ms) {
		t.Errorf("late answers predict %v, nothing known %v", before, idle)
	}
	b.now += 20 * time.Second
	b.handle(HealthCheckCompleted{Worker: w})
	if after := b.queueingDelay(b.p.workers.byID[w], 0); after > before/10 {
		t.Errorf("a queue is still believed in after 20 s: %v of %v", after, before)
	}
}

// Load reports show the queues of other routers even where no late response did, and absurd ones show nothing.
func TestLoadReportsShowOtherRoutersQueues(t *testing.T) {
	cfg := config()
	cfg.LoadReportFields, cfg.InlineLoadReports = []string{"inflight", "queue"}, true
	b := newHarness(t, cfg, 4)
	for k := range 20 { // 10 waiting mean 300 ms
		id, acts := b.arrive(0, 7)
		s, ok := first[StartAttempt](acts)
		if !ok {
			t.Fatal("not sent")
		}
		b.now += 100 * ms
		took, queue := 100*ms, 0.0
		if k > 10 {
			took, queue = 400*ms, 10
		}
		b.now += took
		b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, Closed: true, Took: took,
			Report: []float64{queue + 3, queue}})
	}
	b.now += time.Minute
	b.handle(HealthCheckCompleted{Worker: 1, Report: []float64{33, 30}})
	b.handle(HealthCheckCompleted{Worker: 2, Report: []float64{3, 0}})
	full, idle := b.queueingDelay(b.p.workers.byID[1], 0), b.queueingDelay(b.p.workers.byID[2], 0)
	if full < idle+float64(150*ms) {
		t.Errorf("30 waiting predict %v, none %v", full, idle)
	}
	before := b.queueingDelay(b.p.workers.byID[3], 0)
	for _, r := range [][]float64{nil, {1}, {math.NaN(), math.NaN()}, {-5, -5}, {math.Inf(-1), math.Inf(-1)}} {
		b.handle(HealthCheckCompleted{Worker: 3, Report: r})
	}
	if got := b.queueingDelay(b.p.workers.byID[3], 0); got != before {
		t.Errorf("absurd reports predict %v", got)
	}
	b.handle(HealthCheckCompleted{Worker: 3, Report: []float64{1e300, 1e300}})
	if got := b.queueingDelay(b.p.workers.byID[3], 0); got > maxMultiple*float64(400*ms) {
		t.Errorf("a report far off predicts %v", got)
	}
	b.now += time.Minute
	b.handle(HealthCheckCompleted{Worker: 3, Report: []float64{3, 0}})
	if got := b.queueingDelay(b.p.workers.byID[3], 0); got > float64(50*ms) {
		t.Errorf("a report far off is still believed after a minute: %v", got)
	}
}

// A worker that turns a call away has begun no load for it: the next call must not count on one.
func TestOverloadedAttemptStartsNoLoad(t *testing.T) {
	b := newHarness(t, config(), 3)
	id, acts := b.arrive(0, 7)
	s, _ := first[StartAttempt](acts)
	b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Overloaded, Took: ms})
	if w := b.p.workers.byID[s.Worker]; !b.p.scheduler.estimator.startsLoad(b.p.now, w, b.p.requests.byID[id]) {
		t.Errorf("a load is thought under way: %v left", b.p.scheduler.estimator.expectedLoadTime(b.p.now, w, b.p.requests.byID[id]))
	}
}

// One class failing at a worker that serves the rest: its calls go elsewhere, the others stay, and it is tried again.
func TestFailuresOfOneClassMoveOnlyThatClass(t *testing.T) {
	b := newHarness(t, config(), 5)
	w := b.serve(7, 1100*ms, StartedLoad)
	for range 2 {
		id, acts := b.arrive(1, 7)
		s, _ := first[StartAttempt](acts)
		b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Failed, Took: 5 * ms})
		b.handle(RequestCanceled{Request: id})
	}
	if _, acts := b.arrive(1, 7); has[StartAttempt](acts) {
		if s, _ := first[StartAttempt](acts); s.Worker == w {
			t.Error("the failing class goes on at the worker")
		}
	}
	if got := b.serve(7, 80*ms, AlreadyLoaded); got != w {
		t.Errorf("the other class left for %d", got)
	}
	b.now += 30 * time.Second
	b.p.replicas.get(b.p.workers.byID[w], 7).loadedUntil = b.now + time.Minute
	for o, x := range b.p.workers.byID {
		if o != w {
			delete(x.replicas, 7)
		}
	}
	if _, acts := b.arrive(1, 7); has[StartAttempt](acts) {
		if s, _ := first[StartAttempt](acts); s.Worker != w {
			t.Error("the worker is shut out for the class")
		}
	}
}

// A first answer to a call with a tiny hint must not multiply all later estimates.
func TestWorkHintsAreUsedUntilResponsesAreMeasured(t *testing.T) {
	b := newHarness(t, config(), 3)
	b.handle(RequestArrived{Request: 99, Function: 7, LoadTime: time.Second, Work: ms, Remaining: 4 * time.Second})
	r := b.p.requests.byID[99]
	b.handle(AttemptCompleted{Request: 99, Worker: r.attempts[0].worker.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, Closed: true, Took: 150 * ms})
	if got := b.p.scheduler.estimator.runTime(&request{RequestArrived: RequestArrived{Work: 100 * ms}, class: r.class, function: r.function}); got > nanoseconds(200*ms) {
		t.Errorf("a hint of 100 ms counts as %v", time.Duration(got))
	}
}

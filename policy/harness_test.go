package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// harness drives a Policy by hand.
type harness struct {
	t                 *testing.T
	p                 *Policy
	now               time.Duration
	id                RequestID
	attemptsAtWorker1 int // sends to worker 1
}

func config() Config {
	return Config{Routers: 1, Tick: 2 * ms, MaxAttempts: 5, CancelSupported: true, HealthCheckSupported: true, OverQuotaWeight: 1,
		SlowStartInitialCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 2, OverloadWindow: 3 * time.Second,
		DrainGracePeriod: 500 * ms, KeepAlive: 10 * time.Second, LoadStatusReported: true, LoadBudgetMinimum: 1,
		Classes: []Class{
			{LatencyObjective: 400 * ms, Deadline: 4 * time.Second, Idempotency: Idempotent, PriorityWeight: 1, LatePriorityWeight: 0.2},
			{LatencyObjective: 400 * ms, Deadline: 4 * time.Second, Idempotency: IdempotentWithKey, DeduplicationScope: DeduplicatedInZone, DeduplicationWindow: time.Second, PriorityWeight: 1},
			{LatencyObjective: 400 * ms, Deadline: 4 * time.Second, Idempotency: NotIdempotent, PriorityWeight: 5, LatePriorityWeight: 0.2},
		}}
}

func newHarness(t *testing.T, cfg Config, workers int) *harness {
	t.Helper()
	p, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, p: p, now: time.Hour}
	var l EndpointList
	l.Kind = EndpointSnapshot
	for i := range workers {
		l.Workers = append(l.Workers, Endpoint{Worker: WorkerID(i + 1), State: Ready, Weight: 1})
	}
	b.handle(l)
	return b
}

func (b *harness) handle(ev Event) []Action {
	acts := b.p.Handle(b.now, ev, nil)
	for _, a := range acts {
		if s, ok := a.(StartAttempt); ok && s.Worker == 1 {
			b.attemptsAtWorker1++
		}
	}
	return acts
}

func (b *harness) arrive(class int, f FunctionID) (RequestID, []Action) {
	b.id++
	return b.id, b.handle(RequestArrived{Request: b.id, Class: class, Function: f, Lanes: 4, LoadTime: time.Second, Remaining: 4 * time.Second})
}

// serve has one request of f arrive and served after took.
func (b *harness) serve(f FunctionID, took time.Duration, note LoadStatus) WorkerID {
	b.t.Helper()
	id, acts := b.arrive(0, f)
	s, ok := first[StartAttempt](acts)
	if !ok {
		b.t.Fatalf("request not sent: %v", acts)
	}
	b.now += took
	b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: note, Closed: true, Took: took})
	return s.Worker
}

// serveWithHousekeeping is serve from a loaded replica, with the housekeeping that falls into it.
func (b *harness) serveWithHousekeeping(f FunctionID, took time.Duration) {
	id, acts := b.arrive(0, f)
	s, _ := first[StartAttempt](acts)
	b.advance(took)
	b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, Closed: true, Took: took})
}

// advance lets time go by, with its housekeeping.
func (b *harness) advance(d time.Duration) {
	for end := b.now + d; b.now < end; {
		if b.now += ms; b.now%housekeepingInterval == 0 {
			b.handle(TimerFired{Token: housekeepingToken})
		}
	}
}

func first[A Action](acts []Action) (A, bool) {
	for _, a := range acts {
		if a, ok := a.(A); ok {
			return a, true
		}
	}
	var zero A
	return zero, false
}

func has[A Action](acts []Action) bool { _, ok := first[A](acts); return ok }

func firstClass(b *harness) *classState { return &b.p.classes[0] }

// queueingDelay is the predicted queueing delay at a worker, in nanoseconds.
func (b *harness) queueingDelay(w *worker, attempts int) float64 {
	return float64(b.p.scheduler.estimator.queueingDelay(b.p.now, w, attempts))
}

// ejected reports whether a worker is ejected.
func (b *harness) ejected(w *worker) bool { return b.p.scheduler.outliers.ejected(b.p.now, w) }

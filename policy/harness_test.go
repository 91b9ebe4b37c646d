package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// harness passes events to a Policy with a clock that the test controls.
type harness struct {
	t                 *testing.T
	p                 *Policy
	now               time.Duration
	id                RequestID
	attemptsAtWorker1 int // attempts that were sent to worker 1
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
	h := &harness{t: t, p: p, now: time.Hour}
	var list EndpointList
	list.Kind = EndpointSnapshot
	for i := range workers {
		list.Workers = append(list.Workers, Endpoint{Worker: WorkerID(i + 1), State: Ready, Weight: 1, Zone: KnownGroup(0), Cell: KnownGroup(0)})
	}
	h.handle(list)
	return h
}

func (h *harness) handle(ev Event) []Action {
	actions := h.p.Handle(h.now, ev, nil)
	for _, a := range actions {
		if s, ok := a.(StartAttempt); ok && s.Worker == 1 {
			h.attemptsAtWorker1++
		}
	}
	return actions
}

func (h *harness) arrive(class int, f FunctionID) (RequestID, []Action) {
	h.id++
	return h.id, h.handle(RequestArrived{Request: h.id, Class: class, Function: f, Lanes: 4, LoadTime: time.Second, Remaining: 4 * time.Second})
}

// serve has a request for f arrive and be served after the time took. It returns the worker.
func (h *harness) serve(f FunctionID, took time.Duration, status LoadStatus) WorkerID {
	h.t.Helper()
	id, actions := h.arrive(0, f)
	s, ok := first[StartAttempt](actions)
	if !ok {
		h.t.Fatalf("request not sent: %v", actions)
	}
	h.now += took
	h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: status, RequestClosed: true, Took: took})
	return s.Worker
}

// serveWithHousekeeping is like serve with a loaded replica, and runs the housekeeping that is due meanwhile.
func (h *harness) serveWithHousekeeping(f FunctionID, took time.Duration) {
	id, actions := h.arrive(0, f)
	s, _ := first[StartAttempt](actions)
	h.advance(took)
	h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: took})
}

// advance advances the clock and runs the housekeeping that is due meanwhile.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		if h.now += ms; h.now%housekeepingInterval == 0 {
			h.handle(TimerFired{Token: housekeepingToken})
		}
	}
}

func first[A Action](actions []Action) (A, bool) {
	for _, a := range actions {
		if a, ok := a.(A); ok {
			return a, true
		}
	}
	var zero A
	return zero, false
}

func has[A Action](actions []Action) bool { _, ok := first[A](actions); return ok }

func firstClass(h *harness) *classState { return &h.p.classes[0] }

// queueingDelay returns the predicted queueing delay at a worker, in nanoseconds.
func (h *harness) queueingDelay(w *worker, attempts int) float64 {
	return float64(h.p.scheduler.estimator.queueingDelay(h.p.now, w, attempts))
}

// ejected reports whether a worker is ejected.
func (h *harness) ejected(w *worker) bool { return h.p.scheduler.outliers.ejected(h.p.now, w) }

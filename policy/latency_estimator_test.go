package policy

import (
	"testing"
	"time"
)

// newEstimator returns an estimator with the settings of config, a worker, and a request of a known function.
func newEstimator() (*latencyEstimator, *worker, *request) {
	cfg := config()
	shared := &tables{classes: newClassStates(cfg.Classes)}
	e := newLatencyEstimator(&cfg, shared)
	w := &worker{size: 1, replicas: map[FunctionID]*replica{}}
	shared.workers = workerTable{fleet: []*worker{w}, meanSize: 1}
	e.processStarted(w)
	class := &shared.classes[0]
	f := &function{id: 7, run: class.run, loadTime: time.Second}
	return e, w, &request{class: class, function: f, deadline: time.Hour + time.Second}
}

func TestExpectedLoadTime(t *testing.T) {
	now := time.Hour
	for name, test := range map[string]struct {
		entry *replica
		want  time.Duration
	}{
		"not known":         {want: time.Second},
		"loaded":            {entry: &replica{loadedUntil: now + 1}},
		"serving":           {entry: &replica{inFlight: 1}},
		"keep-alive over":   {entry: &replica{loadedUntil: now}, want: time.Second},
		"loading":           {entry: &replica{loadDue: now + 300*ms}, want: 300 * ms},
		"overdue by 200 ms": {entry: &replica{loadDue: now - 200*ms}, want: 200 * ms},
		"loading, serving":  {entry: &replica{loadDue: now + 300*ms, inFlight: 1}, want: 300 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			e, w, r := newEstimator()
			if test.entry != nil {
				test.entry.worker = w
				w.replicas[7] = test.entry
				e.replicas.add(7, test.entry)
			}
			if got := e.expectedLoadTime(now, w, r).duration(); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

func TestEstimatesLearnWithinBounds(t *testing.T) {
	e, w, r := newEstimator()
	now := time.Hour
	a := &attempt{request: r, worker: w, inFlightAtStart: 2}
	run := e.runTime(r)
	e.observeWithoutLoad(now, a, servedResponse{took: 1000 * run, run: run})
	if got := e.runTime(r); got <= run || got > maxMultiple*run {
		t.Errorf("one outlier changes the run time from %v to %v", run, got)
	}
	if e.queueingDelay(now, w, 2) <= e.queueingDelay(now, w, 0) {
		t.Error("a late response behind two attempts predicts no delay for attempts in flight")
	}
	e.recordFailure(now, a)
	if got := e.expectedLoss(now, w, r); got != nanoseconds(time.Second)/2 {
		t.Errorf("expected loss %v of a second", got)
	}
	e.observeLoadTime(nanoseconds(time.Hour), r.function)
	if want := 1 + loadTimeWeight*(maxLoadTimeRatio-1); e.loadTimeRatio != want {
		t.Errorf("a load of an hour changes the ratio to %v, want %v", e.loadTimeRatio, want)
	}
}

func TestCapacityFollowsTheRunsAtLargeWorkers(t *testing.T) {
	large, small := &worker{size: 4}, &worker{size: 1}
	e := &capacityEstimator{cfg: &Config{Routers: 1}, workers: &workerTable{fleet: []*worker{large, small}, meanSize: 2}}
	e.update()
	if large.capacity.work != 4 || small.capacity.work != 1 || large.capacity.hashWeight != 1 {
		t.Errorf("capacities %v and %v before any run", large.capacity, small.capacity)
	}
	for range 50 {
		e.observeRun(large, 0.5) // of the mean run
		e.observeRun(small, 1.5)
	}
	e.update()
	if large.capacity.work <= 4 || large.capacity.work > 64 {
		t.Errorf("a large worker that is also faster has capacity %v", large.capacity.work)
	}
}

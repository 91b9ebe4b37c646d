package simulation

import (
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// Worker is a simulated worker.
type Worker struct {
	ID policy.WorkerID
	// Started is when the worker started; 0 means long before the run.
	Started time.Duration
	// Received lists when requests arrived, including those that were rejected.
	Received []time.Duration
	// Loads lists when load commands started to load a replica.
	Loads []time.Duration

	fleet    *Fleet
	inFlight int // requests that are being executed or are queued
	// replicas maps a function to the time at which the load of its replica completes.
	replicas map[policy.FunctionID]time.Duration
	// functionInFlight and lastUsed outlive a function's replica, because its requests still complete after an unload.
	functionInFlight map[policy.FunctionID]int
	lastUsed         map[policy.FunctionID]time.Duration
}

func newWorker(f *Fleet, id policy.WorkerID) *Worker {
	return &Worker{
		ID:               id,
		fleet:            f,
		replicas:         map[policy.FunctionID]time.Duration{},
		functionInFlight: map[policy.FunctionID]int{},
		lastUsed:         map[policy.FunctionID]time.Duration{},
	}
}

// execute handles a request that has arrived. It returns the result and the time until the worker responds with it.
func (w *Worker) execute(function policy.FunctionID) (result router.AttemptResult, after time.Duration) {
	now := w.fleet.now
	w.Received = append(w.Received, now)
	if w.inFlight >= 2*w.fleet.cfg.Slots {
		return router.AttemptResult{Outcome: policy.Overloaded}, 0
	}
	loadedAt, known := w.replicas[function]
	status := policy.AlreadyLoaded
	switch {
	case !known && w.fleet.cfg.Settings.MissWhenNotLoaded:
		return router.AttemptResult{Outcome: policy.NotLoaded}, 0
	case !known && !w.ensureCapacity():
		return router.AttemptResult{Outcome: policy.Overloaded}, 0
	case !known:
		loadedAt = now + w.fleet.cfg.LoadTime
		w.replicas[function] = loadedAt
		status = policy.StartedLoad
	case loadedAt > now:
		status = policy.WaitedForLoad
	}
	after = w.startRequest(function, max(loadedAt-now, 0))
	return router.AttemptResult{Outcome: policy.Served, LoadStatus: status, Body: []byte("done")}, after
}

// startRequest counts a request as in flight until the load that it waits for and its execution are complete, and
// returns how long that takes. The execution takes one more service time for every Slots requests in flight.
func (w *Worker) startRequest(function policy.FunctionID, loadWait time.Duration) (took time.Duration) {
	w.inFlight++
	w.functionInFlight[function]++
	w.lastUsed[function] = w.fleet.now
	slowdown := time.Duration(1 + w.inFlight/w.fleet.cfg.Slots)
	took = loadWait + w.fleet.cfg.ServiceTime*slowdown
	w.fleet.After(took, func() {
		w.inFlight--
		w.functionInFlight[function]--
	})
	return took
}

// load handles a load command that has arrived. A command with a count of 0 only queries the number of replicas. load
// returns the outcome, the number of replicas, and the time until the worker responds with them.
func (w *Worker) load(
	function policy.FunctionID, count int,
) (outcome policy.Outcome, replicas int, after time.Duration) {
	now := w.fleet.now
	if _, known := w.replicas[function]; !known && count > 0 {
		if !w.ensureCapacity() {
			return policy.Overloaded, 0, 0
		}
		w.replicas[function] = now + w.fleet.cfg.LoadTime
		w.Loads = append(w.Loads, now)
	}
	return policy.Served, 1, max(w.replicas[function]-now, 0)
}

// unload unloads a function's replica unless it is still being loaded.
func (w *Worker) unload(function policy.FunctionID) {
	if w.replicas[function] <= w.fleet.now {
		delete(w.replicas, function)
	}
}

// ensureCapacity reports whether there is memory for another replica. If there is none and idle replicas may be
// unloaded, it first unloads the least recently used idle one.
func (w *Worker) ensureCapacity() bool {
	limit := w.fleet.cfg.ReplicasPerWorker
	if limit == 0 || len(w.replicas) < limit {
		return true
	}
	if w.fleet.cfg.KeepIdleReplicas {
		return false
	}
	victim, found := w.leastRecentlyUsed()
	if found {
		delete(w.replicas, victim)
	}
	return found
}

// leastRecentlyUsed returns the idle function whose last request is the oldest. Among several it returns the one with
// the lowest id.
func (w *Worker) leastRecentlyUsed() (victim policy.FunctionID, found bool) {
	for function, loadedAt := range w.replicas {
		idle := w.functionInFlight[function] == 0 && loadedAt <= w.fleet.now
		if idle && (!found || w.usedBefore(function, victim)) {
			victim = function
			found = true
		}
	}
	return victim, found
}

func (w *Worker) usedBefore(a, b policy.FunctionID) bool {
	if w.lastUsed[a] != w.lastUsed[b] {
		return w.lastUsed[a] < w.lastUsed[b]
	}
	return a < b
}

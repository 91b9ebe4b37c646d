package simulation

import (
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// Worker is a simulated worker.
type Worker struct {
	ID policy.WorkerID
	// Started is when the worker started; 0 for long before the run.
	Started time.Duration
	// Received are the times at which requests arrived, also those that were rejected.
	Received []time.Duration
	// Loads are the times at which load commands began to load a replica.
	Loads []time.Duration

	fleet    *Fleet
	inFlight int // requests that it works on or queues
	// replicas maps a function to when its replica is, or will be, loaded.
	replicas map[policy.FunctionID]time.Duration
	// functionInFlight and lastUsed outlive a function's replica, for its requests are finished after an unload.
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

// execute takes a request that has arrived. It returns the result and after how long the worker responds with it.
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

// startRequest counts a request as in flight until the load that it waits for and its work are done, and returns how long
// that takes. The work is slower by one service time for each time that all slots are taken.
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

// load handles a load command that has arrived. A command for no replicas asks whether there is one. It returns the
// outcome with the number of replicas, and after how long the worker responds with them.
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

// unload drops a function's replica unless it is still being loaded.
func (w *Worker) unload(function policy.FunctionID) {
	if w.replicas[function] <= w.fleet.now {
		delete(w.replicas, function)
	}
}

// ensureCapacity reports whether there is memory for another replica. Where there is none, it unloads the least
// recently used idle replica if it may.
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

// leastRecentlyUsed returns the idle function whose last request is the oldest, the one with the lowest id of several.
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

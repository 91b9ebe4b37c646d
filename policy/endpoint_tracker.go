package policy

// subscribeRetryPart is the part of the poll interval after which a failed subscription is tried again.
const subscribeRetryDivisor = 8

// endpointTracker applies endpoint lists, and has the other parts forget what no longer holds.
type endpointTracker struct {
	cfg       *Config
	turn      *turn
	workers   *workerTable
	outliers  *outlierDetector
	slowStart *slowStart
	estimator *latencyEstimator
}

// apply applies an endpoint list, or a change of it.
func (t *endpointTracker) apply(list EndpointList) {
	if list.Kind == EndpointListFailed {
		t.listFailed()
		return
	}
	if list.Kind != CachedEndpointSnapshot {
		t.workers.subscribed = true
	}
	listed := map[WorkerID]bool{}
	for _, e := range list.Workers {
		listed[e.Worker] = true
		t.applyEntry(e)
	}
	if list.Kind != EndpointDelta {
		t.workers.markUnlistedGone(listed)
	}
	t.workers.recount()
	t.updateCapacities()
}

// listFailed has the list subscribed to again after a while.
func (t *endpointTracker) listFailed() {
	t.workers.subscribed = false
	after := max(t.cfg.PollInterval/subscribeRetryDivisor, housekeepingInterval)
	t.turn.emit(SetTimer{After: after, Token: timerToken{kind: subscribeTimer}.encode()})
}

// applyEntry applies one entry. Nothing that was learned of a worker's former process holds for a new
// one.
func (t *endpointTracker) applyEntry(e Endpoint) {
	w := t.workers.get(e.Worker)
	isNew := w == nil
	if isNew {
		w = t.workers.add(e.Worker)
	}
	if isNew || e.Started > w.Started {
		t.processStarted(w)
	}
	w.setEndpoint(e)
}

// processStarted forgets what was learned of a worker's former process.
func (t *endpointTracker) processStarted(w *worker) {
	for _, entry := range w.replicas {
		entry.unloaded()
	}
	t.outliers.processStarted(w)
	t.slowStart.processStarted(w)
	t.estimator.processStarted(w)
}

// updateCapacities estimates the workers' capacities anew, and the rate at which warm ones serve.
func (t *endpointTracker) updateCapacities() {
	t.estimator.capacities.update()
	t.slowStart.updateWarmRate(t.turn.now)
}

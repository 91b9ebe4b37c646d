package policy

// subscribeRetryDivisor sets when a failed subscription is retried: after the poll interval divided by this.
const subscribeRetryDivisor = 8

// endpointTracker applies endpoint lists. When a worker's process has restarted, it makes the other
// components discard what they learned about the former process.
type endpointTracker struct {
	cfg       *Config
	turn      *turn
	workers   *workerTable
	outliers  *outlierDetector
	slowStart *slowStart
	estimator *latencyEstimator
}

// apply applies an endpoint list or changes of it.
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

// listFailed sets a timer after which the subscription is retried.
func (t *endpointTracker) listFailed() {
	t.workers.subscribed = false
	after := max(t.cfg.PollInterval/subscribeRetryDivisor, housekeepingInterval)
	t.turn.emit(SetTimer{After: after, Token: timerToken{kind: subscribeTimer}.encode()})
}

// applyEntry applies one entry. If the worker is new or its process has restarted, nothing that was learned
// about a former process is kept.
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

// processStarted discards what was learned about a worker's former process.
func (t *endpointTracker) processStarted(w *worker) {
	for _, entry := range w.replicas {
		entry.unloaded()
	}
	t.outliers.processStarted(w)
	t.slowStart.processStarted(w)
	t.estimator.processStarted(w)
}

// updateCapacities recomputes the workers' capacities and the rate at which warm workers serve.
func (t *endpointTracker) updateCapacities() {
	t.estimator.capacities.update()
	t.slowStart.updateWarmRate(t.turn.now)
}

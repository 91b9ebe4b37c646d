package policy

// subscribeRetryPart is the part of the poll interval after which a failed subscription is tried again.
const subscribeRetryPart = 8

// endpointsListed applies an endpoint list, or a change of it.
func (p *Policy) endpointsListed(list EndpointList) {
	if list.Kind == EndpointListFailed {
		p.endpointListFailed()
		return
	}
	if list.Kind != CachedEndpointSnapshot {
		p.workers.subscribed = true
	}
	listed := map[WorkerID]bool{}
	for _, e := range list.Workers {
		listed[e.Worker] = true
		p.endpointListed(e)
	}
	if list.Kind != EndpointDelta {
		p.workers.markUnlistedGone(listed)
	}
	p.workers.recount()
	p.updateCapacities()
}

// endpointListFailed has the list subscribed to again after a while.
func (p *Policy) endpointListFailed() {
	p.workers.subscribed = false
	after := max(p.cfg.PollInterval/subscribeRetryPart, housekeepingInterval)
	p.emit(SetTimer{After: after, Token: timerToken{kind: subscribeTimer}.encode()})
}

// endpointListed applies one entry. Nothing that was learned of a worker's former process holds for a new
// one.
func (p *Policy) endpointListed(e Endpoint) {
	w := p.workers.get(e.Worker)
	isNew := w == nil
	if isNew {
		w = p.workers.add(e.Worker)
	}
	if isNew || e.Started > w.Started {
		p.processStarted(w)
	}
	w.setEndpoint(e)
}

// processStarted forgets what was learned of a worker's former process.
func (p *Policy) processStarted(w *worker) {
	for _, entry := range w.replicas {
		entry.unloaded()
	}
	p.outliers.processStarted(w)
	p.slowStart.processStarted(w)
	p.estimator.processStarted(w)
}

// updateCapacities estimates the workers' capacities anew, and the rate at which warm ones serve.
func (p *Policy) updateCapacities() {
	p.estimator.capacities.update()
	p.slowStart.updateWarmRate(p.now)
}

// recordResponse records that a worker responds. After an ejection it may be another process than before.
func (p *Policy) recordResponse(w *worker) {
	if p.outliers.recordResponse(p.now, w) {
		p.slowStart.workerReturned(p.now, w)
	}
}

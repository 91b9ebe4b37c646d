package policy

import "slices"

// recordConnectionFailure records that a connection could not be made, or broke. One that broke may have
// broken alone, so a health check decides on an ejection.
func (p *Policy) recordConnectionFailure(w *worker, outcome Outcome) {
	if outcome == Unreachable || !w.health.checking && !p.checkHealth(w) {
		p.outliers.eject(p.now, w)
	}
}

// checkHealth sends a health check to a worker, and reports whether the settings allow it.
func (p *Policy) checkHealth(w *worker) bool {
	sent := p.emit(CheckHealth{Worker: w.Worker})
	p.outliers.checkStarted(p.now, w, sent)
	return sent
}

// healthCheckCompleted records the result of a health check.
func (p *Policy) healthCheckCompleted(e HealthCheckCompleted) {
	w := p.workers.get(e.Worker)
	if w == nil {
		return
	}
	p.outliers.checkEnded(w)
	switch e.Outcome {
	case NotSent: // for a reason of this machine, which says nothing of the worker
	case TimedOut, Unreachable, ConnectionReset:
		p.healthCheckFailed(w)
	default:
		p.recordResponse(w)
		p.estimator.observeReport(p.now, w, e.Report)
	}
}

// healthCheckFailed ejects a worker that has responded to nothing since the health check was sent, and
// cancels the attempts there that may be sent elsewhere.
func (p *Policy) healthCheckFailed(w *worker) {
	if p.outliers.respondedSinceCheck(w) {
		return
	}
	p.outliers.eject(p.now, w)
	for _, a := range slices.Clone(w.inFlight) {
		if p.scheduler.retries.mayMove(p.now, a) {
			p.cancel(a)
		}
	}
}

package policy

import "slices"

// healthChecker sends health checks and draws the consequences of what workers respond, or fail to:
// ejections, and what these mean for slow start and for attempts in flight.
type healthChecker struct {
	turn      *turn
	retries   retryRules
	outliers  *outlierDetector
	slowStart *slowStart
	estimator *latencyEstimator
}

// recordResponse records that a worker responds. After an ejection it may be another process than before.
func (h *healthChecker) recordResponse(w *worker) {
	if h.outliers.recordResponse(h.turn.now, w) {
		h.slowStart.workerRecovered(h.turn.now, w)
	}
}

// recordConnectionFailure records that a connection could not be made, or broke. One that broke may have
// broken alone, so a health check decides on an ejection.
func (h *healthChecker) recordConnectionFailure(w *worker, outcome Outcome) {
	if outcome == Unreachable || !w.health.checking && !h.check(w) {
		h.outliers.eject(h.turn.now, w)
	}
}

// checkIfDue sends a health check to a worker that is silent, or whose ejection has lasted its time.
func (h *healthChecker) checkIfDue(w *worker) {
	if h.outliers.checkDue(h.turn.now, w) {
		h.check(w)
	}
}

// check sends a health check to a worker, and reports whether the settings allow it.
func (h *healthChecker) check(w *worker) bool {
	sent := h.turn.emit(CheckHealth{Worker: w.Worker})
	h.outliers.checkStarted(h.turn.now, w, sent)
	return sent
}

// recordResult records the result of a health check.
func (h *healthChecker) recordResult(w *worker, e HealthCheckCompleted) {
	h.outliers.checkCompleted(w)
	switch e.Outcome {
	case NotSent: // for a reason of this machine, which says nothing of the worker
	case TimedOut, Unreachable, ConnectionReset:
		h.recordFailedCheck(w)
	default:
		h.recordResponse(w)
		h.estimator.observeReport(h.turn.now, w, e.Report)
	}
}

// recordFailedCheck ejects a worker that has responded to nothing since its health check was sent, and
// cancels the attempts there that may be sent elsewhere.
func (h *healthChecker) recordFailedCheck(w *worker) {
	if h.outliers.respondedSinceCheck(w) {
		return
	}
	h.outliers.eject(h.turn.now, w)
	for _, a := range slices.Clone(w.inFlight) {
		if h.retries.mayCancelAndRetry(h.turn.now, a) {
			h.turn.cancel(a)
		}
	}
}

package policy

import "slices"

// healthChecker sends health checks and handles responses and failures of workers: it ejects workers, ends
// ejections, updates slow start, and cancels attempts at workers that fail.
type healthChecker struct {
	turn      *turn
	retries   retryRules
	outliers  *outlierDetector
	slowStart *slowStart
	estimator *latencyEstimator
}

// recordResponse records that a worker responded. If this ends an ejection, its process may be a new one.
func (h *healthChecker) recordResponse(w *worker) {
	if h.outliers.recordResponse(h.turn.now, w) {
		h.slowStart.workerRecovered(h.turn.now, w)
	}
}

// recordConnectionFailure records that a connection could not be made or broke. A worker that can't be
// reached is ejected at once. After a broken connection a health check decides, because the worker itself may
// be healthy. If no health check can be sent, the worker is ejected.
func (h *healthChecker) recordConnectionFailure(w *worker, outcome Outcome) {
	if outcome == Unreachable || !w.health.checking && !h.check(w) {
		h.outliers.eject(h.turn.now, w)
	}
}

// checkIfDue sends a health check to a worker that is silent or whose ejection time is over.
func (h *healthChecker) checkIfDue(w *worker) {
	if h.outliers.checkDue(h.turn.now, w) {
		h.check(w)
	}
}

// check sends a health check to a worker and reports whether the settings allow it.
func (h *healthChecker) check(w *worker) bool {
	sent := h.turn.emit(CheckHealth{Worker: w.Worker})
	h.outliers.checkStarted(h.turn.now, w, sent)
	return sent
}

// recordResult records the result of a health check.
func (h *healthChecker) recordResult(w *worker, e HealthCheckCompleted) {
	h.outliers.checkCompleted(w)
	switch e.Outcome {
	case NotSent, Saturated: // the cause is local to this router, so the worker's health is unknown
	case TimedOut, Unreachable, ConnectionReset:
		h.recordFailedCheck(w)
	default:
		h.recordResponse(w)
		h.estimator.observeReport(h.turn.now, w, e.Report)
	}
}

// recordFailedCheck ejects a worker that has not responded to anything since its health check was sent, and
// cancels those of its attempts that may be retried at another worker.
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

package policy

import "time"

const (
	baseEjection         = time.Second // ejection after a first failure
	maxEjectionDoublings = 3           // each consecutive failure doubles the ejection, to at most 8 s

	// checkInterval is the least time between health checks of a silent worker.
	checkInterval = 4 * housekeepingInterval

	// silenceFactor is the multiple of the expected time for which a worker must be silent to be checked.
	silenceFactor = 2
)

// workerHealth holds the state of outlierDetector for a worker.
type workerHealth struct {
	consecutiveFailures int
	checking            bool // a health check is in flight
	lastCheck           time.Duration
	lastResponse        time.Duration
	ejectedUntil        time.Duration
}

// outlierDetector ejects workers that fail and determines which workers need a health check.
//
// Invariant: an ejection ends when a health check succeeds. If the settings allow no health checks, it ends
// after its time, and then one attempt at a time is sent until one succeeds.
type outlierDetector struct{ cfg *Config }

// processStarted discards the failures of a worker's former process.
func (d *outlierDetector) processStarted(w *worker) {
	w.health.consecutiveFailures = 0
	w.health.ejectedUntil = 0
}

// ejected reports whether nothing may be sent to a worker now.
func (d *outlierDetector) ejected(now time.Duration, w *worker) bool {
	if w.health.consecutiveFailures == 0 {
		return false
	}
	return d.cfg.HealthCheckSupported || now < w.health.ejectedUntil || len(w.inFlight) > 0
}

// eject ejects a worker. It does not extend an ejection that has not ended.
func (d *outlierDetector) eject(now time.Duration, w *worker) {
	if now < w.health.ejectedUntil {
		return
	}
	w.health.consecutiveFailures++
	doublings := min(w.health.consecutiveFailures-1, maxEjectionDoublings)
	w.health.ejectedUntil = now + baseEjection<<doublings
}

// recordResponse records that a worker responded, and reports whether that ended an ejection.
func (d *outlierDetector) recordResponse(now time.Duration, w *worker) (wasEjected bool) {
	wasEjected = w.health.consecutiveFailures > 0
	w.health.lastResponse = now
	w.health.consecutiveFailures = 0
	w.health.ejectedUntil = 0
	return wasEjected
}

// checkStarted records that a health check was due, and whether it was sent.
func (d *outlierDetector) checkStarted(now time.Duration, w *worker, sent bool) {
	w.health.checking = sent
	w.health.lastCheck = now
}

// checkCompleted records that no health check of a worker is in flight any more.
func (d *outlierDetector) checkCompleted(w *worker) { w.health.checking = false }

// respondedSinceCheck reports whether a worker has responded to anything since its last health check was
// sent.
func (d *outlierDetector) respondedSinceCheck(w *worker) bool {
	return w.health.lastResponse >= w.health.lastCheck
}

// checkDue reports whether a worker should be checked, because it is silent or its ejection time is over.
func (d *outlierDetector) checkDue(now time.Duration, w *worker) bool {
	if w.State == Gone || w.health.checking {
		return false
	}
	ejectionExpired := w.health.consecutiveFailures > 0 && now >= w.health.ejectedUntil
	return ejectionExpired || d.silent(now, w)
}

// silent reports whether a worker's oldest attempt has been in flight for much longer than expected without
// any response.
func (d *outlierDetector) silent(now time.Duration, w *worker) bool {
	if len(w.inFlight) == 0 || now-w.health.lastCheck <= checkInterval {
		return false
	}
	oldest := w.inFlight[0]
	silence := now - max(w.health.lastResponse, oldest.startedAt)
	return silence > silenceFactor*(oldest.expected+housekeepingInterval)
}

// expediteCheck shortens the ejection of a worker, so that it is checked sooner. It is called if no other
// worker can take a request.
func (d *outlierDetector) expediteCheck(now time.Duration, w *worker) {
	if w.health.consecutiveFailures == 0 {
		return
	}
	earliest := max(now, w.health.lastCheck+baseEjection/2)
	w.health.ejectedUntil = min(w.health.ejectedUntil, earliest)
}

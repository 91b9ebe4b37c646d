package policy

import (
	"slices"
	"time"
)

const (
	baseEjection = time.Second     // of a first failure; each further one in a row doubles it
	maxEjection  = 8 * time.Second // no worker is ejected for longer without a health check
)

// ejected reports whether w is left out: until a health check succeeds or, where there are none, for the time of its
// ejection, and then with one request at a time.
func (p *Policy) ejected(w *worker) bool {
	return w.consecutiveFailures > 0 && (p.cfg.HealthCheckSupported || p.now < w.ejectedUntil || len(w.inFlight) > 0)
}

// eject leaves w out after a failure, for longer each time.
func (p *Policy) eject(w *worker) {
	if p.now >= w.ejectedUntil {
		w.consecutiveFailures++
		w.ejectedUntil = p.now + min(baseEjection<<min(w.consecutiveFailures-1, 10), maxEjection)
	}
}

func (p *Policy) workerResponded(w *worker) {
	w.lastResponse = p.now
	w.consecutiveFailures, w.ejectedUntil = 0, 0
}

// connectionFailed takes in a connection that could not be made, or one that broke, maybe alone: a health check tells.
func (p *Policy) connectionFailed(w *worker, o Outcome) {
	if o == Unreachable || !w.checking && !p.checkHealth(w) {
		p.eject(w)
	}
}

func (p *Policy) checkHealth(w *worker) bool {
	w.checking, w.lastCheck = p.emit(CheckHealth{Worker: w.Worker}), p.now
	return w.checking
}

// checkSilent checks a worker that is silent for longer than expected, or was ejected for long enough.
func (p *Policy) checkSilent(w *worker) {
	silent := false
	if len(w.inFlight) > 0 && p.now-w.lastCheck > 4*housekeepingInterval {
		oldest := w.inFlight[0]
		silent = p.now-max(w.lastResponse, oldest.startedAt) > 2*(oldest.expected+housekeepingInterval)
	}
	if w.State != Gone && !w.checking && (silent || w.consecutiveFailures > 0 && p.now >= w.ejectedUntil) {
		p.checkHealth(w)
	}
}

func (p *Policy) healthCheckCompleted(e HealthCheckCompleted) {
	w := p.workers[e.Worker]
	if w == nil {
		return
	}
	w.checking = false
	if e.Outcome != TimedOut && e.Outcome != Unreachable && e.Outcome != ConnectionReset {
		p.workerResponded(w)
		p.loadReported(w, e.Report)
	} else if w.lastResponse < w.lastCheck {
		p.eject(w)
		for _, a := range slices.Clone(w.inFlight) {
			if p.mayMove(a) {
				p.cancel(a)
			}
		}
	}
}

// mayMove reports whether an attempt may be canceled for a retry elsewhere.
func (p *Policy) mayMove(a *attempt) bool {
	r := a.request
	if r.done || r.streaming || a.canceled {
		return false
	}
	return r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey &&
		p.now < a.startedAt+r.class.DeduplicationWindow-2*p.cfg.Tick
}

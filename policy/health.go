package policy

import (
	"slices"
	"time"
)

const baseEjection = time.Second // for a first failure; doubled by each of the next three

// ejected: until a health check succeeds or, without these, for a time, and then with one attempt in flight.
func (p *Policy) ejected(w *worker) bool {
	return w.consecutiveFailures > 0 &&
		(p.cfg.HealthCheckSupported || p.now < w.ejectedUntil || len(w.inFlight) > 0)
}

func (p *Policy) eject(w *worker) {
	if p.now >= w.ejectedUntil {
		w.consecutiveFailures++
		w.ejectedUntil = p.now + baseEjection<<min(w.consecutiveFailures-1, 3)
	}
}

// recordResponse takes in that w responds. After an ejection it may be another process than before.
func (p *Policy) recordResponse(w *worker) {
	if w.consecutiveFailures > 0 {
		w.returnedAt = p.now
		p.resetSlowStart(w)
	}
	w.lastResponse, w.consecutiveFailures, w.ejectedUntil = p.now, 0, 0
}

// recordConnectionFailure takes in a connection that could not be made, or broke, maybe alone: a health check tells.
func (p *Policy) recordConnectionFailure(w *worker, o Outcome) {
	if o == Unreachable || !w.checking && !p.checkHealth(w) {
		p.eject(w)
	}
}

func (p *Policy) checkHealth(w *worker) bool {
	w.checking, w.lastCheck = p.emit(CheckHealth{Worker: w.Worker}), p.now
	return w.checking
}

func (p *Policy) checkSilent(w *worker) {
	silent := len(w.inFlight) > 0 && p.now-w.lastCheck > 4*housekeepingInterval &&
		p.now-max(w.lastResponse, w.inFlight[0].startedAt) > 2*(w.inFlight[0].expected+housekeepingInterval)
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
	if e.Outcome == NotSent {
		return // for a reason of this machine, which says nothing of the worker
	}
	if e.Outcome != TimedOut && e.Outcome != Unreachable && e.Outcome != ConnectionReset {
		p.recordResponse(w)
		p.loadReported(w, e.Report)
	} else if w.lastResponse < w.lastCheck {
		p.eject(w)
		for _, a := range slices.Clone(w.inFlight) { // what may be sent elsewhere is canceled
			r, c := a.request, a.request.class
			remembered := p.now < a.startedAt+c.DeduplicationWindow-2*p.cfg.Tick
			if !r.done && !r.streaming &&
				(c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && remembered) {
				p.cancel(a)
			}
		}
	}
}

package policy

import (
	"slices"
	"time"
)

// mayStart reports whether r may go anywhere now: beside a first attempt, only as the hedged request of its policy.
func (p *Policy) mayStart(r *request) bool {
	return !r.done && !r.streaming && (r.inFlight == 0 || r.inFlight == 1 && r.hedging) && p.now < r.deadline &&
		r.pool.HasCapacity()
}

// mayRetry reports whether its class and attempts let r go to w; w nil: to a worker that may yet be listed.
func (p *Policy) mayRetry(r *request, w *worker) bool {
	attempts, ran, limits := len(r.attempts), r.possibleRun, r.Policy
	if p.cfg.MaxAttempts > 0 && attempts >= p.cfg.MaxAttempts ||
		limits.MaxAttempts > 0 && attempts >= limits.MaxAttempts {
		return false
	}
	if ran == nil {
		return r.hedging || limits.RetriesAfterProvenNoRun < 0 || attempts <= limits.RetriesAfterProvenNoRun
	}
	if limits.RetriesAfterPossibleRun >= 0 && r.retriesAfterRun >= limits.RetriesAfterPossibleRun {
		return false
	}
	return r.class.Idempotency == Idempotent || p.deduplicated(ran, w)
}

// deduplicated reports whether w drops the repeat of an attempt by its idempotency key.
func (p *Policy) deduplicated(ran *attempt, w *worker) bool {
	c := ran.request.class
	return c.Idempotency == IdempotentWithKey && p.now < ran.startedAt+c.DeduplicationWindow-p.cfg.Tick &&
		(w == nil || c.DeduplicationScope == DeduplicatedEverywhere ||
			c.DeduplicationScope == DeduplicatedInZone && w.Zone == ran.worker.Zone ||
			c.DeduplicationScope == DeduplicatedInCell && w.Cell == ran.worker.Cell)
}

// startAttempt sends r to w, where a response is expected after a time.
func (p *Policy) startAttempt(r *request, w *worker, expected time.Duration, likelyLoaded bool) {
	load, i := p.remainingLoad(w, r), p.replica(w, r.function.id)
	if !p.emit(StartAttempt{Request: r.Request, Worker: w.Worker, Limit: r.Policy.AttemptTimeout}) {
		return
	}
	a := &attempt{request: r, number: len(r.attempts), worker: w, pool: r.pool, startedAt: p.now, expected: expected,
		inFlight: len(w.inFlight), expectsLoad: load > 0, likelyLoaded: likelyLoaded}
	a.pool.AttemptStarted()
	r.attempts = append(r.attempts, a)
	r.inFlight++
	w.inFlight = append(w.inFlight, a)
	w.slowStart.Tokens -= r.class.run.Mean
	i.inFlight++
	if r.possibleRun != nil {
		r.retriesAfterRun++
	}
	if a.number == 0 {
		p.chargeQuota(r)
		if r.Policy.HedgeDelay > 0 {
			p.emit(SetTimer{After: r.Policy.HedgeDelay, Token: hedgeToken + uint64(r.Request)})
		}
	}
	if !p.cfg.MissWhenNotLoaded && load > 0 && i.loadDue == 0 {
		i.loadDue = p.now + time.Duration(load)
	}
	if p.failedLoads > 0 && load > 0 && p.now >= p.breakerUntil {
		p.openBreaker(0)
	}
}

// hedge sends r to another worker too, one where it need not load, when the first is yet to respond.
func (p *Policy) hedge(r *request) {
	if r == nil || r.inFlight != 1 || !p.cfg.HedgingAllowed || r.class.Idempotency != Idempotent {
		return
	}
	first := r.attempts[slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.ended })].worker
	r.hedging = true
	var fastest *worker
	lowest := float64(r.deadline - p.now)
	for _, w := range p.candidates(r) {
		if latency := p.predict(w, r); w != first && !p.beginsLoad(w, r) && latency < lowest {
			fastest, lowest = w, latency
		}
	}
	if fastest != nil {
		p.startAttempt(r, fastest, time.Duration(lowest), false)
	}
	r.hedging = false
}

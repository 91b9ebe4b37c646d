package policy

import (
	"slices"
	"time"
)

// mayStart reports whether r may go anywhere now: beside a first attempt only its hedged request.
func (p *Policy) mayStart(r *request) bool {
	return !r.done && !r.streaming && (r.inFlight == 0 || r.inFlight == 1 && r.hedging) &&
		p.now < r.deadline && r.pool.HasCapacity()
}

// mayRetry reports whether its class and attempts let r go to w; w nil: to a worker that may yet be listed.
func (p *Policy) mayRetry(r *request, w *worker) bool {
	n, ran, limits, c := len(r.attempts), r.possibleRun, r.Policy, r.class
	if p.cfg.MaxAttempts > 0 && n >= p.cfg.MaxAttempts || limits.MaxAttempts > 0 && n >= limits.MaxAttempts {
		return false
	}
	if ran == nil {
		return r.hedging || limits.RetriesAfterProvenNoRun < 0 || n <= limits.RetriesAfterProvenNoRun
	}
	withinLimit := limits.RetriesAfterPossibleRun < 0 || r.retriesAfterRun < limits.RetriesAfterPossibleRun
	deduplicated := p.now < p.deduplicatedUntil(r) &&
		(w == nil || c.DeduplicationScope == DeduplicatedEverywhere ||
			c.DeduplicationScope == DeduplicatedInZone && w.Zone == ran.worker.Zone ||
			c.DeduplicationScope == DeduplicatedInCell && w.Cell == ran.worker.Cell)
	return withinLimit && (c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && deduplicated)
}

// deduplicatedUntil is until when workers drop a repeat of r, an attempt of which may have run.
func (p *Policy) deduplicatedUntil(r *request) time.Duration {
	return r.possibleRun.startedAt + r.class.DeduplicationWindow - p.cfg.Tick
}

func (p *Policy) startAttempt(r *request, w *worker, expected time.Duration, likelyLoaded bool) {
	load, replica := p.expectedLoadTime(w, r), p.replicas.get(w, r.function.id)
	start := StartAttempt{Request: r.Request, Worker: w.Worker, Limit: r.Policy.AttemptTimeout}
	if r.possibleRun != nil && r.class.Idempotency == IdempotentWithKey {
		start.SendWithin = p.deduplicatedUntil(r) - p.now
	}
	if !p.emit(start) {
		return
	}
	a := &attempt{request: r, worker: w, pool: r.pool, number: len(r.attempts), inFlight: len(w.inFlight),
		startedAt: p.now, expected: expected, expectsLoad: load > 0, likelyLoaded: likelyLoaded}
	a.pool.AttemptStarted()
	r.attempts, w.inFlight = append(r.attempts, a), append(w.inFlight, a)
	r.inFlight, replica.inFlight = r.inFlight+1, replica.inFlight+1
	w.slowStart.Tokens -= r.class.run.Mean
	if r.possibleRun != nil {
		r.retriesAfterRun++
	}
	if r.Policy.HedgeDelay > 0 && a.number == 0 {
		p.emit(SetTimer{After: r.Policy.HedgeDelay, Token: hedgeToken + uint64(r.Request)})
	}
	if len(p.quotas) > 0 && !r.overQuota && a.number == 0 {
		p.quotas[r.Tenant].Tokens-- // what is rejected is repeated, and sent once
	}
	if !p.cfg.MissWhenNotLoaded && load > 0 && replica.loadDue == 0 {
		replica.loadDue = p.now + time.Duration(load)
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
	second, lowest := (*worker)(nil), float64(r.deadline-p.now)
	for _, w := range p.candidates(r) {
		if latency := p.predictLatency(w, r); w != first && !p.beginsLoad(w, r) && latency < lowest {
			second, lowest = w, latency
		}
	}
	if second != nil {
		p.startAttempt(r, second, time.Duration(lowest), false)
	}
	r.hedging = false
}

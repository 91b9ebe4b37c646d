package policy

import "slices"

// startAttempt sends a request to a worker, unless that would break a rule.
func (p *Policy) startAttempt(r *request, chosen placement) {
	w := chosen.worker
	load := p.estimator.expectedLoadTime(p.now, w, r)
	entry := p.replicas.get(w, r.function.id)
	if !p.emit(p.startAction(r, w)) {
		return
	}
	a := &attempt{
		request:      r,
		worker:       w,
		pool:         r.pool,
		number:       len(r.attempts),
		ahead:        len(w.inFlight),
		startedAt:    p.now,
		expected:     chosen.predicted,
		expectsLoad:  load > 0,
		likelyLoaded: chosen.likelyLoaded,
	}
	p.recordStart(a, entry)
	if a.number == 0 {
		p.recordFirstAttempt(r)
	}
	if a.expectsLoad {
		p.recordExpectedLoad(entry, load)
	}
}

// startAction returns the action that sends a request to a worker.
func (p *Policy) startAction(r *request, w *worker) StartAttempt {
	start := StartAttempt{Request: r.Request, Worker: w.Worker, Limit: r.Policy.AttemptTimeout}
	if r.possibleRun != nil && r.class.Idempotency == IdempotentWithKey {
		start.SendWithin = p.scheduler.retries.deduplicatedUntil(r) - p.now
	}
	return start
}

// recordStart counts an attempt as in flight and charges it to its worker's slow start.
func (p *Policy) recordStart(a *attempt, entry *replica) {
	r := a.request
	w := a.worker
	a.pool.AttemptStarted()
	r.attempts = append(r.attempts, a)
	w.inFlight = append(w.inFlight, a)
	r.inFlight++
	entry.inFlight++
	p.slowStart.charge(w, r.class)
	if r.possibleRun != nil {
		r.retriesAfterRun++
	}
}

// recordFirstAttempt sets the timer of a request's hedged attempt, and charges the request to its tenant.
func (p *Policy) recordFirstAttempt(r *request) {
	if r.Policy.HedgeDelay > 0 {
		token := timerToken{kind: hedgeTimer, request: r.Request}
		p.emit(SetTimer{After: r.Policy.HedgeDelay, Token: token.encode()})
	}
	if !r.overQuota {
		p.quotas.charge(r.Tenant)
	}
}

// recordExpectedLoad records that an attempt likely begins a load.
func (p *Policy) recordExpectedLoad(entry *replica, load nanoseconds) {
	if !p.cfg.MissWhenNotLoaded && entry.loadDue == 0 {
		entry.loadDue = p.now + load.duration()
	}
	p.breaker.recordStart(p.now)
}

// startHedge sends a request to a second worker, one where it needs no load, when the first has not responded
// yet.
func (p *Policy) startHedge(r *request) {
	if r == nil || r.inFlight != 1 || !p.cfg.HedgingAllowed || r.class.Idempotency != Idempotent {
		return
	}
	first := r.attempts[slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.ended })].worker
	r.hedging = true
	if second := p.scheduler.chooseHedge(p.now, r, first); second.worker != nil {
		p.startAttempt(r, second)
	}
	r.hedging = false
}

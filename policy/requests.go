package policy

import (
	"cmp"
	"slices"
	"time"
)

// maxAttemptTime bounds what an attempt is said to have taken.
const maxAttemptTime = time.Hour

// deadlineTicks is how many clock ticks before its deadline a request gets its final response.
const deadlineTicks = 2

// requestArrived schedules a new request. One of a class that there is not is ignored.
func (p *Policy) requestArrived(e RequestArrived) {
	if e.Class < 0 || e.Class >= len(p.classes) || p.requests.get(e.Request) != nil {
		return
	}
	p.loads.budget.recordArrival(p.now)
	p.gossip.requestArrived()
	class := &p.classes[e.Class]
	f := p.functions.recordRequest(p.now, e, class)
	e.Remaining = max(e.Remaining, 0)
	e.Policy = cmp.Or(e.Policy, &defaultRequestPolicy)
	r := &request{
		RequestArrived: e,
		class:          class,
		function:       f,
		deadline:       p.now + e.Remaining,
		pool:           e.Policy.Pool,
		overQuota:      p.quotas.exceeded(p.now, e.Tenant),
	}
	p.requests.add(r)
	f.idleLimit = p.loads.idleLimit(r)
	p.emit(SetTimer{After: max(e.Remaining-p.deadlineMargin(), 0), Token: deadlineTokenOf(r)})
	p.schedule(r)
	f.recentRequests++
}

// deadlineMargin is how long before its deadline a request gets its final response.
func (p *Policy) deadlineMargin() time.Duration { return deadlineTicks * p.cfg.Tick }

// deadlineTokenOf returns the token of the timer by which a request gets its final response in time.
func deadlineTokenOf(r *request) uint64 {
	return timerToken{kind: deadlineTimer, request: r.Request}.encode()
}

// requestCanceled ends a request whose client has left. It no longer counts towards the load budget.
func (p *Policy) requestCanceled(e RequestCanceled) {
	r := p.requests.get(e.Request)
	if r == nil || r.complete {
		return
	}
	p.loads.budget.withdrawArrival(r.deadline - r.Remaining)
	p.closeRequest(r)
}

// responseStarted records that a streamed response has begun, after which nothing can be sent elsewhere.
func (p *Policy) responseStarted(e ResponseStarted) {
	if r := p.requests.get(e.Request); r != nil {
		r.streaming = true
	}
}

// schedule sends a request to the worker with the lowest predicted latency, or rejects or defers it.
func (p *Policy) schedule(r *request) {
	if r.complete || r.inFlight > 0 {
		return
	}
	chosen := p.scheduler.choose(p.now, r)
	switch chosen.kind {
	case sendRequest:
		p.attempts.start(r, chosen.placement)
	case deferRequest:
		p.requests.deferUntilHousekeeping(r)
	case rejectRequest:
		p.reject(r, chosen.retryAfter)
	}
}

// attemptCompleted learns from the end of an attempt and decides what becomes of its request.
func (p *Policy) attemptCompleted(e AttemptCompleted) {
	a := p.requests.findAttempt(e.Request, e.Attempt)
	if a == nil {
		return
	}
	r := a.request
	entry := p.replicas.get(a.worker, r.function.id)
	p.endAttempt(a, entry, e.Outcome)
	e.Took = min(max(e.Took, 0), maxAttemptTime)
	p.outcomes.record(a, entry, e)
	if e.Closed {
		p.closeRequest(r)
	}
	switch {
	case r.complete:
		p.requests.removeIfComplete(r)
	case r.inFlight == 0:
		p.continueRequest(r, entry, e.Outcome)
	}
}

// endAttempt takes an attempt out of what is in flight.
func (p *Policy) endAttempt(a *attempt, entry *replica, outcome Outcome) {
	r := a.request
	w := a.worker
	a.ended = true
	r.inFlight--
	entry.inFlight--
	a.pool.AttemptFinished()
	w.inFlight = slices.DeleteFunc(w.inFlight, func(other *attempt) bool { return other == a })
	if !outcome.NeverRan() && r.firstPossibleRun == nil {
		r.firstPossibleRun = a
	}
	// A first attempt whose connection broke may go to the same worker again, which has the replica.
	if outcome != ConnectionReset || a.number > 0 {
		r.excluded = append(r.excluded, w)
	}
}

// continueRequest decides what becomes of an open request whose last attempt ended without a response for its
// client.
func (p *Policy) continueRequest(r *request, entry *replica, outcome Outcome) {
	if outcome == NotLoaded && p.loads.command(r, entry) {
		return
	}
	deadlineReached := outcome == TimedOut && p.now >= r.deadline-p.deadlineMargin()
	if outcome == NotSent || deadlineReached {
		p.reject(r, 0)
		return
	}
	p.schedule(r)
}

// reject gives the final response: a rejection where trying again is harmless, else a failure. The client is
// advised to stay away for about a wait.
func (p *Policy) reject(r *request, wait nanoseconds) {
	rejection := Reject{Request: r.Request, RetryAfter: p.shedder.retryAfter(wait)}
	if r.complete {
		return
	}
	if !p.emit(rejection) {
		p.emit(FailRequest{Request: r.Request})
	}
	p.closeRequest(r)
}

// closeRequest ends a request that has its final response, or needs none.
func (p *Policy) closeRequest(r *request) {
	r.complete = true
	p.emit(ClearTimer{Token: deadlineTokenOf(r)})
	for _, a := range r.attempts {
		p.cancel(a)
	}
	p.requests.removeIfComplete(r)
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
		p.attempts.start(r, second)
	}
	r.hedging = false
}

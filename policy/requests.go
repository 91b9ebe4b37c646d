package policy

import (
	"cmp"
	"slices"
	"time"
)

// maxAttemptTime limits the duration of an attempt that is used for estimates.
const maxAttemptTime = time.Hour

// deadlineTicks is the number of clock ticks before its deadline at which a request gets its final response.
const deadlineTicks = 2

// requestArrived schedules a new request. A request of an unknown class is ignored.
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
	f.openRequests++
	f.idleLimit = p.loads.idleLimit(r)
	p.emit(SetTimer{After: max(e.Remaining-p.deadlineMargin(), 0), Token: deadlineTokenOf(r)})
	p.schedule(r)
	f.recentRequests++
}

// deadlineMargin is how long before its deadline a request gets its final response.
func (p *Policy) deadlineMargin() time.Duration { return deadlineTicks * p.cfg.Tick }

// deadlineTokenOf returns the token of the timer that gives a request its final response before its deadline.
func deadlineTokenOf(r *request) uint64 {
	return timerToken{kind: deadlineTimer, request: r.Request}.encode()
}

// requestCanceled completes a request that its client canceled, and removes it from the load budget's count.
func (p *Policy) requestCanceled(e RequestCanceled) {
	r := p.requests.get(e.Request)
	if r == nil || r.complete {
		return
	}
	p.loads.budget.withdrawArrival(r.deadline - r.Remaining)
	p.completeRequest(r)
}

// responseStarted records that a streamed response has started. After that the request gets no other attempt.
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

// attemptCompleted records the result of an attempt and decides how its request continues.
func (p *Policy) attemptCompleted(e AttemptCompleted) {
	a := p.requests.findAttempt(e.Request, e.Attempt)
	if a == nil {
		return
	}
	r := a.request
	entry := p.replicas.get(a.worker, r.function.id)
	p.completeAttempt(a, entry, e.Outcome)
	e.Took = min(max(e.Took, 0), maxAttemptTime)
	if a.startedAt >= a.worker.Started { // otherwise it tells of a former process
		p.outcomes.record(a, entry, e)
	}
	if e.RequestClosed {
		p.completeRequest(r)
	}
	switch {
	case r.complete:
		p.requests.removeIfComplete(r)
	case r.inFlight == 0:
		p.continueRequest(r, entry, e.Outcome)
	}
	p.replicas.removeIfBlank(r.function.id, a.worker)
}

// completeAttempt records that an attempt is no longer in flight, and whether its request may be sent to the
// same worker again.
func (p *Policy) completeAttempt(a *attempt, entry *replica, outcome Outcome) {
	r := a.request
	w := a.worker
	a.completed = true
	r.inFlight--
	entry.inFlight--
	a.pool.AttemptCompleted()
	w.inFlight = slices.DeleteFunc(w.inFlight, func(other *attempt) bool { return other == a })
	if !outcome.NeverRan() && r.firstPossibleRun == nil {
		r.firstPossibleRun = a
	}
	// If the connection of a first attempt broke, the same worker may be used again, because it has the
	// replica. If the process was replaced, the new one has rejected or failed nothing.
	mayUseAgain := outcome == ConnectionReset && a.number == 0 || outcome == ProcessReplaced
	if !mayUseAgain {
		r.excluded = append(r.excluded, w)
	}
}

// continueRequest sends a load command for a request, rejects it or schedules it again, after its last
// attempt completed without a response for the client.
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

// reject gives a request its final response: a rejection if a retry by the client is safe, otherwise a
// failure. A rejected client is advised to retry after roughly wait.
func (p *Policy) reject(r *request, wait nanoseconds) {
	rejection := Reject{Request: r.Request, RetryAfter: p.shedder.retryAfter(wait)}
	if r.complete {
		return
	}
	if !p.emit(rejection) {
		p.emit(FailRequest{Request: r.Request})
	}
	p.completeRequest(r)
}

// completeRequest completes a request that has its final response or needs none, and cancels its attempts.
func (p *Policy) completeRequest(r *request) {
	r.complete = true
	p.emit(ClearTimer{Token: deadlineTokenOf(r)})
	for _, a := range r.attempts {
		p.cancel(a)
	}
	p.requests.removeIfComplete(r)
}

// startHedge starts the hedged attempt of a request whose first attempt is still in flight, at a second
// worker that needs no load.
func (p *Policy) startHedge(r *request) {
	if r == nil || r.inFlight != 1 || !p.cfg.HedgingAllowed || r.class.Idempotency != Idempotent {
		return
	}
	first := r.attempts[slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.completed })].worker
	r.hedging = true
	if second := p.scheduler.chooseHedge(p.now, r, first); second.worker != nil {
		p.attempts.start(r, second)
	}
	r.hedging = false
}

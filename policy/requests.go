package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"crankhold/internal/stats"
)

// request is one that a final response is owed for, or an attempt of which is still in flight.
type request struct {
	RequestArrived
	class           *classState
	function        *function
	deadline        time.Duration
	overQuota       bool // beyond its tenant's quota
	attempts        []*attempt
	inFlight        int       // of the attempts
	possibleRun     *attempt  // the first attempt that may have run
	retriesAfterRun int       // attempts after that
	excluded        []*worker // that rejected or failed it
	pool            Pool      // the workers that it may go to
	hedging         bool      // a hedged request is being sent
	streaming       bool      // its response has begun
	done            bool      // the final response has been given, or is no longer owed
}

// attempt is one forwarding of a request to a worker.
type attempt struct {
	request             *request
	number              int
	worker              *worker
	pool                Pool
	startedAt, expected time.Duration
	inFlight            int  // attempts at the worker when this one started
	expectsLoad         bool // no replica was thought loaded
	likelyLoaded        bool // but likely one was, at the first in rendezvous rank
	ended, canceled     bool
}

func (p *Policy) requestArrived(e RequestArrived) {
	if e.Class < 0 || e.Class >= len(p.classes) || p.requests[e.Request] != nil {
		return
	}
	if p.cfg.LoadBudgetWindow > 0 {
		p.arrivals.Add(p.now, p.cfg.LoadBudgetWindow)
	}
	p.gossipTokens = min(p.gossipTokens+gossipPerRequest, float64(p.cfg.Routers))
	class := &p.classes[e.Class]
	f := p.functions[e.Function]
	if f == nil {
		f = &function{id: e.Function, run: stats.RunningMean{Mean: class.run.Mean}}
		p.functions[e.Function] = f
	}
	f.recentRequests *= math.Exp(-float64(p.now-f.lastUsed) / float64(rateSpan))
	f.lastUsed = p.now
	f.loadTime = e.LoadTime
	if f.loadTime <= 0 || f.loadTime > time.Hour {
		f.loadTime = class.LatencyObjective // unknown: as long as a response may take
	}
	e.Remaining = max(e.Remaining, 0)
	e.Policy = cmp.Or(e.Policy, &defaultRequestPolicy)
	r := &request{RequestArrived: e, class: class, function: f, deadline: p.now + e.Remaining, pool: e.Policy.Pool}
	p.requests[e.Request] = r
	f.idleLimit = p.idleLimit(r)
	r.overQuota = p.overQuota(e.Tenant)
	p.emit(SetTimer{After: max(e.Remaining-2*p.cfg.Tick, 0), Token: deadlineToken + uint64(e.Request)})
	p.schedule(r)
	f.recentRequests++
}

// requestCanceled closes r, of which the client wants to know no more; it does not widen the load budget either.
func (p *Policy) requestCanceled(r *request) {
	if r != nil && !r.done {
		p.arrivals.Remove(r.deadline - r.Remaining)
		p.closeRequest(r)
	}
}

// attemptCompleted learns from how an attempt ended and decides what follows.
func (p *Policy) attemptCompleted(e AttemptCompleted) {
	r := p.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	i := p.replica(a.worker, r.function.id)
	a.ended = true
	a.pool.AttemptFinished()
	a.worker.inFlight = slices.DeleteFunc(a.worker.inFlight, func(o *attempt) bool { return o == a })
	i.inFlight--
	r.inFlight--
	if !e.Outcome.NeverRan() && r.possibleRun == nil {
		r.possibleRun = a
	}
	if e.Outcome != ConnectionReset || a.number > 0 { // a connection may break alone: its worker has the replica
		r.excluded = append(r.excluded, a.worker)
	}
	e.Took = min(max(e.Took, 0), time.Hour)
	p.observeOutcome(a, i, e)
	if e.Closed {
		p.closeRequest(r)
	}
	switch {
	case r.done || r.inFlight > 0:
	case e.Outcome == NotLoaded && p.orderLoad(r, i):
	case e.Outcome == NotSent || e.Outcome == TimedOut && p.now >= r.deadline-2*p.cfg.Tick:
		p.reject(r, 0)
	default:
		p.schedule(r)
	}
	p.release(r)
}

// mayReject reports whether nothing of r may have run, or running it again is harmless wherever it goes.
func (r *request) mayReject() bool {
	return r.possibleRun == nil && r.inFlight == 0 || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentWithKey && r.class.DeduplicationScope == DeduplicatedEverywhere
}

// reject gives the final response: a rejection where that is true, else a failure, which promises nothing. Clients
// that stay away for wait, in nanoseconds, come back spread by chance.
func (p *Policy) reject(r *request, wait float64) {
	rejection := Reject{Request: r.Request}
	if longest := float64(p.cfg.MaxRetryAfter); p.cfg.RetryAfterSupported && longest > 0 {
		wait = stats.Clamp(wait, float64(housekeepingInterval), longest)
		rejection.RetryAfter = time.Duration(wait * (1 - p.rng.Float64()/2))
	}
	if r.done {
		return
	}
	if !p.emit(rejection) {
		p.emit(FailRequest{Request: r.Request})
	}
	p.closeRequest(r)
}

// closeRequest marks r as done and cancels its attempts in flight.
func (p *Policy) closeRequest(r *request) {
	r.done = true
	p.emit(ClearTimer{Token: deadlineToken + uint64(r.Request)})
	for _, a := range r.attempts {
		if !a.ended && !a.canceled {
			p.cancel(a)
		}
	}
	p.release(r)
}

func (p *Policy) cancel(a *attempt) {
	a.canceled = p.emit(CancelAttempt{Request: a.request.Request, Attempt: a.number})
}

func (p *Policy) release(r *request) {
	if r.done && r.inFlight == 0 {
		delete(p.requests, r.Request)
	}
}

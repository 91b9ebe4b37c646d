package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"crankhold/internal/stats"
)

type request struct {
	RequestArrived
	class           *classState
	function        *function
	deadline        time.Duration
	pool            Pool // the workers that it may go to
	attempts        []*attempt
	possibleRun     *attempt  // the first that may have run
	retriesAfterRun int       // attempts after that
	inFlight        int       // of all attempts
	excluded        []*worker // that rejected or failed it

	overQuota, hedging, streaming, done bool // hedging: while its second attempt starts
}

type attempt struct {
	request                   *request
	worker                    *worker
	pool                      Pool
	number, inFlight          int // inFlight: attempts at the worker before it
	startedAt, expected       time.Duration
	expectsLoad, likelyLoaded bool // we know no replica there; but another router likely keeps one
	ended, canceled           bool
}

func (p *Policy) requestArrived(e RequestArrived) {
	if e.Class < 0 || e.Class >= len(p.classes) || p.requests[e.Request] != nil {
		return
	}
	p.arrivals.Add(p.now, p.cfg.LoadBudgetWindow)
	p.gossipTokens = min(p.gossipTokens+gossipPerRequest, float64(p.cfg.Routers))
	class, f := &p.classes[e.Class], p.functions[e.Function]
	if f == nil {
		f = &function{id: e.Function, run: stats.RunningMean{Mean: class.run.Mean}}
		p.functions[f.id] = f
	}
	f.recentRequests *= math.Exp(-float64(p.now-f.lastUsed) / float64(rateSpan))
	f.lastUsed, f.loadTime = p.now, e.LoadTime
	if f.loadTime <= 0 || f.loadTime > time.Hour {
		f.loadTime = class.LatencyObjective // unknown: as long as a response may take
	}
	e.Remaining, e.Policy = max(e.Remaining, 0), cmp.Or(e.Policy, &defaultRequestPolicy)
	r := &request{RequestArrived: e, class: class, function: f, deadline: p.now + e.Remaining,
		pool: e.Policy.Pool, overQuota: p.exceedsQuota(e.Tenant)}
	p.requests[e.Request], f.idleLimit = r, p.idleLimit(r)
	p.emit(SetTimer{After: max(e.Remaining-2*p.cfg.Tick, 0), Token: deadlineToken + uint64(e.Request)})
	p.schedule(r)
	f.recentRequests++
}

func (p *Policy) attemptCompleted(e AttemptCompleted) {
	r := p.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	w, replica := a.worker, p.replicas.get(a.worker, r.function.id)
	a.ended = true
	r.inFlight--
	replica.inFlight--
	a.pool.AttemptFinished()
	w.inFlight = slices.DeleteFunc(w.inFlight, func(o *attempt) bool { return o == a })
	if !e.Outcome.NeverRan() && r.possibleRun == nil {
		r.possibleRun = a
	}
	if e.Outcome != ConnectionReset || a.number > 0 { // it may break alone: its worker still has the replica
		r.excluded = append(r.excluded, w)
	}
	e.Took = min(max(e.Took, 0), time.Hour)
	p.observeOutcome(a, replica, e)
	if e.Closed {
		p.closeRequest(r)
	}
	switch {
	case r.done && r.inFlight == 0:
		delete(p.requests, r.Request)
	case r.done || r.inFlight > 0:
	case e.Outcome == NotLoaded && p.commandLoad(r, replica):
	case e.Outcome == NotSent || e.Outcome == TimedOut && p.now >= r.deadline-2*p.cfg.Tick:
		p.reject(r, 0)
	default:
		p.schedule(r)
	}
}

// reject gives the final response: a rejection where it is true, else a failure. The wait is in nanoseconds.
func (p *Policy) reject(r *request, wait float64) {
	rejection := Reject{Request: r.Request}
	if most := float64(p.cfg.MaxRetryAfter); p.cfg.RetryAfterSupported && most > 0 {
		wait = stats.Clamp(wait, float64(housekeepingInterval), most)
		rejection.RetryAfter = time.Duration(wait * (1 - p.rng.Float64()/2)) // clients come back spread
	}
	if !r.done {
		if !p.emit(rejection) {
			p.emit(FailRequest{Request: r.Request})
		}
		p.closeRequest(r)
	}
}

func (p *Policy) closeRequest(r *request) {
	r.done = true
	p.emit(ClearTimer{Token: deadlineToken + uint64(r.Request)})
	for _, a := range r.attempts {
		p.cancel(a)
	}
	if r.inFlight == 0 {
		delete(p.requests, r.Request)
	}
}

func (p *Policy) cancel(a *attempt) {
	if !a.ended && !a.canceled {
		a.canceled = p.emit(CancelAttempt{Request: a.request.Request, Attempt: a.number})
	}
}

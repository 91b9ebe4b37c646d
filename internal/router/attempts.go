package router

import (
	"time"

	"crankhold/policy"
)

// trackedAttempt is the state of one attempt of a tracked request.
type trackedAttempt struct {
	worker    policy.WorkerID
	startedAt time.Duration
	ended     bool
	timeout   *timerEntry // nil: only the request's deadline limits it
}

// startAttempt forwards a request to a worker. Where that is no longer allowed the attempt ends as not sent.
func (c *Core) startAttempt(action policy.StartAttempt) {
	tracked := c.requests[action.Request]
	if tracked == nil {
		return
	}
	attempt := tracked.addAttempt(action.Worker, c.timers.now)
	budget := tracked.request.Deadline - c.timers.now
	if action.Limit > 0 {
		budget = min(budget, action.Limit)
	}
	if budget <= 0 || !c.mayStart(tracked, attempt) {
		c.AttemptCompleted(attempt, AttemptResult{Outcome: policy.NotSent})
		return
	}
	if budget == action.Limit { // otherwise the request's deadline comes first
		tracked.attempts[attempt.Number].timeout = c.timers.addAttemptTimeout(attempt, budget)
	}
	tracked.request.SendBy = 0
	if action.SendWithin > 0 {
		tracked.request.SendBy = c.timers.now + action.SendWithin
	}
	c.Counters.AttemptsStarted++
	c.workers.StartAttempt(action.Worker, attempt, &tracked.request, budget)
}

// addAttempt adds an attempt that is in flight from now on.
func (r *trackedRequest) addAttempt(worker policy.WorkerID, now time.Duration) Attempt {
	attempt := Attempt{Request: r.id, Number: len(r.attempts)}
	r.attempts = append(r.attempts, trackedAttempt{worker: worker, startedAt: now})
	r.inFlight++
	return attempt
}

// mayStart reports whether an attempt may be sent: its request is open, and has not used up its attempts.
func (c *Core) mayStart(tracked *trackedRequest, attempt Attempt) bool {
	if tracked.completed {
		return false
	}
	return c.limits.MaxAttempts <= 0 || attempt.Number < c.limits.MaxAttempts
}

// AttemptCompleted tells the core how an attempt ended. It ignores an attempt that has ended already.
func (c *Core) AttemptCompleted(a Attempt, result AttemptResult) {
	tracked, attempt := c.attemptInFlight(a)
	if attempt == nil {
		return
	}
	c.endAttempt(tracked, attempt, result.Outcome)
	served := result.Outcome == policy.Served
	if served && !tracked.completed {
		c.respondServed(tracked, result.Body)
	}
	c.events.add(policy.AttemptCompleted{
		Request:     a.Request,
		Attempt:     a.Number,
		Worker:      attempt.worker,
		Outcome:     result.Outcome,
		LoadStatus:  result.LoadStatus,
		Concurrency: result.Concurrency,
		Closed:      tracked.completed,
		Took:        c.timers.now - attempt.startedAt,
		Report:      result.LoadReport,
	})
	if served {
		c.withdrawUnsentAttempts(tracked)
	}
	c.release(tracked)
}

// attemptInFlight returns an attempt that has not ended, with its request, or nil for both.
func (c *Core) attemptInFlight(a Attempt) (*trackedRequest, *trackedAttempt) {
	tracked := c.requests[a.Request]
	if tracked == nil || a.Number >= len(tracked.attempts) {
		return nil, nil
	}
	attempt := &tracked.attempts[a.Number]
	if attempt.ended {
		return nil, nil
	}
	return tracked, attempt
}

// endAttempt records the end of an attempt.
func (c *Core) endAttempt(tracked *trackedRequest, attempt *trackedAttempt, outcome policy.Outcome) {
	attempt.ended = true
	c.timers.remove(attempt.timeout)
	tracked.inFlight--
	if !outcome.NeverRan() {
		tracked.mayHaveRun = true
	}
	c.Counters.AttemptsByOutcome[outcome]++
}

// cancelAttempt ends an attempt before its worker has responded. The worker may go on with it, so it may have run,
// unless it is withdrawn before it was sent. An unsent attempt that timed out is one whose worker was not reached.
func (c *Core) cancelAttempt(a Attempt, outcome policy.Outcome) {
	_, attempt := c.attemptInFlight(a)
	if attempt == nil {
		return
	}
	withdrawn := c.workers.WithdrawUnsent(attempt.worker, a)
	if !withdrawn {
		c.workers.CancelAttempt(attempt.worker, a)
	}
	if withdrawn && outcome == policy.TimedOut {
		outcome = policy.Unreachable
	}
	c.AttemptCompleted(a, AttemptResult{Outcome: outcome})
}

// withdrawUnsentAttempts ends the attempts of a completed request that wait to be sent. The module may cancel
// attempts only where the settings let it, but what was not sent needs no worker's consent.
func (c *Core) withdrawUnsentAttempts(tracked *trackedRequest) {
	for number := range tracked.attempts {
		attempt := &tracked.attempts[number]
		a := Attempt{Request: tracked.id, Number: number}
		if attempt.ended || !c.workers.WithdrawUnsent(attempt.worker, a) {
			continue
		}
		// Not as policy.NotSent: that the attempt waited in vain tells the module of its worker's delay.
		c.AttemptCompleted(a, AttemptResult{Outcome: policy.Canceled})
	}
}

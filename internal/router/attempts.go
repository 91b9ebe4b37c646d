package router

import "crankhold/policy"

// startAttempt forwards a request to a worker. Where that is no longer allowed the attempt ends as not sent.
func (t *requestTracker) startAttempt(action policy.StartAttempt) {
	tracked := t.table.get(action.Request)
	if tracked == nil {
		return
	}
	now := t.timers.now
	attempt := tracked.addAttempt(action.Worker, now)
	budget := tracked.request.Deadline - now
	if action.Limit > 0 {
		budget = min(budget, action.Limit)
	}
	if budget <= 0 || !t.mayStart(tracked, attempt) {
		t.attemptCompleted(attempt, AttemptResult{Outcome: policy.NotSent})
		return
	}
	if budget == action.Limit { // otherwise the request's deadline comes first
		tracked.attempts[attempt.Number].timeout = t.timers.addAttemptTimeout(attempt, budget)
	}
	tracked.request.SendBy = 0
	if action.SendWithin > 0 {
		tracked.request.SendBy = now + action.SendWithin
	}
	t.counters.AttemptsStarted++
	t.workers.StartAttempt(action.Worker, attempt, &tracked.request, budget)
}

// mayStart reports whether an attempt may be sent: its request is open, and has not used up its attempts.
func (t *requestTracker) mayStart(tracked *trackedRequest, attempt Attempt) bool {
	if tracked.completed {
		return false
	}
	return t.limits.MaxAttempts <= 0 || attempt.Number < t.limits.MaxAttempts
}

// attemptCompleted records the end of an attempt. It ignores an attempt that has ended already.
func (t *requestTracker) attemptCompleted(a Attempt, result AttemptResult) {
	tracked, attempt := t.table.attemptInFlight(a)
	if attempt == nil {
		return
	}
	t.timers.remove(attempt.timeout)
	tracked.completeAttempt(attempt, result.Outcome)
	t.counters.AttemptsByOutcome[result.Outcome]++
	served := result.Outcome == policy.Served
	if served && !tracked.completed {
		t.respondServed(tracked, result.Body)
	}
	t.events.add(policy.AttemptCompleted{
		Request:     a.Request,
		Attempt:     a.Number,
		Worker:      attempt.worker,
		Outcome:     result.Outcome,
		LoadStatus:  result.LoadStatus,
		Concurrency: result.Concurrency,
		Closed:      tracked.completed,
		Took:        t.timers.now - attempt.startedAt,
		Report:      result.LoadReport,
	})
	if served {
		t.withdrawUnsentAttempts(tracked)
	}
	t.removeIfCompleted(tracked)
}

// cancelAttempt ends an attempt before its worker has responded. The worker may go on with it, so it may have run,
// unless it is withdrawn before it was sent. An unsent attempt that timed out is one whose worker was not reached.
func (t *requestTracker) cancelAttempt(a Attempt, outcome policy.Outcome) {
	_, attempt := t.table.attemptInFlight(a)
	if attempt == nil {
		return
	}
	withdrawn := t.workers.WithdrawUnsent(attempt.worker, a)
	if !withdrawn {
		t.workers.CancelAttempt(attempt.worker, a)
	}
	if withdrawn && outcome == policy.TimedOut {
		outcome = policy.Unreachable
	}
	t.attemptCompleted(a, AttemptResult{Outcome: outcome})
}

// withdrawUnsentAttempts ends the attempts of a completed request that wait to be sent. The module may cancel
// attempts only where the settings let it, but what was not sent needs no worker's consent.
func (t *requestTracker) withdrawUnsentAttempts(tracked *trackedRequest) {
	for number := range tracked.attempts {
		attempt := &tracked.attempts[number]
		a := Attempt{Request: tracked.id, Number: number}
		if attempt.completed || !t.workers.WithdrawUnsent(attempt.worker, a) {
			continue
		}
		// Not as policy.NotSent: the wait shows the module how long its worker delays requests.
		t.attemptCompleted(a, AttemptResult{Outcome: policy.Canceled})
	}
}

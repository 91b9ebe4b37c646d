package router

import "crankhold/policy"

// startAttempt forwards a request to a worker. If that is no longer allowed, the attempt completes with the outcome
// policy.NotSent.
func (t *requestTracker) startAttempt(action policy.StartAttempt) {
	tracked := t.table.get(action.Request)
	if tracked == nil {
		return
	}
	now := t.timers.now
	attempt := tracked.addAttempt(action.Worker, now)
	budget := tracked.request.Deadline - now
	if action.Timeout > 0 {
		budget = min(budget, action.Timeout)
	}
	if budget <= 0 || !t.mayStart(tracked, attempt) {
		t.attemptCompleted(attempt, AttemptResult{Outcome: policy.NotSent})
		return
	}
	if budget == action.Timeout { // otherwise the request's deadline is earlier
		tracked.attempts[attempt.Number].timeout = t.timers.addAttemptTimeout(attempt, budget)
	}
	tracked.request.SendBy = 0
	if action.SendWithin > 0 {
		tracked.request.SendBy = now + action.SendWithin
	}
	t.counters.AttemptsStarted++
	t.workers.StartAttempt(action.Worker, attempt, &tracked.request, budget)
}

// mayStart reports whether an attempt may be sent: the request must be open and have attempts left.
func (t *requestTracker) mayStart(tracked *trackedRequest, attempt Attempt) bool {
	if tracked.completed {
		return false
	}
	return t.limits.MaxAttempts <= 0 || attempt.Number < t.limits.MaxAttempts
}

// attemptCompleted records the result of an attempt. It does nothing if the attempt has already completed.
func (t *requestTracker) attemptCompleted(a Attempt, result AttemptResult) {
	tracked, attempt := t.table.attemptInFlight(a)
	if attempt == nil {
		return
	}
	t.timers.remove(attempt.timeout)
	tracked.completeAttempt(attempt, result)
	t.counters.AttemptsByOutcome[result.Outcome]++
	served := result.Outcome == policy.Served
	if served && !tracked.completed {
		t.respondServed(tracked, result.Body)
	}
	t.events.add(policy.AttemptCompleted{
		Request:       a.Request,
		Attempt:       a.Number,
		Worker:        attempt.worker,
		Outcome:       result.Outcome,
		LoadStatus:    result.LoadStatus,
		Concurrency:   result.Concurrency,
		RequestClosed: tracked.completed,
		Took:          t.timers.now - attempt.startedAt,
		Report:        result.LoadReport,
	})
	if served {
		t.withdrawUnsentAttempts(tracked)
	}
	t.releaseIfCompleted(tracked)
}

// cancelAttempt completes an attempt before its worker has responded. If the attempt was sent, it may have run, because
// the worker may continue it. If it was not sent, it is withdrawn and never runs. An unsent attempt that timed out gets
// the outcome policy.Unreachable, because its worker could not be reached.
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
	t.attemptCompleted(a, AttemptResult{Outcome: outcome, Withdrawn: withdrawn})
}

// withdrawUnsentAttempts completes the attempts of a completed request that have not been sent yet. The module cancels
// attempts only if the settings say that workers support it. An unsent attempt needs no such support.
func (t *requestTracker) withdrawUnsentAttempts(tracked *trackedRequest) {
	for number := range tracked.attempts {
		attempt := &tracked.attempts[number]
		a := Attempt{Request: tracked.id, Number: number}
		if attempt.completed || !t.workers.WithdrawUnsent(attempt.worker, a) {
			continue
		}
		// The outcome is policy.Canceled and not policy.NotSent, because the module uses the duration of a canceled
		// attempt to estimate the delay at its worker.
		t.attemptCompleted(a, AttemptResult{Outcome: policy.Canceled, Withdrawn: true})
	}
}

package policy

import (
	"slices"
	"time"
)

// retryRules decides which attempts a request may have. It has no state of its own: its decisions depend on
// the settings, the class and the policy of the request, and the attempts so far.
//
// Invariant: a request that is not idempotent and may have run gets no further attempt.
type retryRules struct{ cfg *Config }

// mayStart reports whether a request may have a further attempt now, at any worker. While an attempt is in
// flight, only a hedged attempt may start.
func (rules retryRules) mayStart(now time.Duration, r *request) bool {
	if r.complete || r.streaming {
		return false
	}
	isHedge := r.inFlight == 1 && r.hedging
	return (r.inFlight == 0 || isHedge) && now < r.deadline && r.pool.HasCapacity()
}

// mayRetry reports whether the class, the policy and the attempts so far allow a request to be sent to a
// worker. If w is nil, it reports whether they allow any worker, including one that is listed later.
func (rules retryRules) mayRetry(now time.Duration, r *request, w *worker) bool {
	if rules.attemptsUsedUp(r) {
		return false
	}
	if r.firstPossibleRun == nil {
		limit := r.Policy.RetriesAfterProvenNoRun
		return r.hedging || limit < 0 || len(r.attempts) <= limit
	}
	limit := r.Policy.RetriesAfterPossibleRun
	withinLimit := limit < 0 || r.retriesAfterPossibleRun < limit
	return withinLimit && rules.mayRepeat(now, r, w)
}

// mayRepeat reports whether a request that may have run can safely be sent to a worker again.
func (rules retryRules) mayRepeat(now time.Duration, r *request, w *worker) bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return now < rules.deduplicatedUntil(r) && rules.deduplicates(r, w)
	default:
		return false
	}
}

// attemptsUsedUp reports whether a request has had all attempts that the settings and its policy allow.
func (rules retryRules) attemptsUsedUp(r *request) bool {
	attempts := len(r.attempts)
	return rules.cfg.MaxAttempts > 0 && attempts >= rules.cfg.MaxAttempts ||
		r.Policy.MaxAttempts > 0 && attempts >= r.Policy.MaxAttempts
}

// deduplicates reports whether a worker drops a retry of a request that may have run. If w is nil, it reports
// whether any worker may do so, including one that is listed later.
func (rules retryRules) deduplicates(r *request, w *worker) bool {
	if w == nil {
		return rules.mayBeDeduplicated(r.class, r.firstPossibleRun)
	}
	scope := r.class.DeduplicationScope
	return scope == DeduplicatedEverywhere || r.firstPossibleRun.group.Same(w.deduplicationGroup(scope))
}

// mayBeDeduplicated reports whether there may be workers that drop a retry of an attempt of a class.
func (rules retryRules) mayBeDeduplicated(class *classState, a *attempt) bool {
	return class.DeduplicationScope == DeduplicatedEverywhere || a.group.IsKnown()
}

// deduplicatedUntil returns the time until which workers drop a retry of a request that may have run.
func (rules retryRules) deduplicatedUntil(r *request) time.Duration {
	return r.firstPossibleRun.startedAt + r.class.DeduplicationWindow - rules.cfg.Tick
}

// eligible reports whether a request may be sent to a worker, now or later.
func (rules retryRules) eligible(now time.Duration, r *request, w *worker) bool {
	return w.State == Ready && r.pool.Contains(w.Worker) && !slices.Contains(r.excluded, w) &&
		rules.mayRetry(now, r, w)
}

// mayCancelAndRetry reports whether an attempt at a silent worker may be canceled, so that its request can be
// sent to another worker.
func (rules retryRules) mayCancelAndRetry(now time.Duration, a *attempt) bool {
	r := a.request
	if r.complete || r.streaming {
		return false
	}
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		windowEnd := a.startedAt + r.class.DeduplicationWindow
		return now < windowEnd-2*rules.cfg.Tick && rules.mayBeDeduplicated(r.class, a)
	default:
		return false
	}
}

// clientMayRetry reports whether the client may safely send a request again, through any router, whatever
// happened to it here.
func (rules retryRules) clientMayRetry(r *request) bool {
	neverRan := r.firstPossibleRun == nil && r.inFlight == 0
	class := r.class
	return neverRan || class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentWithKey && class.DeduplicationScope == DeduplicatedEverywhere
}

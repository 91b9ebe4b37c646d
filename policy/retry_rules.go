package policy

import (
	"slices"
	"time"
)

// retryRules says which attempts a request may have. It keeps no state: the answers follow from the settings,
// the request's class and policy, and the attempts that it has had.
//
// Invariant: a request that must not repeat and may have run gets no further attempt.
type retryRules struct{ cfg *Config }

// mayStart reports whether a request may go anywhere now: beside a first attempt only its hedged attempt.
func (rules retryRules) mayStart(now time.Duration, r *request) bool {
	if r.complete || r.streaming {
		return false
	}
	isHedge := r.inFlight == 1 && r.hedging
	return (r.inFlight == 0 || isHedge) && now < r.deadline && r.pool.HasCapacity()
}

// mayRetry reports whether the class, the policy and the attempts of a request let it go to a worker. With a
// worker of nil it reports whether they let it go to any that may yet be listed.
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

// mayRepeat reports whether a request that may have run does no harm if a worker runs it again.
func (rules retryRules) mayRepeat(now time.Duration, r *request, w *worker) bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return now < rules.deduplicatedUntil(r) && (w == nil || rules.deduplicatesAt(r, w))
	default:
		return false
	}
}

// attemptsUsedUp reports whether a request has had as many attempts as the settings and its policy allow.
func (rules retryRules) attemptsUsedUp(r *request) bool {
	attempts := len(r.attempts)
	return rules.cfg.MaxAttempts > 0 && attempts >= rules.cfg.MaxAttempts ||
		r.Policy.MaxAttempts > 0 && attempts >= r.Policy.MaxAttempts
}

// deduplicatesAt reports whether a worker drops a repeat of a request that may have run at another.
func (rules retryRules) deduplicatesAt(r *request, w *worker) bool {
	first := r.firstPossibleRun.worker
	switch r.class.DeduplicationScope {
	case DeduplicatedEverywhere:
		return true
	case DeduplicatedInZone:
		return w.Zone == first.Zone
	case DeduplicatedInCell:
		return w.Cell == first.Cell
	default:
		return false
	}
}

// deduplicatedUntil returns until when workers drop a repeat of a request, an attempt of which may have run.
func (rules retryRules) deduplicatedUntil(r *request) time.Duration {
	return r.firstPossibleRun.startedAt + r.class.DeduplicationWindow - rules.cfg.Tick
}

// eligible reports whether a request may go to a worker, now or later.
func (rules retryRules) eligible(now time.Duration, r *request, w *worker) bool {
	return w.State == Ready && r.pool.Contains(w.Worker) && !slices.Contains(r.excluded, w) &&
		rules.mayRetry(now, r, w)
}

// mayCancelAndRetry reports whether an attempt at a silent worker may be canceled, so that its request can go
// elsewhere.
func (rules retryRules) mayCancelAndRetry(now time.Duration, a *attempt) bool {
	r := a.request
	if r.complete || r.streaming {
		return false
	}
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return now < a.startedAt+r.class.DeduplicationWindow-2*rules.cfg.Tick
	default:
		return false
	}
}

// clientMayRetry reports whether the client may send a request again wherever it likes, whatever became of
// it here.
func (rules retryRules) clientMayRetry(r *request) bool {
	neverRan := r.firstPossibleRun == nil && r.inFlight == 0
	class := r.class
	return neverRan || class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentWithKey && class.DeduplicationScope == DeduplicatedEverywhere
}

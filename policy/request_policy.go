package policy

import "time"

// RequestPolicy holds the limits that a route adds for a request. It may only restrict what the settings
// allow.
type RequestPolicy struct {
	Pool                    Pool          // the workers that the request may be sent to
	MaxAttempts             int           // in total; 0: as in the settings
	RetriesAfterPossibleRun int           // after an attempt that may have run; below 0: as in the settings
	RetriesAfterProvenNoRun int           // after attempts that never ran; below 0: as in the settings
	AttemptTimeout          time.Duration // of each attempt; 0: the request's deadline
	HedgeDelay              time.Duration // time until the hedged attempt of an Idempotent request; 0: none
	LatencyObjective        time.Duration // 0: that of the class
}

// Pool is a set of workers with limits on its attempts and load commands. It keeps the counts for these
// limits and makes no other decisions.
type Pool interface {
	Contains(w WorkerID) bool
	HasCapacity() bool // reports whether a further attempt may start
	AttemptStarted()   // counts an attempt as in flight
	AttemptCompleted() // counts it as no longer in flight
	// MayLoad reports whether a further load command is within the pool's share of the load budget.
	// LoadStarted counts a load command.
	MayLoad(now time.Duration, budget float64) bool
	LoadStarted(now time.Duration)
	// Overflow returns the pool for a request that this pool can't take, and counts the overflow. It returns
	// nil if there is no such pool or its limit is reached.
	Overflow(now time.Duration) Pool
}

// defaultRequestPolicy is the policy of a request whose route adds no limits.
var defaultRequestPolicy = RequestPolicy{
	Pool:                    allWorkers{},
	RetriesAfterPossibleRun: -1,
	RetriesAfterProvenNoRun: -1,
}

// allWorkers is the pool of all workers. It has no limits.
type allWorkers struct{}

// Contains implements Pool.
func (allWorkers) Contains(WorkerID) bool { return true }

// HasCapacity implements Pool.
func (allWorkers) HasCapacity() bool { return true }

// AttemptStarted implements Pool.
func (allWorkers) AttemptStarted() {}

// AttemptCompleted implements Pool.
func (allWorkers) AttemptCompleted() {}

// MayLoad implements Pool.
func (allWorkers) MayLoad(time.Duration, float64) bool { return true }

// LoadStarted implements Pool.
func (allWorkers) LoadStarted(time.Duration) {}

// Overflow implements Pool.
func (allWorkers) Overflow(time.Duration) Pool { return nil }

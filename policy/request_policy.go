package policy

import "time"

// RequestPolicy tightens for a request what the settings allow. It never widens it.
type RequestPolicy struct {
	Pool                    Pool          // the workers that it may go to
	MaxAttempts             int           // in all; 0: as the settings allow
	RetriesAfterPossibleRun int           // after an attempt that may have run; below 0: as the settings allow
	RetriesAfterProvenNoRun int           // and after ones that never ran
	AttemptTimeout          time.Duration // of each attempt; 0: until the client gives up
	HedgeDelay              time.Duration // a hedged request of an Idempotent class starts then; 0: never
	LatencyObjective        time.Duration // 0: the class's
}

// Pool is a set of workers with bounds on what its requests use. It keeps the counts and decides nothing
// else.
type Pool interface {
	Contains(w WorkerID) bool
	HasCapacity() bool // a further attempt may be in flight
	AttemptStarted()   // an attempt is in flight
	AttemptFinished()  // it is no longer
	// MayLoad reports whether a load command is within the pool's share of a load budget; LoadStarted counts
	// one.
	MayLoad(now time.Duration, budget float64) bool
	LoadStarted(now time.Duration)
	// Overflow returns the pool that takes a request which this one can't, and counts it, or nil.
	Overflow(now time.Duration) Pool
}

// defaultRequestPolicy is that of a request whose route tightens nothing.
var defaultRequestPolicy = RequestPolicy{
	Pool:                    allWorkers{},
	RetriesAfterPossibleRun: -1,
	RetriesAfterProvenNoRun: -1,
}

// allWorkers is the pool of them all, without bounds of its own.
type allWorkers struct{}

// Contains implements Pool.
func (allWorkers) Contains(WorkerID) bool { return true }

// HasCapacity implements Pool.
func (allWorkers) HasCapacity() bool { return true }

// AttemptStarted implements Pool.
func (allWorkers) AttemptStarted() {}

// AttemptFinished implements Pool.
func (allWorkers) AttemptFinished() {}

// MayLoad implements Pool.
func (allWorkers) MayLoad(time.Duration, float64) bool { return true }

// LoadStarted implements Pool.
func (allWorkers) LoadStarted(time.Duration) {}

// Overflow implements Pool.
func (allWorkers) Overflow(time.Duration) Pool { return nil }

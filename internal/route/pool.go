package route

import (
	"time"

	"crankhold/policy"
)

// Pool is a pool of workers, as the decision module sees it: which workers a request may go to, and whether a further
// attempt, load or overflowing request is within the pool's limits. A table that replaces another takes the counters
// over; see Table.CarryOver. The event loop owns it.
type Pool struct {
	Spec      PoolSpec
	fallback  *Pool                    // nil: none
	members   map[policy.WorkerID]bool // the listed workers that are the pool's
	loadShare float64                  // of the load budget, as a fraction
	*poolCounters
	loads *slidingWindow // loads that count against loadShare: its own, or those of all pools without a share
}

var _ policy.Pool = (*Pool)(nil)

// poolCounters counts what happened in a pool.
type poolCounters struct {
	inFlight         int // attempts
	peak             int // highest inFlight
	recentRequests   *slidingWindow
	recentOverflows  *slidingWindow
	ownLoads         *slidingWindow
	Requests         uint64 // routed here, or overflowed from another pool
	Overflows        uint64 // requests that went to the fallback
	Loads            uint64 // load commands
	CapacityExceeded uint64 // requests that did not go to the fallback, because the limit on overflow was reached
}

func newPoolCounters(loadWindow time.Duration) *poolCounters {
	return &poolCounters{
		recentRequests:  newSlidingWindow(overflowWindow),
		recentOverflows: newSlidingWindow(overflowWindow),
		ownLoads:        newSlidingWindow(loadWindow),
	}
}

// Contains reports whether a worker is one of the pool's.
func (p *Pool) Contains(w policy.WorkerID) bool { return p.members[w] }

// Size returns how many listed workers are the pool's.
func (p *Pool) Size() int { return len(p.members) }

// HasCapacity reports whether a further attempt may be in flight.
func (p *Pool) HasCapacity() bool {
	return p.Spec.MaxInFlight == Unset || p.inFlight < p.Spec.MaxInFlight
}

// InFlight returns how many attempts are in flight.
func (p *Pool) InFlight() int { return p.inFlight }

// Peak returns the most attempts that were in flight at once.
func (p *Pool) Peak() int { return p.peak }

// RequestRouted counts a request that a route, or a pool that overflows, sends to the pool.
func (p *Pool) RequestRouted(now time.Duration) {
	p.Requests++
	p.recentRequests.add(now)
}

// AttemptStarted counts an attempt as in flight.
func (p *Pool) AttemptStarted() {
	p.inFlight++
	p.peak = max(p.peak, p.inFlight)
}

// AttemptFinished takes an attempt out of those in flight; it is called once for each AttemptStarted.
func (p *Pool) AttemptFinished() { p.inFlight-- }

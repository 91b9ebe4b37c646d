package route

import (
	"fmt"
	"time"

	"crankhold/policy"
)

// Pool is a pool of workers. It tells the decision module which workers a request may go to, and whether one more
// attempt, load or overflow is within the pool's limits. When a table replaces another, its pools continue with the old
// counters; see Table.CarryOver. The event loop owns a Pool.
type Pool struct {
	Spec         PoolSpec
	description  string    // of Spec, without the names of pools
	selectorsKey string    // equal for pools whose Spec.Selectors are equal
	fallback     *Pool     // nil: none
	members      workerSet // the listed workers that belong to the pool; pools may share it
	loadShare    float64   // fraction of the load budget
	*poolCounters
	loads *slidingWindow // loads that count against loadShare: the pool's, or those of all pools without a share
}

var _ policy.Pool = (*Pool)(nil)

// poolCounters holds the counters of a pool. Table.CarryOver passes them to the pool of a new table.
type poolCounters struct {
	inFlight        int // attempts in flight
	peak            int // highest inFlight
	recentRequests  *slidingWindow
	recentOverflows *slidingWindow
	ownLoads        *slidingWindow
	Requests        uint64 // routed here, or overflowed from another pool
	Overflows       uint64 // requests that went to the fallback
	Loads           uint64 // load commands
	OverflowsDenied uint64 // requests that could not overflow because the overflow limit was reached
}

func newPoolCounters(loadWindow time.Duration) *poolCounters {
	return &poolCounters{
		recentRequests:  newSlidingWindow(overflowWindow),
		recentOverflows: newSlidingWindow(overflowWindow),
		ownLoads:        newSlidingWindow(loadWindow),
	}
}

// newPool returns a pool without a fallback.
func newPool(spec PoolSpec, loadWindow time.Duration) *Pool {
	return &Pool{
		Spec:         spec,
		description:  spec.description(),
		selectorsKey: fmt.Sprintf("%#v", spec.Selectors),
		poolCounters: newPoolCounters(loadWindow),
	}
}

// Contains reports whether a worker belongs to the pool.
func (p *Pool) Contains(w policy.WorkerID) bool { return p.members.contains(w) }

// Size returns how many listed workers belong to the pool.
func (p *Pool) Size() int { return p.members.size() }

// HasCapacity reports whether one more attempt may be in flight.
func (p *Pool) HasCapacity() bool {
	return p.Spec.MaxInFlight == Unset || p.inFlight < p.Spec.MaxInFlight
}

// InFlight returns how many attempts are in flight.
func (p *Pool) InFlight() int { return p.inFlight }

// Peak returns the highest number of attempts that were in flight at once.
func (p *Pool) Peak() int { return p.peak }

// RequestRouted counts a request that a route, or the overflow of another pool, sends to this pool.
func (p *Pool) RequestRouted(now time.Duration) {
	p.Requests++
	p.recentRequests.add(now)
}

// AttemptStarted counts an attempt as in flight.
func (p *Pool) AttemptStarted() {
	p.inFlight++
	p.peak = max(p.peak, p.inFlight)
}

// AttemptCompleted counts an attempt as no longer in flight. It is called once for each AttemptStarted.
func (p *Pool) AttemptCompleted() { p.inFlight-- }

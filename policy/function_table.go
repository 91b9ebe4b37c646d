package policy

import (
	"container/list"
	"math"
	"time"

	"crankhold/internal/stats"
)

const (
	// functionRetention is the time without requests after which a function is removed from the table.
	functionRetention = 2 * time.Minute

	// maxForgottenPerSweep limits the functions that one sweep removes, so that a sweep takes no longer
	// after a burst of requests for many functions.
	maxForgottenPerSweep = 1000

	// maxLoadTime is the longest load time of a request that is used; a longer one counts as unknown.
	maxLoadTime = time.Hour
)

// function holds the estimates for a function over all workers.
type function struct {
	id             FunctionID
	run            stats.RunningMean // run time of requests that waited for no load, in nanoseconds
	recentRequests float64           // requests before the last one, decaying over rateSpan
	lastUsed       time.Duration     // when the last request arrived
	loadTime       time.Duration     // as given by the last request
	idleLimit      time.Duration     // how long an idle replica is worth its memory

	openRequests int           // requests in the request table that name it
	element      *list.Element // its place in functionTable.leastRecent

	// congestion counts responses that were late or rejected although a replica was loaded. Responses in time
	// reduce it. A congested function gets more rendezvous slots; other routers do the same.
	congestion float64
}

// recordCongestion records a response that was late or rejected although a replica was loaded.
func (f *function) recordCongestion(readyWorkers int) {
	f.congestion = min(f.congestion+1, float64(readyWorkers))
}

// recordTimelyResponse records a response within the latency objective.
func (f *function) recordTimelyResponse() { f.congestion *= regressionRetention }

// functionTable holds the functions that have been requested recently. Any client can name a new function
// with each request, so the table is bounded: at its limit a new function replaces the one whose last
// request is the oldest.
//
// Invariant: a function in use, which an open request names or of which a worker may have a replica, is
// not replaced. The table exceeds its limit only if all its functions are in use.
type functionTable struct {
	byID        map[FunctionID]*function
	replicas    *replicaTable
	limit       int       // 0: no limit
	leastRecent list.List // of *function, in the order of their last requests; functions in use may be later
	evicted     uint64    // functions that were replaced at the limit
}

func newFunctionTable(replicas *replicaTable) functionTable {
	return functionTable{byID: map[FunctionID]*function{}, replicas: replicas}
}

// get returns a function, or nil if it is not in the table.
func (t *functionTable) get(id FunctionID) *function { return t.byID[id] }

// recordRequest returns the function of a request that arrives, with its load time updated from the request.
// The request itself is added to recentRequests only after it has been scheduled.
func (t *functionTable) recordRequest(now time.Duration, e RequestArrived, class *classState) *function {
	f := t.byID[e.Function]
	if f == nil {
		f = t.add(e.Function, class)
	}
	t.leastRecent.MoveToBack(f.element)
	f.recentRequests *= math.Exp(-float64(now-f.lastUsed) / float64(rateSpan))
	f.lastUsed = now
	f.loadTime = e.LoadTime
	if f.loadTime <= 0 || f.loadTime > maxLoadTime {
		f.loadTime = class.LatencyObjective // unknown: assume the longest time that a response may take
	}
	return f
}

// add adds a function. At the limit, it first removes the one that was requested least recently.
func (t *functionTable) add(id FunctionID, class *classState) *function {
	if t.limit > 0 && len(t.byID) >= t.limit {
		t.evict()
	}
	f := &function{id: id, run: stats.RunningMean{Mean: class.run.Mean}}
	f.element = t.leastRecent.PushBack(f)
	t.byID[id] = f
	return f
}

// evict removes the function that was requested least recently and is not in use. Functions in use that it
// passes become the most recent ones, so that the next call does not pass them again.
func (t *functionTable) evict() {
	for range t.leastRecent.Len() {
		oldest := t.leastRecent.Front()
		f := oldest.Value.(*function)
		if !t.inUse(f) {
			t.remove(f)
			t.evicted++
			return
		}
		t.leastRecent.MoveToBack(oldest)
	}
}

// inUse reports whether an open request names a function, or a worker may have a replica of it.
func (t *functionTable) inUse(f *function) bool { return f.openRequests > 0 || t.replicas.has(f.id) }

func (t *functionTable) remove(f *function) {
	t.leastRecent.Remove(f.element)
	delete(t.byID, f.id)
}

// forgetUnused removes functions that are not in use and have not been requested for functionRetention, at
// most maxForgottenPerSweep of them.
func (t *functionTable) forgetUnused(now time.Duration) {
	for range min(t.leastRecent.Len(), maxForgottenPerSweep) {
		oldest := t.leastRecent.Front()
		f := oldest.Value.(*function)
		switch {
		case now-f.lastUsed <= functionRetention:
			return
		case t.inUse(f):
			t.leastRecent.MoveToBack(oldest)
		default:
			t.remove(f)
		}
	}
}

package policy

import (
	"math"
	"time"

	"crankhold/internal/stats"
)

const (
	// functionRetention is the time without requests after which a function is removed from the table.
	functionRetention = 2 * time.Minute

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

// functionTable holds the functions that have been requested recently.
type functionTable struct{ byID map[FunctionID]*function }

// get returns a function, or nil if it is not in the table.
func (t *functionTable) get(id FunctionID) *function { return t.byID[id] }

// recordRequest returns the function of a request that arrives, with its load time updated from the request.
// The request itself is added to recentRequests only after it has been scheduled.
func (t *functionTable) recordRequest(now time.Duration, e RequestArrived, class *classState) *function {
	f := t.byID[e.Function]
	if f == nil {
		f = &function{id: e.Function, run: stats.RunningMean{Mean: class.run.Mean}}
		t.byID[f.id] = f
	}
	f.recentRequests *= math.Exp(-float64(now-f.lastUsed) / float64(rateSpan))
	f.lastUsed = now
	f.loadTime = e.LoadTime
	if f.loadTime <= 0 || f.loadTime > maxLoadTime {
		f.loadTime = class.LatencyObjective // unknown: assume the longest time that a response may take
	}
	return f
}

// forgetUnused removes the functions that have not been requested for functionRetention.
func (t *functionTable) forgetUnused(now time.Duration) {
	for id, f := range t.byID {
		if now-f.lastUsed > functionRetention {
			delete(t.byID, id)
		}
	}
}

package policy

import (
	"math"
	"time"

	"crankhold/internal/stats"
)

const (
	// functionRetention is after how long without requests a function is forgotten.
	functionRetention = 2 * time.Minute

	// maxLoadTime bounds the load time that a request announces.
	maxLoadTime = time.Hour
)

// function is what is known of a function over all workers.
type function struct {
	id             FunctionID
	run            stats.RunningMean // of responses without a load, in nanoseconds
	recentRequests float64           // before the last, decaying over rateSpan
	lastUsed       time.Duration
	loadTime       time.Duration // as the last request announced it
	idleLimit      time.Duration // how long an idle replica is worth its memory

	// congestion counts responses that were late or rejected although a replica was loaded; responses in time
	// reduce it. It gives the function further rendezvous slots, as at all routers.
	congestion float64
}

// recordCongestion records a response that was late or rejected although a replica was loaded.
func (f *function) recordCongestion(readyWorkers int) {
	f.congestion = min(f.congestion+1, float64(readyWorkers))
}

// recordTimelyResponse records a response within the latency objective.
func (f *function) recordTimelyResponse() { f.congestion *= regressionRetention }

// functionTable holds the functions that have been requested of late.
type functionTable struct{ byID map[FunctionID]*function }

// get returns a function, or nil where it is not known.
func (t *functionTable) get(id FunctionID) *function { return t.byID[id] }

// recordRequest returns the function of a request that arrives, and notes what the request announces. The
// request itself counts towards recentRequests only after it has been scheduled.
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
		f.loadTime = class.LatencyObjective // unknown: as long as a response may take
	}
	return f
}

// forgetUnused removes the functions that have not been requested for long.
func (t *functionTable) forgetUnused(now time.Duration) {
	for id, f := range t.byID {
		if now-f.lastUsed > functionRetention {
			delete(t.byID, id)
		}
	}
}

package policy

import (
	"math/rand/v2"
	"time"

	"crankhold/internal/stats"
)

const (
	slowStartMargin = 0.7 // part of the overload multiple that is used: chance needs the rest

	tokenLifetime = 3 // overload windows after which an unused token expires

	bucketsPerWindow = 4 // a bucket holds this fraction of an overload window's tokens

	// restartReportTime is after how long a router has read that a worker was started, as a rule: discovery
	// announces a start within 1.5 s and is polled every 0.75 s, and a response or two may be lost.
	restartReportTime = 3 * time.Second

	// rateSpan is the memory of the rates at which functions are requested and workers serve.
	rateSpan      = 10 * time.Second
	rateRetention = 1 - float64(housekeepingInterval)/float64(rateSpan) // over one housekeeping interval
)

// workerSlowStart is what slowStart knows of a worker.
type workerSlowStart struct {
	tokens      stats.TokenBucket // work that may be sent there while it warms up, in nanoseconds of run time
	recoveredAt time.Duration     // it responded after an ejection; 0: it never did
	servedWork  float64           // nanoseconds of run time that it served for us, decaying over rateSpan
}

// slowStart bounds what is sent to a worker that warms up. Routers share nothing, so each sends its own part.
//
// Invariant: the sum of all routers stays below the overload multiple of what the worker can take. Each
// router's part is a token bucket, refilled by the worker's share of the rate at which warm workers serve
// this router.
type slowStart struct {
	cfg     *Config
	rng     *rand.Rand
	classes []classState
	workers *workerTable

	servedWork float64 // nanoseconds of run time that all workers served for us, decaying over rateSpan
	servedSpan float64 // the seconds that this took, decaying alike
	warmRate   float64 // work that warm workers serve in a second, by capacity
}

// admits reports whether a worker may be sent a further attempt now.
func (s *slowStart) admits(now time.Duration, w *worker) bool {
	return w.slowStart.tokens.Tokens > 0 || s.isWarm(now, w)
}

// isWarm reports whether a worker has its full capacity.
func (s *slowStart) isWarm(now time.Duration, w *worker) bool { return s.capacityShare(now, w) >= 1 }

// capacityShare is the least share of its full capacity that a worker has now.
func (s *slowStart) capacityShare(now time.Duration, w *worker) float64 {
	c := s.cfg
	started := s.presumedStart(now, w)
	if started == 0 || c.SlowStartDuration <= 0 || c.OverloadWindow <= 0 || c.OverloadMultiple <= 0 {
		return 1
	}
	age := stats.Clamp(float64(now-started)/float64(c.SlowStartDuration), 0, 1)
	return c.SlowStartInitialCapacity + (1-c.SlowStartInitialCapacity)*age
}

// presumedStart is when a worker started, 0 for long ago. One that could not be reached, or was silent, may
// have been started anew before it responded again: it is presumed to, until that would have been reported.
func (s *slowStart) presumedStart(now time.Duration, w *worker) time.Duration {
	returnedAt := w.slowStart.recoveredAt
	if returnedAt > 0 && now-returnedAt < restartReportTime {
		return max(w.Started, returnedAt)
	}
	return w.Started
}

// processStarted forgets what was counted of a worker's former process.
func (s *slowStart) processStarted(w *worker) {
	w.slowStart.servedWork = 0
	w.slowStart.recoveredAt = 0
	s.resetBucket(w)
}

// workerRecovered records that a worker responded after an ejection.
func (s *slowStart) workerRecovered(now time.Duration, w *worker) {
	w.slowStart.recoveredAt = now
	s.resetBucket(w)
}

// resetBucket has a worker's bucket begin with a debt of a random part of a request, so that routers take turns.
func (s *slowStart) resetBucket(w *worker) {
	w.slowStart.tokens.Tokens = -s.rng.Float64() * s.classes[0].run.Mean
}

// charge takes the run of an attempt from a worker's bucket.
func (s *slowStart) charge(w *worker, class *classState) {
	w.slowStart.tokens.Tokens -= class.run.Mean
}

// refill adds the tokens of a housekeeping interval. Tokens expire: saved up in thin traffic, those of all
// routers would be spent at the same time.
func (s *slowStart) refill(now time.Duration, w *worker) {
	rate := slowStartMargin * s.cfg.OverloadMultiple * s.capacityShare(now, w) * s.warmRate * w.capacity.work
	windowTokens := rate * s.cfg.OverloadWindow.Seconds()
	run := s.classes[0].run.Mean
	bucket := &w.slowStart.tokens
	bucket.Capacity = max(windowTokens/bucketsPerWindow, run)
	bucket.Add(rate * housekeepingInterval.Seconds())
	if bucket.Tokens > tokenLifetime*windowTokens {
		bucket.Tokens -= run
	}
}

// recordServed counts a run that a worker served.
func (s *slowStart) recordServed(w *worker, class *classState) {
	s.servedWork += class.run.Mean
	w.slowStart.servedWork += class.run.Mean
}

// decayServed lets the served work of one housekeeping interval decay.
func (s *slowStart) decayServed() {
	s.servedWork *= rateRetention
	s.servedSpan = rateRetention*s.servedSpan + housekeepingInterval.Seconds()
	for _, w := range s.workers.fleet {
		w.slowStart.servedWork *= rateRetention
	}
}

// updateWarmRate measures anew at what rate warm workers serve this router, by their capacity.
func (s *slowStart) updateWarmRate(now time.Duration) {
	work := 0.0
	capacity := 0.0
	for _, w := range s.workers.fleet {
		if w.State == Ready && s.isWarm(now, w) {
			work += w.slowStart.servedWork
			capacity += w.capacity.work
		}
	}
	if capacity > 0 && s.servedSpan > 0 {
		s.warmRate = work / s.servedSpan / capacity
	}
}

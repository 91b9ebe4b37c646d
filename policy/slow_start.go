package policy

import (
	"math/rand/v2"
	"time"

	"crankhold/internal/stats"
)

const (
	slowStartMargin = 0.7 // part of the overload multiple that is used; the rest is for random variation

	tokenLifetime = 3 // number of overload windows after which an unused token expires

	bucketsPerWindow = 4 // a bucket holds the tokens of an overload window divided by this

	// restartReportTime is the time within which a router has usually learned that a worker was started:
	// discovery announces a start within 1.5 s and is polled every 0.75 s, and one or two responses may be
	// lost.
	restartReportTime = 3 * time.Second

	// rateSpan is the decay time of the rates at which functions are requested and workers serve.
	rateSpan      = 10 * time.Second
	rateRetention = 1 - float64(housekeepingInterval)/float64(rateSpan) // per housekeeping interval
)

// workerSlowStart holds the state of slowStart for a worker.
type workerSlowStart struct {
	tokens      stats.TokenBucket // work that may be sent to it while it warms up, in nanoseconds of run time
	recoveredAt time.Duration     // when it last responded after an ejection; 0: never
	servedWork  float64           // run time served for this router, in nanoseconds, decaying over rateSpan
}

// slowStart limits the attempts that are sent to a worker while it warms up. Routers share no state, so each
// limits its own attempts.
//
// Invariant: the attempts of all routers together stay below the overload multiple of the worker's capacity.
// Each router has a token bucket for the worker. It refills at the rate at which warm workers serve this
// router, multiplied by the worker's share of its capacity.
type slowStart struct {
	cfg     *Config
	rng     *rand.Rand
	classes []classState
	workers *workerTable

	servedWork float64 // run time that all workers served for this router, in ns, decaying over rateSpan
	servedSpan float64 // time in which it was served, in seconds, decaying at the same rate
	warmRate   float64 // work per second that warm workers serve, per unit of capacity
}

// admits reports whether a worker may be sent a further attempt now.
func (s *slowStart) admits(now time.Duration, w *worker) bool {
	return w.slowStart.tokens.Tokens > 0 || s.isWarm(now, w)
}

// isWarm reports whether a worker has reached its full capacity.
func (s *slowStart) isWarm(now time.Duration, w *worker) bool { return s.capacityShare(now, w) >= 1 }

// capacityShare returns the least share of its full capacity that a worker has now.
func (s *slowStart) capacityShare(now time.Duration, w *worker) float64 {
	c := s.cfg
	started := s.presumedStart(now, w)
	if started == 0 || c.SlowStartDuration <= 0 || c.OverloadWindow <= 0 || c.OverloadMultiple <= 0 {
		return 1
	}
	age := stats.Clamp(float64(now-started)/float64(c.SlowStartDuration), 0, 1)
	return c.SlowStartInitialCapacity + (1-c.SlowStartInitialCapacity)*age
}

// presumedStart returns the time at which a worker started, or 0 for long ago. A worker that could not be
// reached or was silent may have restarted before it responded again. It is presumed to have restarted until
// a restart would have been reported.
func (s *slowStart) presumedStart(now time.Duration, w *worker) time.Duration {
	recoveredAt := w.slowStart.recoveredAt
	if recoveredAt > 0 && now-recoveredAt < restartReportTime {
		return max(w.Started, recoveredAt)
	}
	return w.Started
}

// processStarted resets the state of a worker whose process has restarted.
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

// resetBucket starts a worker's bucket with a debt of a random part of a request, so that routers take turns.
func (s *slowStart) resetBucket(w *worker) {
	w.slowStart.tokens.Tokens = -s.rng.Float64() * s.classes[0].run.Mean
}

// charge takes the run time of an attempt from a worker's bucket.
func (s *slowStart) charge(w *worker, class *classState) {
	w.slowStart.tokens.Tokens -= class.run.Mean
}

// refill adds the tokens of a housekeeping interval to a worker's bucket. Tokens expire: if they were saved
// up while there are few requests, all routers could spend theirs at the same time.
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

// recordServed adds the run time of a request that a worker served.
func (s *slowStart) recordServed(w *worker, class *classState) {
	s.servedWork += class.run.Mean
	w.slowStart.servedWork += class.run.Mean
}

// decayServed decays the served work by one housekeeping interval.
func (s *slowStart) decayServed() {
	s.servedWork *= rateRetention
	s.servedSpan = rateRetention*s.servedSpan + housekeepingInterval.Seconds()
	for _, w := range s.workers.fleet {
		w.slowStart.servedWork *= rateRetention
	}
}

// updateWarmRate recomputes the rate at which warm workers serve this router, per unit of capacity.
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

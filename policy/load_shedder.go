package policy

import (
	"cmp"
	"math/rand/v2"
	"time"

	"crankhold/internal/stats"
)

// Load shedding begins where a standing delay takes so much of the latency objective.
const (
	shedStart            = 0.5  // as a rule
	shedStartLowPriority = 0.25 // of classes of lower priority than another
	shedStartLate        = 0.15 // of requests whose response would be late, and of those beyond a quota
)

const (
	shedRatioSlope      = 2   // requests shed, as a part, for each further part of the objective
	maxShedRatio        = 0.9 // part of the requests that is shed at most
	higherPriorityRatio = 1.5 // by how much the weight of another class is higher where it has priority

	// The standing delay follows responses slowly upward and faster downward: three of four exceed it.
	standingDelayUpward   = 20
	standingDelayDownward = 4
)

// loadShedder rejects a growing part of the requests under a standing delay: one that even fast responses
// show, and that serves nobody.
//
// Invariant: what may have run is never shed.
type loadShedder struct {
	cfg     *Config
	rng     *rand.Rand
	classes []classState

	standingDelay stats.SkewedMean // nanoseconds that three of four responses from loaded replicas exceed
}

// sheddingDecision says whether a request is shed.
type sheddingDecision struct {
	shed       bool
	retryAfter nanoseconds // until the queue admits such requests again
}

// sheddingThreshold are what the standing delay is compared with for a request.
type sheddingThreshold struct {
	start     float64 // part of the objective from which on requests are shed
	objective float64 // nanoseconds
}

// observe learns from a response of a replica that was known to be loaded.
func (s *loadShedder) observe(took nanoseconds, objective time.Duration) {
	counted := min(float64(took), maxMultiple*float64(objective))
	s.standingDelay.Observe(counted, standingDelayUpward, standingDelayDownward)
}

// decide decides on a request whose response from the best worker is expected after a time. It draws from the
// random source once for each call.
func (s *loadShedder) decide(
	now time.Duration, r *request, best *worker, expected nanoseconds,
) sheddingDecision {
	threshold := s.threshold(r, expected)
	// What other routers queue at the best worker is a standing delay too.
	otherRoutersDelay := (1 - 1/float64(s.cfg.Routers)) * best.latency.queueDelay.Mean(now)
	delay := max(s.standingDelay.Mean, otherRoutersDelay)
	ratio := min(shedRatioSlope*(delay/threshold.objective-threshold.start), maxShedRatio)
	picked := s.rng.Float64() < ratio
	return sheddingDecision{
		shed:       picked && r.firstPossibleRun == nil,
		retryAfter: nanoseconds(delay - threshold.start*threshold.objective),
	}
}

// threshold returns from which delay on a request is shed. The yardstick is the shortest objective among the
// classes that have priority over its own.
func (s *loadShedder) threshold(r *request, expected nanoseconds) sheddingThreshold {
	classObjective := r.class.LatencyObjective
	objective := float64(min(classObjective, cmp.Or(r.Policy.LatencyObjective, classObjective)))
	threshold := sheddingThreshold{start: shedStart, objective: objective}
	for i := range s.classes {
		other := &s.classes[i]
		if s.weightPerWork(other) > higherPriorityRatio*s.weightPerWork(r.class) {
			threshold.start = shedStartLowPriority
			threshold.objective = min(threshold.objective, float64(other.LatencyObjective))
		}
	}
	if r.overQuota {
		threshold.start = shedStartLate * s.cfg.OverQuotaWeight
	} else if float64(expected) > objective {
		threshold.start = shedStartLate
	}
	return threshold
}

// weightPerWork is the priority weight of a class for each unit of work.
func (s *loadShedder) weightPerWork(c *classState) float64 {
	if s.cfg.WeightByWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.run.Mean, 1)
}

// retryAfter returns the Retry-After of a rejected request, or 0 where the settings allow none. It is spread
// at random, so that rejected clients do not come back together.
func (s *loadShedder) retryAfter(wait nanoseconds) time.Duration {
	maximum := float64(s.cfg.MaxRetryAfter)
	if !s.cfg.RetryAfterSupported || maximum <= 0 {
		return 0
	}
	longest := stats.Clamp(float64(wait), float64(housekeepingInterval), maximum)
	return time.Duration(longest * (1 - s.rng.Float64()/2))
}

package policy

import (
	"cmp"
	"math/rand/v2"
	"time"

	"crankhold/internal/stats"
)

// Load shedding starts when the standing delay exceeds these parts of the latency objective.
const (
	shedStart            = 0.5  // for most requests
	shedStartLowPriority = 0.25 // for a class if another class has priority over it
	shedStartLate        = 0.15 // for requests beyond a quota or whose response would be late
)

const (
	shedRatioSlope      = 2   // shed ratio per part of the objective by which the delay exceeds the start
	maxShedRatio        = 0.9 // largest part of the requests that is shed
	higherPriorityRatio = 1.5 // a class has priority over another if its weight is higher by this factor

	// The standing delay rises slowly and falls faster, so that three of four responses exceed it.
	standingDelayUpward   = 20
	standingDelayDownward = 4
)

// loadShedder rejects a growing part of the requests under a standing delay. This is a queueing delay that
// even fast responses show, and it helps no request.
//
// Invariant: a request that may have run is never shed.
type loadShedder struct {
	cfg     *Config
	rng     *rand.Rand
	classes []classState

	standingDelay stats.AsymmetricMean // in nanoseconds; three of four responses of loaded replicas exceed it
}

// sheddingDecision tells whether a request is shed.
type sheddingDecision struct {
	shed       bool
	retryAfter nanoseconds // time until such requests are admitted again
}

// sheddingThreshold is the standing delay beyond which a request may be shed.
type sheddingThreshold struct {
	start     float64 // the threshold as a part of the objective
	objective float64 // latency objective in nanoseconds
}

// observe updates the standing delay by a response of a replica that was known to be loaded.
func (s *loadShedder) observe(took nanoseconds, objective time.Duration) {
	counted := min(float64(took), maxMultiple*float64(objective))
	s.standingDelay.Observe(counted, standingDelayUpward, standingDelayDownward)
}

// decide decides whether to shed a request. The parameter expected is the time until the response of the best
// worker. Each call uses one random number.
func (s *loadShedder) decide(
	now time.Duration, r *request, best *worker, expected nanoseconds,
) sheddingDecision {
	threshold := s.threshold(r, expected)
	// The queue of other routers' requests at the best worker is a standing delay too.
	otherRoutersDelay := (1 - 1/float64(s.cfg.Routers)) * best.latency.queueDelay.Mean(now)
	delay := max(s.standingDelay.Mean, otherRoutersDelay)
	ratio := min(shedRatioSlope*(delay/threshold.objective-threshold.start), maxShedRatio)
	picked := s.rng.Float64() < ratio
	return sheddingDecision{
		shed:       picked && r.firstPossibleRun == nil,
		retryAfter: nanoseconds(delay - threshold.start*threshold.objective),
	}
}

// threshold returns the standing delay beyond which a request may be shed. It is relative to the shortest
// objective among the request's class and the classes that have priority over it.
func (s *loadShedder) threshold(r *request, expected nanoseconds) sheddingThreshold {
	classObjective := r.class.LatencyObjective
	ownObjective := float64(min(classObjective, cmp.Or(r.Policy.LatencyObjective, classObjective)))
	threshold := sheddingThreshold{start: shedStart, objective: ownObjective}
	for i := range s.classes {
		other := &s.classes[i]
		if s.weightPerWork(other) > higherPriorityRatio*s.weightPerWork(r.class) {
			threshold.start = shedStartLowPriority
			threshold.objective = min(threshold.objective, float64(other.LatencyObjective))
		}
	}
	if r.overQuota {
		threshold.start = shedStartLate * s.cfg.OverQuotaWeight
	} else if float64(expected) > ownObjective {
		threshold.start = shedStartLate
	}
	return threshold
}

// weightPerWork is the priority weight of a class per unit of work.
func (s *loadShedder) weightPerWork(c *classState) float64 {
	if s.cfg.WeightByWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.run.Mean, 1)
}

// retryAfter returns the Retry-After of a rejected request, or 0 if the settings allow none. It is
// randomized, so that rejected clients do not retry at the same time.
func (s *loadShedder) retryAfter(wait nanoseconds) time.Duration {
	maximum := float64(s.cfg.MaxRetryAfter)
	if !s.cfg.RetryAfterSupported || maximum <= 0 {
		return 0
	}
	longest := stats.Clamp(float64(wait), float64(housekeepingInterval), maximum)
	return time.Duration(longest * (1 - s.rng.Float64()/2))
}

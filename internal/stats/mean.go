package stats

import (
	"math"
	"time"
)

// DecayingMean is an exponentially decaying mean: observations lose weight with time. One additional observation of
// zero does not decay, so that the mean returns to zero without recent observations.
type DecayingMean struct {
	// TimeConstant is the time in which an observation's weight falls to 1/e.
	TimeConstant time.Duration
	// MinCount is more than 0. If the weight of all observations is less than MinCount, they decay more slowly, in
	// proportion to that weight.
	MinCount float64

	sum     float64       // decayed sum of the values, as of updated
	weight  float64       // decayed number of observations, as of updated
	updated time.Duration // time of the last observation
}

// Observe adds a value that was observed now.
func (m *DecayingMean) Observe(now time.Duration, value float64) {
	retained := m.retained(now)
	m.sum = m.sum*retained + value
	m.weight = m.weight*retained + 1
	m.updated = now
}

// Mean returns the mean as of now.
func (m *DecayingMean) Mean(now time.Duration) float64 {
	if m.sum == 0 { // the mean is 0 at any time
		return 0
	}
	retained := m.retained(now)
	return m.sum * retained / (m.weight*retained + 1)
}

// Weight returns the decayed number of observations, as of the last observation.
func (m *DecayingMean) Weight() float64 { return m.weight }

// Updated returns the time of the last observation, or 0 if there is none.
func (m *DecayingMean) Updated() time.Duration { return m.updated }

// retained returns the fraction of the weight at the last observation that remains now.
func (m *DecayingMean) retained(now time.Duration) float64 {
	return math.Exp(-float64(now-m.updated) / float64(m.TimeConstant) * min(1, max(1, m.weight)/m.MinCount))
}

// RunningMean is the mean of all observations until their number reaches a limit. From then on each new observation has
// the weight 1/limit. Mean may be set to an initial value, which the first observation replaces.
type RunningMean struct {
	Mean  float64
	Count float64 // number of observations, at most the limit
}

// Observe adds a value; limit is at least 1.
func (m *RunningMean) Observe(value, limit float64) {
	m.Count = min(m.Count+1, limit)
	m.Mean += (value - m.Mean) / m.Count
}

// AsymmetricMean is a moving mean with different weights for higher and lower observations, so that it tends to a
// quantile. It rises by 1/upward of the difference to a higher observation, and falls by 1/downward of the difference
// to a lower one.
type AsymmetricMean struct{ Mean float64 }

// Observe adds a value; upward and downward are at least 1.
func (m *AsymmetricMean) Observe(value, upward, downward float64) {
	divisor := upward
	if value < m.Mean {
		divisor = downward
	}
	m.Mean += (value - m.Mean) / divisor
}

package stats

import (
	"math"
	"time"
)

// DecayingMean is a mean whose observations lose weight exponentially with time. It also counts one observation of
// zero, which doesn't decay: without recent observations it returns to zero.
type DecayingMean struct {
	// Span is the time in which an observation's weight falls to 1/e.
	Span time.Duration
	// MinCount is the number of observations below which they decay more slowly, in proportion to their number. It is
	// more than 0.
	MinCount float64

	sum     float64       // of values, decayed, as of updated
	weight  float64       // number of observations, decayed, as of updated
	updated time.Duration // when the last value was observed
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
	if m.sum == 0 { // and so the mean, at any time
		return 0
	}
	retained := m.retained(now)
	return m.sum * retained / (m.weight*retained + 1)
}

// Weight returns the number of observations, decayed, as of the last one.
func (m *DecayingMean) Weight() float64 { return m.weight }

// Updated returns the time of the last observation, and 0 where there is none.
func (m *DecayingMean) Updated() time.Duration { return m.updated }

// retained is the fraction of the weight at the last observation that is left now.
func (m *DecayingMean) retained(now time.Duration) float64 {
	return math.Exp(-float64(now-m.updated) / float64(m.Span) * min(1, max(1, m.weight)/m.MinCount))
}

// RunningMean is a mean of the observations so far or, once these are more than a limit, one in which each new
// observation has the weight 1/limit. Mean may be set to an initial value, which the first observation replaces.
type RunningMean struct {
	Mean  float64
	Count float64 // of observations, up to the limit
}

// Observe adds a value; limit is at least 1.
func (m *RunningMean) Observe(value, limit float64) {
	m.Count = min(m.Count+1, limit)
	m.Mean += (value - m.Mean) / m.Count
}

// SkewedMean is a mean that follows higher and lower observations at different speeds, and so tends to a quantile: it
// rises by 1/upward of the difference to a higher observation, and falls by 1/downward of that to a lower one.
type SkewedMean struct{ Mean float64 }

// Observe adds a value; upward and downward are at least 1.
func (m *SkewedMean) Observe(value, upward, downward float64) {
	divisor := upward
	if value < m.Mean {
		divisor = downward
	}
	m.Mean += (value - m.Mean) / divisor
}

package policy

import (
	"math"
	"time"

	"crankhold/internal/stats"
)

const (
	slowStartMargin = 0.7 // part of the overload multiple that is used: chance needs the rest

	tokenLifetime = 3 // windows of the rule after which an unused token expires

	// restartReportTime is after how long a router has read that a worker was started, as a rule: discovery
	// has told it after 1.5 s, and is asked every 0.75 s, with a response or two lost.
	restartReportTime = 3 * time.Second
)

// slowStartAdmits guards a worker that warms up from all routers together: each sends it a part of the work.
func (p *Policy) slowStartAdmits(w *worker) bool { return w.slowStart.Tokens > 0 || p.warmth(w) >= 1 }

// warmth is the least share of its full capacity that w has now.
func (p *Policy) warmth(w *worker) float64 {
	c := &p.cfg
	started := p.presumedStart(w)
	if started == 0 || c.SlowStartDuration <= 0 || c.OverloadWindow <= 0 || c.OverloadMultiple <= 0 {
		return 1
	}
	age := stats.Clamp(float64(p.now-started)/float64(c.SlowStartDuration), 0, 1)
	return c.SlowStartInitialCapacity + (1-c.SlowStartInitialCapacity)*age
}

// presumedStart is when w started, 0 for long ago. One that could not be reached, or was silent, may have
// been started anew before it responded again: it is presumed to, until that would have been reported.
func (p *Policy) presumedStart(w *worker) time.Duration {
	if w.returnedAt > 0 && p.now-w.returnedAt < restartReportTime {
		return max(w.Started, w.returnedAt)
	}
	return w.Started
}

// resetSlowStart gives w its first token by chance, so that routers take turns.
func (p *Policy) resetSlowStart(w *worker) {
	w.slowStart.Tokens = -p.rng.Float64() * p.classes[0].run.Mean
}

// updateCapacities estimates what workers can do if warm: their size, to a power learned from the runs.
func (p *Policy) updateCapacities() {
	power := 1 + stats.Clamp(p.sizeEffect.SumY/(p.sizeEffect.SumX+sizePrior), 0, 2)
	work, capacity := 0.0, 0.0
	for _, w := range p.fleet {
		w.capacity = math.Pow(w.size, power)
		w.hashWeight = math.Pow(w.capacity, 1-1/float64(p.cfg.Routers))
		if w.State == Ready && p.warmth(w) >= 1 {
			work += w.servedWork
			capacity += w.capacity
		}
	}
	if capacity > 0 && p.servedSpan > 0 {
		p.warmRate = work / p.servedSpan / capacity
	}
}

// refillSlowStart adds an interval's work. Tokens expire: saved up, those of all routers would meet.
func (p *Policy) refillSlowStart(w *worker) {
	rate := slowStartMargin * p.cfg.OverloadMultiple * p.warmth(w) * p.warmRate * w.capacity
	span := rate * p.cfg.OverloadWindow.Seconds()
	run := p.classes[0].run.Mean
	w.slowStart.Capacity = max(span/4, run)
	w.slowStart.Add(rate * housekeepingInterval.Seconds())
	if w.slowStart.Tokens > tokenLifetime*span {
		w.slowStart.Tokens -= run
	}
}

package policy

import (
	"cmp"
	"math"

	"crankhold/internal/stats"
)

// slowStartMargin is the part of a worker's slow-start budget that we use: other routers and chance need the rest.
const slowStartMargin = 0.7

// slowStartAdmits guards a worker that warms up from all routers together: each adds its part of what warm workers
// serve, under the overload multiple.
func (p *Policy) slowStartAdmits(w *worker) bool { return w.slowStart.Tokens > 0 || p.warmth(w) >= 1 }

// warmth is the least share of its full capacity that w has now.
func (p *Policy) warmth(w *worker) float64 {
	if w.Started == 0 || p.cfg.SlowStartDuration <= 0 || p.cfg.OverloadWindow <= 0 || p.cfg.OverloadMultiple <= 0 {
		return 1
	}
	age := stats.Clamp(float64(p.now-w.Started)/float64(p.cfg.SlowStartDuration), 0, 1)
	return p.cfg.SlowStartInitialCapacity + (1-p.cfg.SlowStartInitialCapacity)*age
}

// updateCapacities estimates what workers can do in comparison with each other, once warm: their size, to a power
// that is learned from the runs at large and small ones. From what warm ones take by that follows what others will.
func (p *Policy) updateCapacities() {
	power := 1 + stats.Clamp(p.sizeEffect.SumY/(p.sizeEffect.SumX+sizePrior), 0, 2)
	work, capacity := 0.0, 0.0
	for _, w := range p.fleet {
		w.capacity = math.Pow(cmp.Or(w.Weight, 1), power)
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

// refillSlowStart adds the work of one housekeeping interval. Tokens expire: saved up, all routers' would meet.
func (p *Policy) refillSlowStart(w *worker) {
	oneRequest := p.classes[0].run.Mean
	rate := slowStartMargin * p.cfg.OverloadMultiple * p.warmth(w) * p.warmRate * w.capacity
	window := rate * p.cfg.OverloadWindow.Seconds()
	w.slowStart.Capacity = max(window/4, oneRequest)
	w.slowStart.Add(rate * housekeepingInterval.Seconds())
	if w.slowStart.Tokens > 3*window {
		w.slowStart.Tokens -= oneRequest
	}
}

package policy

import "cmp"

func (p *Policy) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(p.quotas) {
		return len(p.quotas) > 0
	}
	p.quotas[tenant].Refill(p.now)
	return p.quotas[tenant].Tokens < 1
}

// shed answers a standing delay by rejecting a growing part of what never ran: first what is beyond its quota
// or late at best, then the least worth. The wait is until the queue lets r in.
func (p *Policy) shed(r *request, w *worker, expected float64) (shed bool, wait float64) {
	own := float64(min(r.class.LatencyObjective, cmp.Or(r.Policy.LatencyObjective, r.class.LatencyObjective)))
	start, objective := 0.5, own
	for i := range p.classes {
		if c := &p.classes[i]; p.valuePerWork(c) > 1.5*p.valuePerWork(r.class) {
			start, objective = 0.25, min(objective, float64(c.LatencyObjective))
		}
	}
	if r.overQuota {
		start = 0.15 * p.cfg.OverQuotaWeight
	} else if expected > own {
		start = 0.15
	}
	others := (1 - 1/float64(p.cfg.Routers)) * w.queueDelay.Mean(p.now) // what they queue at the best worker
	delay := max(p.standingDelay.Mean, others)
	shed = p.rng.Float64() < min(2*(delay/objective-start), 0.9) && r.possibleRun == nil
	return shed, delay - start*objective
}

func (p *Policy) valuePerWork(c *classState) float64 {
	if p.cfg.WeightByWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.run.Mean, 1)
}

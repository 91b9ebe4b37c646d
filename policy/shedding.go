package policy

import "cmp"

// Load shedding begins where a standing delay takes so much of the latency objective.
const (
	shedStart            = 0.5  // as a rule
	shedStartLowPriority = 0.25 // of classes that are worth less than another
	shedStartLate        = 0.15 // of requests that come late even if all goes well, and of those beyond a quota

	shedSlope           = 2   // requests shed, as a part, for each further part of the objective
	maxShedRatio        = 0.9 // part of the requests that is shed at most
	higherPriorityRatio = 1.5 // by how much another class has to be worth more for that
)

func (p *Policy) exceedsQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(p.quotas) {
		return len(p.quotas) > 0
	}
	p.quotas[tenant].Refill(p.now)
	return p.quotas[tenant].Tokens < 1
}

// shed rejects a growing part of what never ran under a standing delay; wait is until the queue lets r in.
func (p *Policy) shed(r *request, w *worker, expected float64) (shed bool, wait float64) {
	own := float64(min(r.class.LatencyObjective, cmp.Or(r.Policy.LatencyObjective, r.class.LatencyObjective)))
	start, objective := shedStart, own
	for i := range p.classes {
		c := &p.classes[i]
		if p.valuePerWork(c) > higherPriorityRatio*p.valuePerWork(r.class) {
			start = shedStartLowPriority
			objective = min(objective, float64(c.LatencyObjective))
		}
	}
	if r.overQuota {
		start = shedStartLate * p.cfg.OverQuotaWeight
	} else if expected > own {
		start = shedStartLate
	}
	others := (1 - 1/float64(p.cfg.Routers)) * w.queueDelay.Mean(p.now) // what they queue at the best worker
	delay := max(p.standingDelay.Mean, others)
	shed = p.rng.Float64() < min(shedSlope*(delay/objective-start), maxShedRatio) && r.possibleRun == nil
	return shed, delay - start*objective
}

func (p *Policy) valuePerWork(c *classState) float64 {
	if p.cfg.WeightByWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.run.Mean, 1)
}

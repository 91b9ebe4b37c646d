package policy

import "cmp"

// The standing delays, in latency objectives, from which on requests are shed. A request beyond its tenant's quota or
// late at best goes first, then those of classes that are worth less than another.
const (
	shedFirst     = 0.15
	shedLessWorth = 0.25
	shedAll       = 0.5
)

// overQuota reports whether a request of a tenant is beyond its quota.
func (p *Policy) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(p.quotas) {
		return len(p.quotas) > 0
	}
	quota := &p.quotas[tenant]
	quota.Refill(p.now)
	return quota.Tokens < 1
}

// chargeQuota counts r as sent. What is rejected doesn't count: its client's repeats are the same request.
func (p *Policy) chargeQuota(r *request) {
	if len(p.quotas) > 0 && !r.overQuota {
		p.quotas[r.Tenant].Tokens--
	}
}

// shouldShed answers overload: a standing delay that even fast responses show serves nobody, so a growing part of
// what never ran is rejected. The yardstick is the latency objective of classes worth as much or more. The wait, in
// nanoseconds, is until the queue admits r.
func (p *Policy) shouldShed(r *request, w *worker, expected float64) (shed bool, wait float64) {
	own := float64(min(r.class.LatencyObjective, cmp.Or(r.Policy.LatencyObjective, r.class.LatencyObjective)))
	start, objective := shedAll, own
	for i := range p.classes {
		if other := &p.classes[i]; p.valuePerWork(other) > 1.5*p.valuePerWork(r.class) {
			start, objective = shedLessWorth, min(objective, float64(other.LatencyObjective))
		}
	}
	if r.overQuota {
		start = shedFirst * p.cfg.OverQuotaWeight
	} else if expected > own {
		start = shedFirst
	}
	others := (1 - 1/float64(p.cfg.Routers)) * w.queueDelay.Mean(p.now) // what they queue at the best worker
	delay := max(p.standingDelay, others)
	return p.rng.Float64() < min(2*(delay/objective-start), 0.9), delay - start*objective
}

// valuePerWork is the priority weight of a class for the work that it takes.
func (p *Policy) valuePerWork(c *classState) float64 {
	if p.cfg.WeightByWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.run.Mean, 1)
}

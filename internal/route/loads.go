package route

import "time"

// defaultLoadWindow is the span of the load budget where a spec gives none.
const defaultLoadWindow = 10 * time.Second

// MayLoad reports whether a further load is within the pool's share of a load budget of so many loads per window.
func (p *Pool) MayLoad(now time.Duration, loadBudget float64) bool {
	return p.loadShare >= 1 || float64(p.loads.upperBound(now)+1) <= p.loadShare*loadBudget
}

// LoadStarted counts a load.
func (p *Pool) LoadStarted(now time.Duration) {
	p.Loads++
	p.loads.add(now)
}

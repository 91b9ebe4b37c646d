package route

import "time"

// defaultLoadWindow is the length of the load budget's window if a spec sets none.
const defaultLoadWindow = 10 * time.Second

// MayLoad reports whether one more load is within the pool's share of loadBudget, the loads allowed per window.
func (p *Pool) MayLoad(now time.Duration, loadBudget float64) bool {
	return p.loadShare >= 1 || float64(p.loads.upperBound(now)+1) <= p.loadShare*loadBudget
}

// LoadStarted counts a load.
func (p *Pool) LoadStarted(now time.Duration) {
	p.Loads++
	p.loads.add(now)
}

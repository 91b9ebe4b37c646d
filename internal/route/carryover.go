package route

// CarryOver has the pools of t continue with the counters of those of old that they replace. Requests in flight
// finish under old, and are counted in both.
func (t *Table) CarryOver(old *Table) {
	if len(t.pools) == 0 || len(old.pools) == 0 {
		return
	}
	replaced := matchPools(old.pools, t.pools)
	sharedLoads := old.sharedLoads()
	for _, p := range t.pools {
		if oldPool := replaced[p]; oldPool != nil {
			p.poolCounters = oldPool.poolCounters
		}
		if p.Spec.LoadShare != Unset {
			p.loads = p.ownLoads
		} else if sharedLoads != nil {
			p.loads = sharedLoads
		}
	}
}

// sharedLoads returns the window of the pools without a load share, or nil where each pool has one.
func (t *Table) sharedLoads() *slidingWindow {
	for _, p := range t.pools {
		if p.Spec.LoadShare == Unset {
			return p.loads
		}
	}
	return nil
}

// matchPools returns for each new pool the old one that it replaces: one that behaves the same, preferably of the same
// name, or else the one of the same name. A pool that is only renamed stays the same pool.
func matchPools(old, updated []*Pool) map[*Pool]*Pool {
	replaced := map[*Pool]*Pool{}
	taken := map[*Pool]bool{}
	match := func(fits func(old, updated *Pool) bool) {
		for _, n := range updated {
			for _, o := range old {
				if replaced[n] == nil && !taken[o] && fits(o, n) {
					replaced[n] = o
					taken[o] = true
				}
			}
		}
	}
	sameName := func(o, n *Pool) bool { return o.Spec.Name == n.Spec.Name }
	sameBehavior := func(o, n *Pool) bool { return o.fallbackChain() == n.fallbackChain() }
	match(func(o, n *Pool) bool { return sameName(o, n) && sameBehavior(o, n) })
	match(sameBehavior)
	match(sameName)
	return replaced
}

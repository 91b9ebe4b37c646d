package route

// CarryOver makes the pools of t continue with the counters of the pools of old that they replace; see matchPools.
// Requests in flight complete under old. They are also counted in t, because both tables share the counters.
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

// sharedLoads returns the window that counts the loads of all pools without a load share. It returns nil if every pool
// has a load share.
func (t *Table) sharedLoads() *slidingWindow {
	for _, p := range t.pools {
		if p.Spec.LoadShare == Unset {
			return p.loads
		}
	}
	return nil
}

// matchPools returns, for each new pool, the old pool that it replaces: one with the same behavior, preferably with
// the same name too, or else one with the same name. A pool that is only renamed is therefore still the same pool.
func matchPools(old, updated []*Pool) map[*Pool]*Pool {
	sameName := func(o, n *Pool) bool { return o.Spec.Name == n.Spec.Name }
	sameBehavior := func(o, n *Pool) bool { return o.fallbackChain() == n.fallbackChain() }
	m := poolMatching{old: old, updated: updated, replaced: map[*Pool]*Pool{}, taken: map[*Pool]bool{}}
	m.matchIf(func(o, n *Pool) bool { return sameName(o, n) && sameBehavior(o, n) })
	m.matchIf(sameBehavior)
	m.matchIf(sameName)
	return m.replaced
}

// poolMatching pairs new pools with the old ones that they replace. No pool is in two pairs.
type poolMatching struct {
	old      []*Pool
	updated  []*Pool
	replaced map[*Pool]*Pool // from new pool to old pool
	taken    map[*Pool]bool  // old pools that have a pair
}

// matchIf pairs each new pool that has no pair yet with the first unpaired old pool that fits.
func (m *poolMatching) matchIf(fits func(old, updated *Pool) bool) {
	for _, n := range m.updated {
		for _, o := range m.old {
			if m.replaced[n] == nil && !m.taken[o] && fits(o, n) {
				m.replaced[n] = o
				m.taken[o] = true
			}
		}
	}
}

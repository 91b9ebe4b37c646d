package route

// CarryOver makes the pools of t continue with the counters of the pools of old that they replace; see matchPools.
// Requests in flight finish under old; since both tables share the counters, they are counted in t too.
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
	replaced map[*Pool]*Pool // by new pool, the old one
	taken    map[*Pool]bool  // old pools that are in a pair
}

// matchIf pairs each new pool that has no old one yet with the first old pool that fits and is in no pair.
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

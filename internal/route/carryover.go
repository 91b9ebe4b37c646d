package route

import "slices"

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
	behaviors := poolBehaviors{ids: map[chainLink]behaviorID{}, ofPool: map[*Pool]behaviorID{}}
	m := poolMatching{updated: updated, replaced: map[*Pool]*Pool{}, taken: map[*Pool]bool{}}
	byName := map[string]*Pool{}
	byBehavior := map[behaviorID][]*Pool{} // in the order of the list
	for _, o := range old {
		byName[o.Spec.Name] = o
		byBehavior[behaviors.of(o)] = append(byBehavior[behaviors.of(o)], o)
	}
	m.match(func(n *Pool) *Pool {
		if o := byName[n.Spec.Name]; o != nil && behaviors.of(o) == behaviors.of(n) {
			return o
		}
		return nil
	})
	m.match(func(n *Pool) *Pool { return m.firstFree(byBehavior, behaviors.of(n)) })
	m.match(func(n *Pool) *Pool { return byName[n.Spec.Name] })
	return m.replaced
}

// poolMatching pairs new pools with the old ones that they replace. No pool is in two pairs.
type poolMatching struct {
	updated  []*Pool
	replaced map[*Pool]*Pool // from new pool to old pool
	taken    map[*Pool]bool  // old pools that have a pair
}

// match pairs each new pool that has no pair yet with the old pool that candidate returns, if that has no pair either.
func (m *poolMatching) match(candidate func(updated *Pool) *Pool) {
	for _, n := range m.updated {
		if m.replaced[n] != nil {
			continue
		}
		if o := candidate(n); o != nil && !m.taken[o] {
			m.replaced[n] = o
			m.taken[o] = true
		}
	}
}

// firstFree returns the first old pool of a behavior that has no pair yet, or nil. It drops those before it.
func (m *poolMatching) firstFree(byBehavior map[behaviorID][]*Pool, behavior behaviorID) *Pool {
	candidates := byBehavior[behavior]
	for len(candidates) > 0 && m.taken[candidates[0]] {
		candidates = candidates[1:]
	}
	byBehavior[behavior] = candidates
	if len(candidates) == 0 {
		return nil
	}
	return candidates[0]
}

// behaviorID identifies what a pool and its fallbacks do. 0 is no pool.
type behaviorID int

// poolBehaviors assigns equal ids to pools that behave the same: whose descriptions, and those of all their fallbacks,
// are equal but for names.
type poolBehaviors struct {
	ids    map[chainLink]behaviorID
	ofPool map[*Pool]behaviorID
}

// chainLink is a pool in a chain of fallbacks.
type chainLink struct {
	description string
	fallback    behaviorID
}

// of returns the id of a pool's behavior. A nil pool has the id 0.
func (b *poolBehaviors) of(p *Pool) behaviorID {
	var chain []*Pool // of pools without an id
	for p != nil && b.ofPool[p] == 0 {
		chain = append(chain, p)
		p = p.fallback
	}
	id := b.ofPool[p]
	for _, link := range slices.Backward(chain) {
		id = b.intern(chainLink{link.description, id})
		b.ofPool[link] = id
	}
	return id
}

func (b *poolBehaviors) intern(link chainLink) behaviorID {
	id, ok := b.ids[link]
	if !ok {
		id = behaviorID(len(b.ids) + 1)
		b.ids[link] = id
	}
	return id
}

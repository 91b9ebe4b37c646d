package route

// poolChanges returns the pools that have other workers, limits or fallbacks, are added, or are removed.
func (c *tableComparison) poolChanges() []Change {
	var changes []Change
	kept := map[*Pool]bool{}
	for _, p := range c.updated.pools {
		replaced := c.replaced[p]
		if replaced == nil {
			changes = append(changes, poolAdded(p))
			continue
		}
		kept[replaced] = true
		if change, ok := c.poolChanged(replaced, p); ok {
			changes = append(changes, change)
		}
	}
	for _, p := range c.old.pools {
		if !kept[p] {
			changes = append(changes, poolRemoved(p))
		}
	}
	return changes
}

func poolAdded(p *Pool) Change {
	return Change{
		Before:  "no pool " + p.Spec.Name,
		After:   poolDescription(p, p.describeWith(p.fallback)),
		AfterAt: p.Spec.At,
	}
}

func poolRemoved(p *Pool) Change {
	return Change{
		Before:   poolDescription(p, p.describeWith(p.fallback)),
		BeforeAt: p.Spec.At,
		After:    "no pool " + p.Spec.Name,
	}
}

// poolChanged compares a pool with the one that replaces it, and returns false if they are equal. Fallbacks are
// compared by their old names, so that a pool whose fallback is only renamed is not reported.
func (c *tableComparison) poolChanged(old, updated *Pool) (Change, bool) {
	fallback := updated.fallback
	if replaced := c.replaced[fallback]; replaced != nil {
		fallback = replaced
	}
	before := old.describeWith(old.fallback)
	after := updated.describeWith(fallback)
	if before == after {
		return Change{}, false
	}
	return Change{
		Before:   poolDescription(old, before),
		BeforeAt: old.Spec.At,
		After:    poolDescription(updated, after),
		AfterAt:  updated.Spec.At,
	}, true
}

// describeWith describes the pool with this fallback; nil is no fallback.
func (p *Pool) describeWith(fallback *Pool) string {
	if fallback == nil {
		return p.description + ", no fallback"
	}
	return p.description + ", fallback " + fallback.Spec.Name
}

func poolDescription(p *Pool, description string) string {
	return "pool " + p.Spec.Name + ": " + description
}

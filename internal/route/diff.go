package route

import (
	"fmt"
	"slices"
	"strings"
)

// Change is a difference in behaviour between two tables.
type Change struct {
	Regions []Region // of calls; none for a change of a pool
	Before  string
	After   string
	Lines   [2]string // where the old and the new table say so
}

// Subject words what the change is of.
func (c Change) Subject() string {
	if len(c.Regions) == 0 {
		return "pools"
	}
	var list []string
	for _, r := range c.Regions {
		list = append(list, r.String())
	}
	return strings.Join(list, "; ")
}

// Effect is what becomes of a call, in words that are alike where the behaviour is.
func (r *Route) effect(pool string, once bool) string {
	if r == nil || r.Pool == nil {
		return "refused"
	}
	return "pool " + pool + ", " + r.Policy.Effective(once).String()
}

// Effective is the policy without what has no effect on a class, of those that must never run twice or not:
// whatever a policy says, these get no attempt after one that may have run.
func (p PolicySpec) Effective(once bool) PolicySpec {
	if p.MaxAttempts != Unset && p.RetriesAfterPossibleRun >= p.MaxAttempts-1 {
		p.RetriesAfterPossibleRun = Unset
	}
	if p.MaxAttempts != Unset && p.RetriesAfterProvenNoRun >= p.MaxAttempts-1 {
		p.RetriesAfterProvenNoRun = Unset
	}
	if once {
		p.RetriesAfterPossibleRun, p.HedgeDelay = 0, 0
	}
	return p
}

// String words what the policy tightens.
func (p PolicySpec) String() string {
	var parts []string
	count := func(name string, n int) {
		if n != Unset {
			parts = append(parts, fmt.Sprintf("%s %d", name, n))
		}
	}
	count("attempts", p.MaxAttempts)
	count("again-if-ran", p.RetriesAfterPossibleRun)
	count("again-if-not-ran", p.RetriesAfterProvenNoRun)
	if p.AttemptTimeout > 0 {
		parts = append(parts, "attempt-time "+p.AttemptTimeout.String())
	}
	if p.HedgeDelay > 0 {
		parts = append(parts, "second-copy-after "+p.HedgeDelay.String())
	}
	if p.LatencyObjective > 0 {
		parts = append(parts, "aim "+p.LatencyObjective.String())
	}
	if len(parts) == 0 {
		return "attempts as the settings allow"
	}
	return strings.Join(parts, ", ")
}

// Diff tells what a table that replaces another changes: which calls go to another pool, get other attempts
// or times, or are refused, and which pools have other bounds. Both tables must list the same classes; once
// tells which of them must never run twice. Names, places and the order of things have no effect and make
// no difference.
func Diff(old, new *Table, once []bool, others bool) (changes []Change) {
	pairs := matchPools(old.pools, new.pools)
	u := newRequestSpace(others, old, new)
	type ends struct{ o, n *Route }
	sample := map[string]ends{}
	keys, regions := u.group(func(c Request) string {
		o, n := old.Match(c), new.Match(c)
		must := c.Class < len(once) && once[c.Class]
		before, after := "", ""
		if o != nil && o.Pool != nil {
			before = o.Pool.Spec.Name
		}
		if n != nil && n.Pool != nil {
			after = n.Pool.Spec.Name
			if pairs[n.Pool] != nil && o != nil && pairs[n.Pool] == o.Pool {
				after = before // renamed at most
			} else if after == before {
				after += " (another)"
			}
		}
		was, is := o.effect(before, must), n.effect(after, must)
		if was == is {
			return ""
		}
		k := was + "\x00" + is
		if _, ok := sample[k]; !ok {
			sample[k] = ends{o, n}
		}
		return k
	})
	for i, k := range keys {
		c := Change{Regions: regions[i]}
		c.Before, c.After, _ = strings.Cut(k, "\x00")
		c.Lines = [2]string{sample[k].o.position(), sample[k].n.position()}
		changes = append(changes, c)
	}
	return append(changes, poolChanges(old, new, pairs)...)
}

func (r *Route) position() string {
	if r == nil {
		return ""
	}
	return r.Spec.At
}

// poolChanges tells which pools have other workers or bounds, are new, or are gone.
func poolChanges(old, new *Table, pairs map[*Pool]*Pool) (changes []Change) {
	kept := map[*Pool]bool{}
	back := func(p *Pool, pairing func(*Pool) *Pool) string {
		if p.fallback == nil {
			return "no fallback"
		}
		if q := pairing(p.fallback); q != nil {
			return "fallback " + q.Spec.Name
		}
		return "fallback " + p.fallback.Spec.Name
	}
	describe := func(p *Pool, pairing func(*Pool) *Pool) string { return p.Spec.description() + ", " + back(p, pairing) }
	for _, n := range new.pools {
		o := pairs[n]
		if o == nil {
			changes = append(changes, Change{Before: "no pool " + n.Spec.Name, After: fmt.Sprintf("pool %s: %s", n.Spec.Name, describe(n, func(p *Pool) *Pool { return p })),
				Lines: [2]string{"", n.Spec.At}})
			continue
		}
		kept[o] = true
		was := describe(o, func(p *Pool) *Pool { return p })
		is := describe(n, func(p *Pool) *Pool { return pairs[p] }) // in the old names
		if was != is {
			changes = append(changes, Change{Before: fmt.Sprintf("pool %s: %s", o.Spec.Name, was), After: fmt.Sprintf("pool %s: %s", n.Spec.Name, is),
				Lines: [2]string{o.Spec.At, n.Spec.At}})
		}
	}
	for _, o := range old.pools {
		if !kept[o] {
			changes = append(changes, Change{Before: fmt.Sprintf("pool %s: %s", o.Spec.Name, describe(o, func(p *Pool) *Pool { return p })), After: "no pool " + o.Spec.Name,
				Lines: [2]string{o.Spec.At, ""}})
		}
	}
	return slices.Clip(changes)
}

package lang

import (
	"fmt"
	"slices"
	"strings"

	"crankhold/internal/route"
)

// poolType picks workers and bounds what their calls use.
var poolType = &blockType{keyword: "pool", named: true, settings: map[string]settingType{
	"cap": {readCount(1), false}, "load-orders": {readShare, false}, "fallback": {readText, false}, "spill": {readShareOrRate, false},
}, blocks: []*blockType{selectorType}, build: buildPool, check: checkPools}

// selectorType picks the workers that fit all of it; a pool has those of any of its selectors.
var selectorType = &blockType{keyword: "workers", settings: map[string]settingType{
	"id": {readText, true}, "kind": {readText, true}, "zone": {readText, true}, "cell": {readCount(0), true}, "memory-at-least": {readMemory, false},
}, blocks: []*blockType{labelsType}}

func buildPool(c *checker, b *block) {
	p := route.PoolSpec{Name: b.name, MaxInFlight: route.Unset, LoadShare: route.Unset, OverflowShare: route.Unset, OverflowRate: route.Unset,
		Fallback: b.value("fallback").text, At: fileLine(b.pos)}
	if b.hasValue("cap") {
		p.MaxInFlight = b.value("cap").count
	}
	if b.hasValue("load-orders") {
		p.LoadShare = b.value("load-orders").number
	}
	if b.hasValue("spill") {
		if v := b.value("spill"); v.isRate {
			p.OverflowRate = v.number
		} else {
			p.OverflowShare = v.number
		}
	}
	for _, s := range b.blocks {
		l := route.Selector{IDs: s.texts("id"), Kinds: s.texts("kind"), Zones: s.texts("zone"), MemoryMB: s.value("memory-at-least").number}
		for _, v := range s.values["cell"] {
			l.Cells = append(l.Cells, v.count)
		}
		for _, in := range s.blocks {
			for name := range in.values {
				l.Labels = append(l.Labels, route.Label{Name: name, Values: in.texts(name)})
			}
		}
		slices.SortFunc(l.Labels, func(a, b route.Label) int { return strings.Compare(a.Name, b.Name) })
		if len(s.positions) == 0 && len(l.Labels) == 0 {
			c.fault(s, s.pos, "workers picks nothing out: leave the block away for all workers")
		}
		p.Workers = append(p.Workers, l)
	}
	c.result.Spec.Pools = append(c.result.Spec.Pools, p)
}

func checkPools(c *checker) {
	total := 0.0
	var shares []string
	for i := range c.result.Spec.Pools {
		p := &c.result.Spec.Pools[i]
		b := c.blocks["pool"][p.Name]
		if fileLine(b.pos) != p.At {
			continue // defined twice
		}
		if p.LoadShare != route.Unset {
			total += p.LoadShare
			shares = append(shares, fmt.Sprintf("%s %.6g%%", p.Name, 100*p.LoadShare))
			if total > 1+1e-9 && total-p.LoadShare <= 1+1e-9 {
				c.fault(b, b.value("load-orders").pos, "the pools' shares of the load orders come to %.6g%%: %s", 100*total, strings.Join(shares, ", "))
			}
		}
		switch {
		case b.hasValue("fallback") && !b.isPresent("spill"):
			c.fault(b, b.value("fallback").pos, "pool %q has a fallback and no spill, which bounds what goes there", p.Name)
		case b.hasValue("spill") && !b.isPresent("fallback"):
			c.fault(b, b.value("spill").pos, "pool %q has a spill and no fallback to spill to", p.Name)
		}
		if c.resolveReference(b, "fallback", "pool") {
			c.reportFallbackCycle(b)
		}
		for k, s := range b.blocks {
			if why := c.unsatisfiable(p.Workers[k]); why != "" {
				c.fault(s, s.pos, "no worker can be in pool %q by this: %s", p.Name, why)
			}
		}
	}
	c.reportUnused("pool", "route or fallback")
}

// reportFallbackCycle tells of a pool that falls back to itself in the end, once for each reportFallbackCycle.
func (c *checker) reportFallbackCycle(b *block) {
	chain := []string{b.name}
	for at := b; at != nil && at.hasValue("fallback"); {
		next := at.value("fallback").text
		chain = append(chain, next)
		if next == b.name {
			if slices.Min(chain) == b.name {
				c.fault(b, b.value("fallback").pos, "pools fall back in a circle: %s", strings.Join(chain, " > "))
			}
			return
		}
		if slices.Contains(chain[:len(chain)-1], next) {
			return // a circle that this one only leads to
		}
		at = c.blocks["pool"][next]
	}
}

// matchesAnyOf tells whether a pattern with or without a star is one of a list.
func matchesAnyOf(pattern string, list []string) bool {
	return slices.ContainsFunc(list, func(s string) bool { return route.Selector{IDs: []string{pattern}}.Matches(route.Worker{Name: s}) })
}

// unsatisfiable tells why no worker can fit a selector, or "" where one may.
func (c *checker) unsatisfiable(l route.Selector) string {
	if c.platform != nil {
		for _, x := range []struct {
			what, set string
			want, has []string
		}{{"kind", "kind", l.Kinds, c.platform.Kinds}, {"zone", "zone", l.Zones, c.platform.Zones}} {
			if len(x.has) > 0 && len(x.want) > 0 && !slices.ContainsFunc(x.want, func(s string) bool { return matchesAnyOf(s, x.has) }) {
				return fmt.Sprintf("the platform has no %s %s, but %s", x.what, strings.Join(x.want, " or "), strings.Join(x.has, ", "))
			}
		}
	}
	static, reason := map[string]bool{}, ""
	for _, w := range c.result.Spec.Workers {
		static[w.Name] = true
		if r := c.mismatch(l, w); r == "" {
			return ""
		} else if len(l.IDs) > 0 && matchesAnyOf(w.Name, []string{w.Name}) && (route.Selector{IDs: l.IDs}).Matches(w) {
			reason = fmt.Sprintf("worker %q %s", w.Name, r)
		}
	}
	if len(l.Labels) > 0 { // none but the static ones have any
		for _, want := range l.Labels {
			if !slices.ContainsFunc(c.result.Spec.Workers, func(w route.Worker) bool { return slices.Contains(want.Values, w.Labels[want.Name]) }) {
				return fmt.Sprintf("no worker block gives the label %s = %s", want.Name, strings.Join(want.Values, " or "))
			}
		}
		return "no worker block fits all of it"
	}
	if len(l.IDs) > 0 && !slices.ContainsFunc(l.IDs, func(s string) bool { return strings.HasSuffix(s, "*") || !static[s] }) {
		return reason
	}
	if l.MemoryMB > 0 {
		if c.platform == nil || len(c.platform.KindMemoryMB) == 0 {
			return "no worker block tells of so much memory" // and nothing else tells
		}
		most := 0.0
		for kind, mb := range c.platform.KindMemoryMB {
			if (route.Selector{Kinds: l.Kinds}).Matches(route.Worker{Kind: kind}) {
				most = max(most, mb)
			}
		}
		if most < l.MemoryMB {
			return fmt.Sprintf("the platform's workers of that kind have %.6gMB at most", most)
		}
	}
	return ""
}

// mismatch tells what of a worker block a selector can't fit; what the block leaves open may fit.
func (c *checker) mismatch(l route.Selector, w route.Worker) string {
	if !(route.Selector{IDs: l.IDs}).Matches(w) {
		return "has another id"
	}
	if w.Kind != "" && !(route.Selector{Kinds: l.Kinds}).Matches(w) {
		return fmt.Sprintf("is of kind %s", w.Kind)
	}
	if w.Zone != "" && !(route.Selector{Zones: l.Zones}).Matches(w) {
		return fmt.Sprintf("is in zone %s", w.Zone)
	}
	if w.Cell >= 0 && !(route.Selector{Cells: l.Cells}).Matches(w) {
		return fmt.Sprintf("is in cell %d", w.Cell)
	}
	if w.MemoryMB > 0 && w.MemoryMB < l.MemoryMB {
		return fmt.Sprintf("has %.6gMB", w.MemoryMB)
	}
	if !(route.Selector{Labels: l.Labels}).Matches(w) {
		return "has other labels"
	}
	return ""
}

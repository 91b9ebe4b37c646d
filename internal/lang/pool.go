package lang

import (
	"fmt"
	"slices"
	"strings"

	"crankhold/internal/route"
)

// poolKind picks workers and bounds what their calls use.
var poolKind = &kind{word: "pool", label: true, settings: map[string]setting{
	"cap": {count(1), false}, "load-orders": {share, false}, "fallback": {text, false}, "spill": {shareOrRate, false},
}, blocks: []*kind{selectorKind}, build: buildPool, check: checkPools}

// selectorKind picks the workers that fit all of it; a pool has those of any of its selectors.
var selectorKind = &kind{word: "workers", settings: map[string]setting{
	"id": {text, true}, "kind": {text, true}, "zone": {text, true}, "cell": {count(0), true}, "memory-at-least": {memory, false},
}, blocks: []*kind{labelsKind}}

func buildPool(c *checker, b *block) {
	p := route.PoolSpec{Name: b.label, MaxInFlight: route.Unset, LoadShare: route.Unset, OverflowShare: route.Unset, OverflowRate: route.Unset,
		Fallback: b.one("fallback").text, At: place(b.at)}
	if b.has("cap") {
		p.MaxInFlight = b.one("cap").count
	}
	if b.has("load-orders") {
		p.LoadShare = b.one("load-orders").num
	}
	if b.has("spill") {
		if v := b.one("spill"); v.rate {
			p.OverflowRate = v.num
		} else {
			p.OverflowShare = v.num
		}
	}
	for _, s := range b.blocks {
		l := route.Selector{IDs: s.texts("id"), Kinds: s.texts("kind"), Zones: s.texts("zone"), MemoryMB: s.one("memory-at-least").num}
		for _, v := range s.set["cell"] {
			l.Cells = append(l.Cells, v.count)
		}
		for _, in := range s.blocks {
			for name := range in.set {
				l.Labels = append(l.Labels, route.Label{Name: name, Values: in.texts(name)})
			}
		}
		slices.SortFunc(l.Labels, func(a, b route.Label) int { return strings.Compare(a.Name, b.Name) })
		if len(s.places) == 0 && len(l.Labels) == 0 {
			c.fault(s, s.at, "workers picks nothing out: leave the block away for all workers")
		}
		p.Workers = append(p.Workers, l)
	}
	c.res.Spec.Pools = append(c.res.Spec.Pools, p)
}

func checkPools(c *checker) {
	total := 0.0
	var shares []string
	for i := range c.res.Spec.Pools {
		p := &c.res.Spec.Pools[i]
		b := c.names["pool"][p.Name]
		if place(b.at) != p.At {
			continue // defined twice
		}
		if p.LoadShare != route.Unset {
			total += p.LoadShare
			shares = append(shares, fmt.Sprintf("%s %.6g%%", p.Name, 100*p.LoadShare))
			if total > 1+1e-9 && total-p.LoadShare <= 1+1e-9 {
				c.fault(b, b.one("load-orders").at, "the pools' shares of the load orders come to %.6g%%: %s", 100*total, strings.Join(shares, ", "))
			}
		}
		switch {
		case b.has("fallback") && !b.given("spill"):
			c.fault(b, b.one("fallback").at, "pool %q has a fallback and no spill, which bounds what goes there", p.Name)
		case b.has("spill") && !b.given("fallback"):
			c.fault(b, b.one("spill").at, "pool %q has a spill and no fallback to spill to", p.Name)
		}
		if c.refer(b, "fallback", "pool") {
			c.circle(b)
		}
		for k, s := range b.blocks {
			if why := c.impossible(p.Workers[k]); why != "" {
				c.fault(s, s.at, "no worker can be in pool %q by this: %s", p.Name, why)
			}
		}
	}
	c.unused("pool", "route or fallback")
}

// circle tells of a pool that falls back to itself in the end, once for each circle.
func (c *checker) circle(b *block) {
	chain := []string{b.label}
	for at := b; at != nil && at.has("fallback"); {
		next := at.one("fallback").text
		chain = append(chain, next)
		if next == b.label {
			if slices.Min(chain) == b.label {
				c.fault(b, b.one("fallback").at, "pools fall back in a circle: %s", strings.Join(chain, " > "))
			}
			return
		}
		if slices.Contains(chain[:len(chain)-1], next) {
			return // a circle that this one only leads to
		}
		at = c.names["pool"][next]
	}
}

// matchesOne tells whether a pattern with or without a star is one of a list.
func matchesOne(pattern string, list []string) bool {
	return slices.ContainsFunc(list, func(s string) bool { return route.Selector{IDs: []string{pattern}}.Matches(route.Worker{Name: s}) })
}

// impossible tells why no worker can fit a selector, or "" where one may.
func (c *checker) impossible(l route.Selector) string {
	if c.platform != nil {
		for _, x := range []struct {
			what, set string
			want, has []string
		}{{"kind", "kind", l.Kinds, c.platform.Kinds}, {"zone", "zone", l.Zones, c.platform.Zones}} {
			if len(x.has) > 0 && len(x.want) > 0 && !slices.ContainsFunc(x.want, func(s string) bool { return matchesOne(s, x.has) }) {
				return fmt.Sprintf("the platform has no %s %s, but %s", x.what, strings.Join(x.want, " or "), strings.Join(x.has, ", "))
			}
		}
	}
	static, reason := map[string]bool{}, ""
	for _, w := range c.res.Spec.Workers {
		static[w.Name] = true
		if r := c.clash(l, w); r == "" {
			return ""
		} else if len(l.IDs) > 0 && matchesOne(w.Name, []string{w.Name}) && (route.Selector{IDs: l.IDs}).Matches(w) {
			reason = fmt.Sprintf("worker %q %s", w.Name, r)
		}
	}
	if len(l.Labels) > 0 { // none but the static ones have any
		for _, want := range l.Labels {
			if !slices.ContainsFunc(c.res.Spec.Workers, func(w route.Worker) bool { return slices.Contains(want.Values, w.Labels[want.Name]) }) {
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

// clash tells what of a worker block a selector can't fit; what the block leaves open may fit.
func (c *checker) clash(l route.Selector, w route.Worker) string {
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

package route

import "strings"

// Change is a difference in behaviour between two tables.
type Change struct {
	Regions  []Region // the requests that it concerns; none for a change of a pool
	Before   string   // what the old table does
	After    string   // what the new table does
	BeforeAt string   // file:line of what the old table says
	AfterAt  string   // file:line of what the new table says
}

// Subject describes what the change concerns.
func (c Change) Subject() string {
	if len(c.Regions) == 0 {
		return "pools"
	}
	var regions []string
	for _, r := range c.Regions {
		regions = append(regions, r.String())
	}
	return strings.Join(regions, "; ")
}

// Diff returns what changes where a table replaces another: which requests go to another pool, get other attempts or
// times, or are rejected, and which pools have other limits. Both tables must list the same classes; notIdempotent
// says which of them must never run twice, and otherClasses whether there are further ones. Names, positions and order
// have no effect on requests, so a change of these alone is no difference.
func Diff(old, updated *Table, notIdempotent []bool, otherClasses bool) []Change {
	c := &tableComparison{
		old:           old,
		updated:       updated,
		notIdempotent: notIdempotent,
		replaced:      matchPools(old.pools, updated.pools),
	}
	return append(c.requestChanges(otherClasses), c.poolChanges()...)
}

// tableComparison compares a table with the one that it replaces.
type tableComparison struct {
	old           *Table
	updated       *Table
	notIdempotent []bool          // by class
	replaced      map[*Pool]*Pool // by new pool, the old one that it replaces
}

// requestEffects is what becomes of a request under the old and the new table, as text. The texts are equal where the
// behaviour is.
type requestEffects struct {
	before string
	after  string
}

// requestChanges returns the changes of what becomes of requests.
func (c *tableComparison) requestChanges(otherClasses bool) []Change {
	firstRequests := map[requestEffects]Request{}
	groups := groupRequests(newRequestSpace(otherClasses, c.old, c.updated), func(r Request) (requestEffects, bool) {
		effects := c.effectsOn(r)
		if _, ok := firstRequests[effects]; !ok {
			firstRequests[effects] = r
		}
		return effects, effects.before != effects.after
	})
	var changes []Change
	for _, group := range groups {
		first := firstRequests[group.key]
		changes = append(changes, Change{
			Regions:  group.regions,
			Before:   group.key.before,
			After:    group.key.after,
			BeforeAt: c.old.Match(first).position(),
			AfterAt:  c.updated.Match(first).position(),
		})
	}
	return changes
}

// effectsOn returns what becomes of a request under each table.
func (c *tableComparison) effectsOn(r Request) requestEffects {
	oldRoute := c.old.Match(r)
	newRoute := c.updated.Match(r)
	notIdempotent := r.Class < len(c.notIdempotent) && c.notIdempotent[r.Class]
	return requestEffects{
		before: oldRoute.effect(oldRoute.poolName(), notIdempotent),
		after:  newRoute.effect(c.updatedPoolName(oldRoute, newRoute), notIdempotent),
	}
}

// updatedPoolName returns the name of the new route's pool, such that it equals the name of the old route's pool where and
// only where they are the same pool.
func (c *tableComparison) updatedPoolName(oldRoute, newRoute *Route) string {
	if newRoute == nil || newRoute.Pool == nil {
		return ""
	}
	replaced := c.replaced[newRoute.Pool]
	if replaced != nil && oldRoute != nil && oldRoute.Pool == replaced {
		return oldRoute.poolName() // renamed at most
	}
	name := newRoute.poolName()
	if name == oldRoute.poolName() {
		return name + " (another)"
	}
	return name
}

// effect describes what becomes of the requests that take the route; nil is the route of those that none matches.
func (r *Route) effect(poolName string, notIdempotent bool) string {
	if r == nil || r.Pool == nil {
		return "refused"
	}
	return "pool " + poolName + ", " + r.Policy.Effective(notIdempotent).String()
}

// poolName returns the name of the route's pool, or "" where its requests are rejected.
func (r *Route) poolName() string {
	if r == nil || r.Pool == nil {
		return ""
	}
	return r.Pool.Spec.Name
}

// position returns where the route is defined as file:line, or "" where there is no route.
func (r *Route) position() string {
	if r == nil {
		return ""
	}
	return r.Spec.At
}

package route

import "strings"

// Change is one difference in behavior between two tables.
type Change struct {
	Regions  []Region // the requests that change; empty if a pool changes
	Before   string   // what the old table does
	After    string   // what the new table does
	BeforeAt string   // file:line of the route or pool in the old configuration
	AfterAt  string   // file:line of the route or pool in the new configuration
}

// Subject describes the requests that change, or returns "pools" for a change of a pool.
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

// Diff returns what changes when the updated table replaces the old one: which requests go to another pool, have other
// limits on attempts or times, or are rejected, and which pools have other workers or limits. Both tables must list the
// same classes. notIdempotent says which of them must never run twice, and otherClasses whether there are further
// classes. Names, positions and order have no effect on requests, so Diff ignores changes of only these.
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
	replaced      map[*Pool]*Pool // from new pool to the old pool that it replaces
}

// requestEffects describes what the old and the new table do with a request. The texts are equal if and only if the
// behavior is equal.
type requestEffects struct {
	before string
	after  string
}

// requestChanges returns the changes that affect requests.
func (c *tableComparison) requestChanges(otherClasses bool) []Change {
	firstRequests := map[requestEffects]Request{}
	groups := groupRequests(newRequestSpace(otherClasses, c.old, c.updated), func(r Request) (requestEffects, bool) {
		effects := c.requestEffects(r)
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

// requestEffects describes what each table does with a request.
func (c *tableComparison) requestEffects(r Request) requestEffects {
	oldRoute := c.old.Match(r)
	newRoute := c.updated.Match(r)
	notIdempotent := r.Class < len(c.notIdempotent) && c.notIdempotent[r.Class]
	return requestEffects{
		before: oldRoute.effect(oldRoute.poolName(), notIdempotent),
		after:  newRoute.effect(c.updatedPoolName(oldRoute, newRoute), notIdempotent),
	}
}

// updatedPoolName returns a name for the new route's pool that equals the name of the old route's pool if and only if
// the two are the same pool.
func (c *tableComparison) updatedPoolName(oldRoute, newRoute *Route) string {
	if newRoute == nil || newRoute.Pool == nil {
		return ""
	}
	replaced := c.replaced[newRoute.Pool]
	if replaced != nil && oldRoute != nil && oldRoute.Pool == replaced {
		return oldRoute.poolName() // the same pool, possibly renamed
	}
	name := newRoute.poolName()
	if name == oldRoute.poolName() {
		return name + " (another)"
	}
	return name
}

// effect describes what happens to the requests that take the route. A nil route means that no route matches.
func (r *Route) effect(poolName string, notIdempotent bool) string {
	if r == nil || r.Pool == nil {
		return "refused"
	}
	return "pool " + poolName + ", " + r.Policy.Effective(notIdempotent).String()
}

// poolName returns the name of the route's pool, or "" if its requests are rejected.
func (r *Route) poolName() string {
	if r == nil || r.Pool == nil {
		return ""
	}
	return r.Pool.Spec.Name
}

// position returns the position of the route's definition as file:line, or "" if there is no route.
func (r *Route) position() string {
	if r == nil {
		return ""
	}
	return r.Spec.At
}

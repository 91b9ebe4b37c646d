package route

// Change is one difference in behavior between two tables.
type Change struct {
	Regions  []Region // the requests that change; empty if a pool changes
	Before   string   // what the old table does
	After    string   // what the new table does
	BeforeAt string   // file:line of the route or pool in the old configuration
	AfterAt  string   // file:line of the route or pool in the new configuration
}

// Subject describes the requests that change, or returns "pools" for a change of a pool.
func (c Change) Subject() string { return c.SubjectWithin(0) }

// SubjectWithin returns Subject, cut to a length in bytes; 0 is no limit.
func (c Change) SubjectWithin(maxBytes int) string {
	if len(c.Regions) == 0 {
		return "pools"
	}
	b := &limitedText{max: maxBytes}
	for i, r := range c.Regions {
		if b.isFull() {
			break
		}
		if i > 0 {
			b.add("; ")
		}
		r.describe(b)
	}
	return b.String()
}

// Comparison is the result of comparing two tables.
type Comparison struct {
	Changes  []Change
	Complete bool // all requests were compared; otherwise further requests may change
}

// Diff returns what changes when the updated table replaces the old one: which requests go to another pool, have other
// limits on attempts or times, or are rejected, and which pools have other workers or limits. Both tables must list the
// same classes. notIdempotent says which of them must never run twice, and otherClasses whether there are further
// classes. Names, positions and order have no effect on requests, so Diff ignores changes of only these.
//
// The time and the memory that Diff takes grow with the sizes of the two tables and with what differs.
func Diff(old, updated *Table, notIdempotent []bool, otherClasses bool) []Change {
	return newTableComparison(old, updated, notIdempotent, 0).compare(otherClasses).Changes
}

// DiffWithinLimit is Diff for tables with a Spec.MaxBytes: it takes about as much memory as that. If this is not
// enough, it stops comparing requests, and the result has the changes that were found up to there.
func DiffWithinLimit(old, updated *Table, notIdempotent []bool, otherClasses bool) Comparison {
	return newTableComparison(old, updated, notIdempotent, updated.maxSteps()).compare(otherClasses)
}

// tableComparison compares a table with the one that it replaces.
type tableComparison struct {
	old           *Table
	updated       *Table
	notIdempotent []bool          // by class
	replaced      map[*Pool]*Pool // from new pool to the old pool that it replaces
	work          *workLimit
	effects       []requestEffects // by effectID
	effectIDs     map[requestEffects]effectID
	routeEffects  map[routePair]effectID
}

// requestEffects describes what the old and the new table do with a request. The texts are equal if and only if the
// behavior is equal.
type requestEffects struct {
	before string
	after  string
}

// routePair holds the routes that a request takes in the old and the new table.
type routePair struct {
	routes        [2]routeIndex
	notIdempotent bool
}

func newTableComparison(old, updated *Table, notIdempotent []bool, maxSteps int) *tableComparison {
	return &tableComparison{
		old:           old,
		updated:       updated,
		notIdempotent: notIdempotent,
		replaced:      matchPools(old.pools, updated.pools),
		work:          newWorkLimit(maxSteps, groupingStages),
		effects:       make([]requestEffects, 1), // the first one is noEffect
		effectIDs:     map[requestEffects]effectID{},
		routeEffects:  map[routePair]effectID{},
	}
}

// compare returns the changes that affect requests, followed by those of pools.
func (c *tableComparison) compare(otherClasses bool) Comparison {
	changes := c.requestChanges(otherClasses)
	return Comparison{Changes: append(changes, c.poolChanges()...), Complete: !c.work.incomplete()}
}

// requestChanges returns the changes that affect requests.
func (c *tableComparison) requestChanges(otherClasses bool) []Change {
	s := newRequestSpace(otherClasses, c.work, c.old, c.updated)
	effects := newEffectColumns(s, c.notIdempotent,
		newTableColumns(s, c.old, c.old.equivalentRoutes()),
		newTableColumns(s, c.updated, c.updated.equivalentRoutes()))
	effects.effect = c.effectOf
	var changes []Change
	for _, group := range s.groupRequests(effects) {
		first := group.regions[0].Example.Request
		changes = append(changes, Change{
			Regions:  group.regions,
			Before:   c.effects[group.effect].before,
			After:    c.effects[group.effect].after,
			BeforeAt: c.old.Match(first).position(),
			AfterAt:  c.updated.Match(first).position(),
		})
	}
	return changes
}

// effectOf returns the effect of the routes of both tables on a request. It is noEffect if they behave the same.
func (c *tableComparison) effectOf(routes [2]routeIndex, notIdempotent bool) effectID {
	pair := routePair{routes, notIdempotent}
	id, ok := c.routeEffects[pair]
	if !ok {
		id = c.intern(c.requestEffects(c.old.routeAt(routes[0]), c.updated.routeAt(routes[1]), notIdempotent))
		c.routeEffects[pair] = id
	}
	return id
}

// intern returns the id of what the tables do with a request.
func (c *tableComparison) intern(effects requestEffects) effectID {
	if effects.before == effects.after {
		return noEffect
	}
	id, ok := c.effectIDs[effects]
	if !ok {
		id = effectID(len(c.effects))
		c.effects = append(c.effects, effects)
		c.effectIDs[effects] = id
	}
	return id
}

// requestEffects describes what each table does with a request that takes these routes.
func (c *tableComparison) requestEffects(oldRoute, newRoute *Route, notIdempotent bool) requestEffects {
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

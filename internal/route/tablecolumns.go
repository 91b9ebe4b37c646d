package route

import "slices"

// tableColumns computes, for one pattern of a requestSpace after the other, which route of a table each request of the
// pattern takes. A pattern without routes of its own shares the columns of the pattern around it.
type tableColumns struct {
	table    *Table
	space    *requestSpace
	routeFor []routeIndex // by route: the first route that behaves like it
	columns  *columnTable // values are of type routeIndex
	extended map[extensionKey]columnID
	around   []patternColumns // the patterns around the current one that have routes; the outermost comes first
}

// patternColumns holds the columns of a pattern by resolvedIndex.
type patternColumns struct {
	pattern Pattern
	columns []columnID
}

// extensionKey identifies the result of tableColumns.extend.
type extensionKey struct {
	parent    columnID
	overrides string // by encodeValues
}

// newTableColumns returns the columns of a table. routeFor maps each of its routes to the first one that behaves the
// same; routes of other indexes don't occur in columns.
func newTableColumns(s *requestSpace, t *Table, routeFor []routeIndex) *tableColumns {
	c := &tableColumns{
		table:    t,
		space:    s,
		routeFor: routeFor,
		columns:  newColumnTable(),
		extended: map[extensionKey]columnID{},
	}
	unmatched := c.columns.intern(column{other: int32(noRoute)})
	outermost := patternColumns{columns: make([]columnID, (len(t.classes)+1)*int(frontCount))}
	for i := range outermost.columns {
		outermost.columns[i] = unmatched
	}
	c.around = []patternColumns{outermost}
	return c
}

// of returns the columns of a pattern by resolvedIndex. It must be called with the patterns in the order of
// patternSet.sorted.
func (c *tableColumns) of(p Pattern) []columnID {
	for !p.within(c.around[len(c.around)-1].pattern) {
		c.around = c.around[:len(c.around)-1]
	}
	parent := c.around[len(c.around)-1].columns
	routes := c.table.matcher.routesOf(p)
	if routes == nil {
		return parent
	}
	columns := c.extend(parent, routes)
	c.around = append(c.around, patternColumns{p, columns})
	return columns
}

// extend returns the columns of a pattern with these routes, within a pattern with the columns parent.
func (c *tableColumns) extend(parent []columnID, routes *patternRoutes) []columnID {
	tenants := c.namedTenants(routes)
	c.space.work.add(1)
	columns := make([]columnID, len(parent))
	for index := range columns {
		columns[index] = c.extendColumn(parent[index], routes, tenants, index)
	}
	return columns
}

// namedTenants returns the tenants that routes of a pattern name, sorted by index.
func (c *tableColumns) namedTenants(routes *patternRoutes) []int32 {
	tenants := make([]int32, 0, len(routes.byTenant))
	for name := range routes.byTenant {
		tenants = append(tenants, c.space.tenantIndexes[name])
	}
	slices.Sort(tenants)
	return tenants
}

// extendColumn returns one column of a pattern. Its routes take precedence over those of the column parent.
func (c *tableColumns) extendColumn(parent columnID, routes *patternRoutes, tenants []int32, index int) columnID {
	var overrides []tenantValue
	for _, tenant := range tenants {
		if route := routes.byTenant[c.space.tenants[tenant]].resolved[index]; route != noRoute {
			overrides = append(overrides, tenantValue{tenant, int32(c.routeFor[route])})
		}
	}
	c.space.work.add(len(tenants))
	if anyTenant := routes.anyTenant.resolved[index]; anyTenant != noRoute {
		return c.columns.intern(column{other: int32(c.routeFor[anyTenant]), special: overrides})
	}
	if len(overrides) == 0 {
		return parent
	}
	return c.overrideColumn(parent, overrides)
}

// overrideColumn returns a column with other values for some tenants.
func (c *tableColumns) overrideColumn(parent columnID, overrides []tenantValue) columnID {
	key := extensionKey{parent, string(encodeValues(nil, 0, overrides))}
	if id, ok := c.extended[key]; ok {
		return id
	}
	base := &c.columns.columns[parent]
	c.space.work.add(len(base.special))
	id := c.columns.intern(column{other: base.other, special: base.overridden(overrides)})
	c.extended[key] = id
	return id
}

// equivalentRoutes returns, for each route of the table, the first one that sends requests to the same pool with the
// same policy.
func (t *Table) equivalentRoutes() []routeIndex {
	type behavior struct {
		pool   *Pool
		policy PolicySpec
	}
	first := map[behavior]routeIndex{}
	equivalent := make([]routeIndex, len(t.routes))
	for i, r := range t.routes {
		b := behavior{pool: r.Pool, policy: r.Policy}
		b.policy.Name = ""
		b.policy.At = ""
		if r.Pool == nil {
			b = behavior{} // requests are rejected whatever the policy says
		}
		index, ok := first[b]
		if !ok {
			index = routeIndex(i)
			first[b] = index
		}
		equivalent[i] = index
	}
	return equivalent
}

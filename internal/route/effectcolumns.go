package route

// effectColumns combines the columns of one or two tables into columns of effects.
type effectColumns struct {
	space         *requestSpace
	tables        []*tableColumns
	notIdempotent []bool       // by class; classes beyond the end are idempotent
	columns       *columnTable // values are of type effectID
	paired        map[pairKey]columnID

	// effect returns the effect of the routes of a request. The second is noRoute if there is one table.
	effect func(routes [2]routeIndex, notIdempotent bool) effectID
}

// pairKey identifies the column of effects of two columns of routes.
type pairKey struct {
	columns       [2]columnID
	notIdempotent bool
}

// newEffectColumns returns the columns of the effects that requests have in one or two tables.
func newEffectColumns(s *requestSpace, notIdempotent []bool, tables ...*tableColumns) *effectColumns {
	return &effectColumns{
		space:         s,
		tables:        tables,
		notIdempotent: notIdempotent,
		columns:       newColumnTable(),
		paired:        map[pairKey]columnID{},
	}
}

// of returns the effects of a pattern's requests by class. The patterns must come in the order of patternSet.sorted.
func (e *effectColumns) of(p Pattern) []classEffects {
	var columns [2][]columnID
	for i, table := range e.tables {
		columns[i] = table.of(p)
	}
	effects := make([]classEffects, e.space.classCount())
	for class := range effects {
		thrift := e.pair(columns, class, Thrift)
		effects[class] = classEffects{
			thrift:  effectID(e.columns.columns[thrift].other),
			webhook: e.pair(columns, class, Webhook),
		}
	}
	return effects
}

// pair returns the column of effects for a class and a front.
func (e *effectColumns) pair(columns [2][]columnID, class int, front Front) columnID {
	key := pairKey{notIdempotent: class < len(e.notIdempotent) && e.notIdempotent[class]}
	for i := range e.tables {
		key.columns[i] = columns[i][resolvedIndex(class, front)]
	}
	id, ok := e.paired[key]
	if !ok {
		id = e.combine(key)
		e.paired[key] = id
	}
	return id
}

// combine computes the column of effects of one column of each table.
func (e *effectColumns) combine(key pairKey) columnID {
	var columns [2]*column
	var tenants []int32
	for i, table := range e.tables {
		columns[i] = &table.columns.columns[key.columns[i]]
		for _, v := range columns[i].special {
			tenants = append(tenants, v.tenant)
		}
	}
	tenants = sortedUnique(tenants)
	e.space.work.add(1 + len(tenants))
	combined := column{other: int32(e.effectOf(columns, key.notIdempotent, func(c *column) int32 { return c.other }))}
	for _, tenant := range tenants {
		effect := e.effectOf(columns, key.notIdempotent, func(c *column) int32 { return c.valueOf(tenant) })
		combined.special = append(combined.special, tenantValue{tenant, int32(effect)})
	}
	return e.columns.intern(combined)
}

// effectOf returns the effect of the routes that value picks from the column of each table.
func (e *effectColumns) effectOf(
	columns [2]*column, notIdempotent bool, value func(*column) int32,
) effectID {
	routes := [2]routeIndex{noRoute, noRoute}
	for i := range e.tables {
		routes[i] = routeIndex(value(columns[i]))
	}
	return e.effect(routes, notIdempotent)
}

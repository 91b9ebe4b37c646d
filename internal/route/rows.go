package route

import (
	"encoding/binary"
	"slices"
)

// rowTable collects the effects of each pattern's requests. Patterns with equal effects share a row.
type rowTable struct {
	space   *requestSpace
	effects *effectColumns
	rows    []row
	indexes map[string]int32 // indexes in rows, by encoding
}

// row holds the effects of the requests of some patterns.
type row struct {
	classes  []classEffects // by class
	patterns []int32        // indexes into requestSpace.patterns, sorted
}

func newRowTable(s *requestSpace, effects *effectColumns) *rowTable {
	return &rowTable{space: s, effects: effects, indexes: map[string]int32{}}
}

// add adds a pattern with the effects of its requests. The patterns must come in ascending order.
func (t *rowTable) add(pattern int32, classes []classEffects) {
	key := make([]byte, 0, 8*len(classes))
	for _, c := range classes {
		key = binary.NativeEndian.AppendUint32(key, uint32(c.thrift))
		key = binary.NativeEndian.AppendUint32(key, uint32(c.webhook))
	}
	index, ok := t.indexes[string(key)]
	if !ok {
		index = int32(len(t.rows))
		t.indexes[string(key)] = index
		t.rows = append(t.rows, row{classes: classes})
	}
	t.rows[index].patterns = append(t.rows[index].patterns, pattern)
	t.space.work.add(1)
}

// cover covers the requests of all rows with few boxes that don't overlap. The boxes have the patterns of their rows.
func (t *rowTable) cover() []*requestBox {
	boxes := newBoxTable(t.space)
	for i := range t.rows {
		if t.space.work.exceeded() {
			break
		}
		c := &rowCover{table: t, row: &t.rows[i]}
		for _, b := range c.boxes() {
			boxes.add(b, int32(i))
		}
	}
	return boxes.withPatterns(t.rows)
}

// rowCover covers the requests of one row with boxes.
type rowCover struct {
	table *rowTable
	row   *row
	found map[partKey]*boxPart
	order []*boxPart
}

// partKey identifies the box of a row that a set of requests belongs to.
type partKey struct {
	effect  effectID
	classes string // by encodeClasses
	fronts  frontSet
}

// boxPart is the part of a row that one box covers.
type boxPart struct {
	partKey
	others  bool    // requests of tenants that no route names, and without a tenant
	rest    bool    // all named tenants without a special value in the row
	tenants []int32 // named tenants with a special value, sorted
}

// boxes returns the boxes of the row.
func (c *rowCover) boxes() []*requestBox {
	c.found = map[partKey]*boxPart{}
	tenants := c.specialTenants()
	c.addOthers()
	total := len(c.table.space.tenants)
	if len(tenants) < total {
		webhook := c.classSets(func(class int) effectID { return effectID(c.column(class).other) })
		for _, s := range webhook {
			c.part(s, webhookOnly).rest = true
		}
	}
	for _, tenant := range tenants {
		webhook := c.classSets(func(class int) effectID { return effectID(c.column(class).valueOf(tenant)) })
		for _, s := range webhook {
			part := c.part(s, webhookOnly)
			part.tenants = append(part.tenants, tenant)
		}
	}
	boxes := make([]*requestBox, len(c.order))
	for i, part := range c.order {
		boxes[i] = &requestBox{partKey: part.partKey, tenants: part.tenantSet(tenants, total)}
	}
	return boxes
}

// column returns the effects of webhook requests of a class.
func (c *rowCover) column(class int) *column {
	return &c.table.effects.columns.columns[c.row.classes[class].webhook]
}

// specialTenants returns the tenants that have a special value for some class, sorted.
func (c *rowCover) specialTenants() []int32 {
	var tenants []int32
	for class := range c.row.classes {
		for _, v := range c.column(class).special {
			tenants = append(tenants, v.tenant)
		}
	}
	c.table.space.work.add(1 + len(c.row.classes)*len(tenants))
	return sortedUnique(tenants)
}

// addOthers adds the requests of tenants that no route names, and those without a tenant. They are the only ones by
// Thrift.
func (c *rowCover) addOthers() {
	thrift := c.classSets(func(class int) effectID { return c.row.classes[class].thrift })
	webhook := c.classSets(func(class int) effectID { return effectID(c.column(class).other) })
	for _, s := range thrift {
		if slices.Contains(webhook, s) {
			c.part(s, bothFronts).others = true
		} else {
			c.part(s, thriftOnly).others = true
		}
	}
	for _, s := range webhook {
		if !slices.Contains(thrift, s) {
			c.part(s, webhookOnly).others = true
		}
	}
}

// classSet is the set of all classes with the same effect.
type classSet struct {
	effect  effectID
	classes string // by encodeClasses
}

// classSets groups the classes of the row by their effects, and leaves out those with noEffect.
func (c *rowCover) classSets(effectOf func(class int) effectID) []classSet {
	var effects []effectID
	var members [][]byte
	for class := range c.row.classes {
		effect := effectOf(class)
		if effect == noEffect {
			continue
		}
		index := slices.Index(effects, effect)
		if index < 0 {
			index = len(effects)
			effects = append(effects, effect)
			members = append(members, nil)
		}
		members[index] = binary.BigEndian.AppendUint32(members[index], uint32(class))
	}
	sets := make([]classSet, len(effects))
	for i, effect := range effects {
		sets[i] = classSet{effect, string(members[i])}
	}
	return sets
}

// part returns the part of the row for a set of classes by some fronts. It creates the part if it is missing.
func (c *rowCover) part(s classSet, fronts frontSet) *boxPart {
	key := partKey{s.effect, s.classes, fronts}
	part := c.found[key]
	if part == nil {
		part = &boxPart{partKey: key}
		c.found[key] = part
		c.order = append(c.order, part)
	}
	return part
}

// tenantSet returns the tenants of the part. special holds all tenants with a special value in the row.
func (p *boxPart) tenantSet(special []int32, total int) tenantIndexSet {
	if !p.rest {
		return newTenantIndexSet(p.others, false, p.tenants, total)
	}
	excluded := make([]int32, 0, len(special)-len(p.tenants))
	included := p.tenants
	for _, tenant := range special {
		if len(included) > 0 && included[0] == tenant {
			included = included[1:]
			continue
		}
		excluded = append(excluded, tenant)
	}
	return newTenantIndexSet(p.others, true, excluded, total)
}

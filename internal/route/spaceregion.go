package route

import "slices"

// describe groups boxes by their effects and describes them as regions. If the space's workLimit is reached, it leaves
// out the rest.
func (s *requestSpace) describe(boxes []*requestBox) []requestGroup {
	total := len(s.tenants)
	slices.SortFunc(boxes, func(a, b *requestBox) int { return a.compareFirst(b, total) })
	d := regionDescriber{requestSpace: s, functions: map[*int32][]FunctionSet{}, tenantSets: map[string]TenantSet{}}
	var groups []requestGroup
	indexes := map[effectID]int{} // indexes in groups
	for _, b := range boxes {
		if s.work.exceeded() {
			break
		}
		index, ok := indexes[b.effect]
		if !ok {
			index = len(groups)
			indexes[b.effect] = index
			groups = append(groups, requestGroup{effect: b.effect})
		}
		groups[index].regions = append(groups[index].regions, d.region(b))
	}
	return groups
}

// regionDescriber describes boxes as regions. Regions with the same functions or tenants share their descriptions.
type regionDescriber struct {
	*requestSpace
	functions  map[*int32][]FunctionSet // by the first element of the shared requestBox.patterns
	tenantSets map[string]TenantSet     // by tenantIndexSet.key
}

// region describes the requests of a box as a Region.
func (d *regionDescriber) region(b *requestBox) Region {
	classes := b.classList()
	r := Region{
		Fronts:      b.fronts.list(),
		AnyClass:    len(classes) == d.classCount(),
		Functions:   d.functionsOf(b),
		AnyFunction: len(b.patterns) == len(d.patterns),
		Tenants:     d.tenantsOf(b),
		Example:     d.example(b, classes[0]),
	}
	for _, class := range classes {
		r.Classes = append(r.Classes, d.className(class))
	}
	if b.fronts == thriftOnly {
		r.Tenants.Any = true // requests by Thrift name no tenant, so the region needs no tenant condition
	}
	return r
}

// example returns one request of a box, of its first class: without a tenant if the box has such a request.
func (d *regionDescriber) example(b *requestBox, class int) Example {
	request := Request{Front: b.fronts.list()[0], Class: class, Function: d.requestSpace.functions[b.patterns[0]]}
	if tenant := b.tenants.last(len(d.tenants)); tenant != d.otherTenantIndex() {
		request.Tenant = d.tenants[tenant]
	}
	return Example{Request: request, Class: d.className(class)}
}

// tenantsOf describes the tenants of a box.
func (d *regionDescriber) tenantsOf(b *requestBox) TenantSet {
	key := b.tenants.key()
	set, ok := d.tenantSets[key]
	if !ok {
		set = d.tenantSet(b.tenants)
		d.tenantSets[key] = set
	}
	return set
}

// functionsOf describes the functions of a box.
func (d *regionDescriber) functionsOf(b *requestBox) []FunctionSet {
	sets, ok := d.functions[&b.patterns[0]]
	if !ok {
		sets = d.functionSets(b.patterns)
		d.functions[&b.patterns[0]] = sets
	}
	return sets
}

// functionSets returns the functions whose longest matching pattern is one of these; the arguments are indexes into
// s.patterns.
func (s *requestSpace) functionSets(patterns []int32) []FunctionSet {
	included := map[Pattern]bool{}
	for _, p := range patterns {
		included[s.patterns[p]] = true
	}
	var sets []FunctionSet
	for _, p := range patterns {
		pattern := s.patterns[p]
		except := s.patternSet.outermostWithin(pattern, func(q Pattern) bool {
			s.work.add(1)
			return !included[q]
		})
		sets = append(sets, FunctionSet{Pattern: pattern, Except: except})
	}
	return sets
}

package route

import "slices"

// regions covers the points with regions that don't overlap.
func (s *requestSpace) regions(points []requestPoint) []Region {
	var regions []Region
	for _, b := range coverPoints(points) {
		regions = append(regions, s.region(b))
	}
	return regions
}

// region describes the requests of a box as a Region.
func (s *requestSpace) region(b requestBox) Region {
	r := Region{
		AnyClass:    len(b[classAxis]) == s.classCount(),
		Functions:   s.functionSets(b[patternAxis]),
		AnyFunction: len(b[patternAxis]) == len(s.patterns),
		Example:     s.example(b.examplePoint()),
	}
	for _, front := range b[frontAxis] {
		r.Fronts = append(r.Fronts, Front(front))
	}
	for _, class := range b[classAxis] {
		r.Classes = append(r.Classes, s.className(class))
	}
	r.Tenants = s.tenantSet(b[tenantAxis])
	if slices.Equal(r.Fronts, []Front{Thrift}) {
		r.Tenants.Any = true // requests by Thrift name no tenant, so the region needs no tenant condition
	}
	return r
}

// example returns one request of a point, with the name of its class.
func (s *requestSpace) example(p requestPoint) Example {
	return Example{Request: s.request(p), Class: s.className(p[classAxis])}
}

// functionSets returns the functions whose longest matching pattern is one of these; the arguments are indexes into
// s.patterns.
func (s *requestSpace) functionSets(patterns []int) []FunctionSet {
	included := map[Pattern]bool{}
	for _, p := range patterns {
		included[s.patterns[p]] = true
	}
	var sets []FunctionSet
	for _, p := range patterns {
		pattern := s.patterns[p]
		except := s.patternSet.outermostWithin(pattern, func(q Pattern) bool { return !included[q] })
		sets = append(sets, FunctionSet{Pattern: pattern, Except: except})
	}
	return sets
}

// tenantSet returns the tenants at these indexes of the tenant axis.
func (s *requestSpace) tenantSet(tenants []int) TenantSet {
	set := TenantSet{
		Any:    len(tenants) == len(s.tenants)+1,
		Others: slices.Contains(tenants, s.otherTenantIndex()),
	}
	for index, name := range s.tenants {
		if slices.Contains(tenants, index) {
			set.Names = append(set.Names, name)
		} else {
			set.Except = append(set.Except, name)
		}
	}
	return set
}

package route

import "slices"

// axis is one of the properties of a request by which tables tell requests apart.
type axis int

// The axes. The index of a point on each axis is that of a Front, a class, a pattern or a tenant of a requestSpace.
const (
	frontAxis axis = iota
	classAxis
	patternAxis // the longest pattern that matches the function
	tenantAxis
	axisCount
)

// requestPoint stands for all requests that some tables can't tell apart, by its index on each axis.
type requestPoint [axisCount]int

// requestSpace has one point for each set of requests that some tables can tell apart from others. All requests of a
// point take the same route in each of the tables, so that one request stands for all; see request.
type requestSpace struct {
	classes      []string
	otherClasses bool // classes beyond the listed ones exist; they have the index after these
	patternSet   *patternSet
	patterns     []Pattern // those that match some function that no longer pattern matches
	functions    []uint64  // one such function of each pattern
	tenants      []string  // that routes name; the index after these is of any other, and of none
}

// newRequestSpace returns the space of tables, which must list the same classes.
func newRequestSpace(otherClasses bool, tables ...*Table) *requestSpace {
	s := &requestSpace{classes: slices.Clone(tables[0].classes), otherClasses: otherClasses}
	var patterns []Pattern
	for _, t := range tables {
		patterns = append(patterns, t.patterns.sorted...)
		s.tenants = append(s.tenants, t.tenants...)
	}
	s.tenants = sortedUnique(s.tenants)
	s.patternSet = newPatternSet(patterns)
	for _, p := range s.patternSet.sorted {
		function, ok := s.patternSet.uncoveredFunction(p)
		if !ok {
			continue
		}
		s.patterns = append(s.patterns, p)
		s.functions = append(s.functions, function)
	}
	return s
}

// classCount returns how many classes the space tells apart; all that are not listed count as one.
func (s *requestSpace) classCount() int {
	if s.otherClasses {
		return len(s.classes) + 1
	}
	return len(s.classes)
}

// className returns the name of the class of an index.
func (s *requestSpace) className(class int) string {
	if class < len(s.classes) {
		return s.classes[class]
	}
	return OtherClass
}

// otherTenantIndex returns the index of all tenants that no route names, and of requests without a tenant.
func (s *requestSpace) otherTenantIndex() int { return len(s.tenants) }

// request returns one of the requests that a point stands for.
func (s *requestSpace) request(p requestPoint) Request {
	r := Request{Front: Front(p[frontAxis]), Class: p[classAxis], Function: s.functions[p[patternAxis]]}
	if tenant := p[tenantAxis]; tenant != s.otherTenantIndex() {
		r.Tenant = s.tenants[tenant]
	}
	return r
}

// points returns all points, sorted by pattern, tenant, class and front. There are none of Thrift with a tenant:
// requests by Thrift name none.
func (s *requestSpace) points() []requestPoint {
	var points []requestPoint
	for pattern := range s.patterns {
		for tenant := s.otherTenantIndex(); tenant >= 0; tenant-- {
			for class := range s.classCount() {
				if tenant == s.otherTenantIndex() {
					points = append(points, requestPoint{int(Thrift), class, pattern, tenant})
				}
				points = append(points, requestPoint{int(Webhook), class, pattern, tenant})
			}
		}
	}
	return points
}

// requestGroup is the requests for which a function returns the same key.
type requestGroup[K comparable] struct {
	key     K
	regions []Region
}

// groupRequests groups the requests of a space by the key that classify returns for them. It leaves out those for which
// classify returns false. The groups are in the order of their first points.
func groupRequests[K comparable](s *requestSpace, classify func(Request) (K, bool)) []requestGroup[K] {
	var keys []K
	points := map[K][]requestPoint{}
	for _, p := range s.points() {
		key, ok := classify(s.request(p))
		if !ok {
			continue
		}
		if points[key] == nil {
			keys = append(keys, key)
		}
		points[key] = append(points[key], p)
	}
	var groups []requestGroup[K]
	for _, key := range keys {
		groups = append(groups, requestGroup[K]{key, s.regions(points[key])})
	}
	return groups
}

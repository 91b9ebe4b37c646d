package route

import "slices"

// axis is a property by which tables tell requests apart.
type axis int

// The axes. The index of a point on an axis is a Front, or an index into the classes, patterns or tenants of a
// requestSpace.
const (
	frontAxis axis = iota
	classAxis
	patternAxis // the longest pattern that matches the function
	tenantAxis
	axisCount
)

// requestPoint has an index on each axis. It represents all requests with these indexes, which the tables of a
// requestSpace can't tell apart.
type requestPoint [axisCount]int

// requestSpace has one point for each set of requests that its tables can't tell apart. All requests of a point take
// the same route in each of the tables, so one request represents all of them; see request.
type requestSpace struct {
	classes      []string
	otherClasses bool // there are classes that are not listed; they share the index after the listed ones
	patternSet   *patternSet
	patterns     []Pattern // those that are the longest matching pattern of some function
	functions    []uint64  // one such function for each of patterns
	tenants      []string  // those that routes name; the index after them is for all others, and for no tenant
}

// newRequestSpace returns the space of these tables, which must list the same classes. otherClasses says whether there
// are further classes.
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

// classCount returns the number of indexes on the class axis. All classes that are not listed share one.
func (s *requestSpace) classCount() int {
	if s.otherClasses {
		return len(s.classes) + 1
	}
	return len(s.classes)
}

// className returns the name of the class at an index, or OtherClass.
func (s *requestSpace) className(class int) string {
	if class < len(s.classes) {
		return s.classes[class]
	}
	return OtherClass
}

// otherTenantIndex returns the index of all tenants that no route names, and of requests without a tenant.
func (s *requestSpace) otherTenantIndex() int { return len(s.tenants) }

// request returns one of the requests that a point represents.
func (s *requestSpace) request(p requestPoint) Request {
	r := Request{Front: Front(p[frontAxis]), Class: p[classAxis], Function: s.functions[p[patternAxis]]}
	if tenant := p[tenantAxis]; tenant != s.otherTenantIndex() {
		r.Tenant = s.tenants[tenant]
	}
	return r
}

// points returns all points in the order of pattern, tenant, class and front. There are no points for Thrift with a
// named tenant, because requests by Thrift name no tenant.
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

// requestGroup is the set of requests to which groupRequests assigns the same key.
type requestGroup[K comparable] struct {
	key     K
	regions []Region
}

// groupRequests groups the requests of a space by the key that classify returns. It leaves out requests for which
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

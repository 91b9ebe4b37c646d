package route

import "slices"

// matcher finds the route of a request by the rules of all routes. All rules are added first, then resolve is called
// once. After that the matcher does not change, and any goroutine may call match.
type matcher struct {
	classCount    int
	exact         map[uint64]*patternRoutes                 // by function
	prefixes      [functionDigits]map[uint64]*patternRoutes // by number of digits and prefix
	prefixLengths []int                                     // numbers of digits that occur in prefixes, largest first
}

// newMatcher returns a matcher without rules, for a table that lists this many classes.
func newMatcher(classCount int) *matcher {
	return &matcher{classCount: classCount, exact: map[uint64]*patternRoutes{}}
}

// add adds a rule. It returns the route that already had the same rule, or noRoute.
func (m *matcher) add(rule matchRule) routeIndex {
	return m.forPattern(rule.pattern).forTenant(rule.tenant).declare(rule)
}

// forPattern returns the routes of a pattern, and creates the entry if it is missing.
func (m *matcher) forPattern(p Pattern) *patternRoutes {
	byPrefix := m.exact
	if p.Digits < functionDigits {
		if m.prefixes[p.Digits] == nil {
			m.prefixes[p.Digits] = map[uint64]*patternRoutes{}
		}
		byPrefix = m.prefixes[p.Digits]
	}
	routes := byPrefix[p.Prefix]
	if routes == nil {
		routes = newPatternRoutes(m.classCount)
		byPrefix[p.Prefix] = routes
	}
	return routes
}

// routesOf returns the routes that name a pattern, or nil if there are none.
func (m *matcher) routesOf(p Pattern) *patternRoutes {
	if p.Digits == functionDigits {
		return m.exact[p.Prefix]
	}
	return m.prefixes[p.Digits][p.Prefix]
}

// resolve precomputes what match reads. It is called once, after all rules are added.
func (m *matcher) resolve() {
	for _, routes := range m.exact {
		routes.resolve()
	}
	for digits, byPrefix := range slices.Backward(m.prefixes[:]) {
		if byPrefix == nil {
			continue
		}
		m.prefixLengths = append(m.prefixLengths, digits)
		for _, routes := range byPrefix {
			routes.resolve()
		}
	}
}

// match returns the route of a request, or noRoute if no rule matches. It allocates nothing.
func (m *matcher) match(r Request) routeIndex {
	index := resolvedIndex(min(r.Class, m.classCount), r.Front)
	if routes := m.exact[r.Function]; routes != nil {
		if route := routes.match(r.Tenant, index); route != noRoute {
			return route
		}
	}
	for _, digits := range m.prefixLengths {
		routes := m.prefixes[digits][r.Function&prefixMask(digits)]
		if routes == nil {
			continue
		}
		if route := routes.match(r.Tenant, index); route != noRoute {
			return route
		}
	}
	return noRoute
}

// digitsForAnyTenant returns the number of digits of the longest pattern that has a route for a function, a class and a
// front, whatever the tenant is. It returns -1 if there is none.
func (m *matcher) digitsForAnyTenant(function uint64, resolvedIndex int) int {
	if routes := m.exact[function]; routes != nil && routes.anyTenant.resolved[resolvedIndex] != noRoute {
		return functionDigits
	}
	for _, digits := range m.prefixLengths {
		routes := m.prefixes[digits][function&prefixMask(digits)]
		if routes != nil && routes.anyTenant.resolved[resolvedIndex] != noRoute {
			return digits
		}
	}
	return -1
}

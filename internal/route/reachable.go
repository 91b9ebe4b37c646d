package route

// Reachable returns, for each route and each class, whether some request of the class takes the route. The last element
// of each route's slice, after the table's classes, is for all other classes.
func (t *Table) Reachable() [][]bool {
	reached := make([][]bool, len(t.routes))
	representatives := map[Pattern][]uint64{}
	for i := range t.routes {
		reached[i] = t.reachingClasses(routeIndex(i), representatives)
	}
	return reached
}

// reachingClasses returns, for each class, whether some request of the class takes the route. It keeps what
// patternSet.representatives returns in a map for further calls.
func (t *Table) reachingClasses(route routeIndex, representatives map[Pattern][]uint64) []bool {
	reached := make([]bool, len(t.classes)+1)
	for _, rule := range t.routes[route].Spec.matchRules(t.classes, route) {
		functions, ok := representatives[rule.pattern]
		if !ok {
			functions = t.patterns.representatives(rule.pattern)
			representatives[rule.pattern] = functions
		}
		for _, function := range functions {
			t.markReached(reached, rule, function)
		}
	}
	return reached
}

// markReached marks the classes for which a request for the function matches the rule and takes the rule's route.
func (t *Table) markReached(reached []bool, rule matchRule, function uint64) {
	for front := range frontCount {
		if !rule.acceptsFront(front) {
			continue
		}
		for class := range reached {
			if reached[class] || !rule.acceptsClass(class) {
				continue
			}
			request := Request{Front: front, Class: class, Function: function, Tenant: rule.tenant}
			reached[class] = t.Match(request) == t.routes[rule.route]
		}
	}
}

// representatives returns functions of p that are enough to test reachability: if a rule with pattern p decides the
// route of any request, it also decides the route of a request for one of these functions.
func (s *patternSet) representatives(p Pattern) []uint64 {
	if function, ok := s.uncoveredFunction(p); ok {
		return []uint64{function} // each rule that matches it matches all functions of p
	}
	var functions []uint64
	for _, q := range s.outermostWithin(p, func(Pattern) bool { return true }) {
		functions = append(functions, s.representatives(q)...)
	}
	return functions
}

package route

// Reachable returns for each route which classes reach it: for each class whether some request of it takes the route.
// The element after those of the table's classes is for all other classes.
func (t *Table) Reachable() [][]bool {
	reached := make([][]bool, len(t.routes))
	for i := range t.routes {
		reached[i] = t.reachingClasses(routeIndex(i))
	}
	return reached
}

// reachingClasses returns for each class whether some request of it takes the route.
func (t *Table) reachingClasses(route routeIndex) []bool {
	reached := make([]bool, len(t.classes)+1)
	for _, rule := range t.routes[route].Spec.matchRules(t.classes, route) {
		for _, function := range t.patterns.representatives(rule.pattern) {
			t.markReached(reached, rule, function)
		}
	}
	return reached
}

// markReached marks the classes of which a request for the function takes the rule's route.
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

// representatives returns functions of p, such that each route for p that some request takes is taken by one of them.
func (s *patternSet) representatives(p Pattern) []uint64 {
	if function, ok := s.uncoveredFunction(p); ok {
		return []uint64{function} // the routes that match it match all functions of p
	}
	var functions []uint64
	for _, q := range s.outermostWithin(p, func(Pattern) bool { return true }) {
		functions = append(functions, s.representatives(q)...)
	}
	return functions
}

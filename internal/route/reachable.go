package route

// Reachable returns, for each route and each class, whether some request of the class takes the route. The last element
// of each route's slice, after the table's classes, is for all other classes. complete is false if the table is so
// large that not all routes were tested; those count as reachable.
func (t *Table) Reachable() (reached [][]bool, complete bool) {
	r := newReachability(t)
	return r.ofRoutes(), !r.work.incomplete()
}

// reachability finds out which classes reach the routes of a table. It tests requests for a few functions of each
// rule's pattern.
type reachability struct {
	table     *Table
	work      *workLimit
	functions map[Pattern][]uint64      // results of patternSet.representatives
	open      map[patternIndex][]uint64 // results of openFunctions
}

// patternIndex is a pattern with a class and a front, as a resolvedIndex.
type patternIndex struct {
	pattern Pattern
	index   int
}

func newReachability(t *Table) *reachability {
	return &reachability{
		table:     t,
		work:      newWorkLimit(t.checkSteps(), 1),
		functions: map[Pattern][]uint64{},
		open:      map[patternIndex][]uint64{},
	}
}

// ofRoutes returns what Table.Reachable does.
func (r *reachability) ofRoutes() [][]bool {
	reached := make([][]bool, len(r.table.routes))
	for i := range reached {
		reached[i] = r.reachingClasses(routeIndex(i))
	}
	return reached
}

// reachingClasses returns, for each class, whether some request of the class takes the route.
func (r *reachability) reachingClasses(route routeIndex) []bool {
	classes := r.table.classes
	reached := make([]bool, len(classes)+1)
	for _, rule := range r.table.routes[route].Spec.matchRules(classes, route) {
		for front := range frontCount {
			if rule.acceptsFront(front) {
				r.markReached(reached, rule, front)
			}
		}
	}
	return reached
}

// markReached marks the classes for which a request by a front matches the rule and takes the rule's route.
func (r *reachability) markReached(reached []bool, rule matchRule, front Front) {
	for class := range reached {
		if !reached[class] && rule.acceptsClass(class) {
			reached[class] = r.takesRequests(rule, class, front)
		}
	}
}

// takesRequests reports whether some request of a class and a front takes the route of a rule that accepts both.
func (r *reachability) takesRequests(rule matchRule, class int, front Front) bool {
	for _, function := range r.openFunctions(patternIndex{rule.pattern, resolvedIndex(class, front)}) {
		r.work.add(1)
		if r.work.exceeded() {
			return true
		}
		request := Request{Front: front, Class: class, Function: function, Tenant: rule.tenant}
		if r.table.Match(request) == r.table.routes[rule.route] {
			return true
		}
	}
	return false
}

// openFunctions returns the representatives of a pattern, without those whose requests take a route of a longer pattern
// whatever their tenant is.
func (r *reachability) openFunctions(key patternIndex) []uint64 {
	if open, ok := r.open[key]; ok {
		return open
	}
	functions, ok := r.functions[key.pattern]
	if !ok {
		functions = r.table.patterns.representatives(key.pattern)
		r.functions[key.pattern] = functions
	}
	var open []uint64
	for _, function := range functions {
		if r.table.matcher.digitsForAnyTenant(function, key.index) <= key.pattern.Digits {
			open = append(open, function)
		}
	}
	r.work.add(len(functions))
	r.open[key] = open
	return open
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

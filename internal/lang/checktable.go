package lang

import (
	"errors"
	"slices"

	"crankhold/internal/route"
)

// tableChecker checks how routes, pools and policies work together, based on the table that is compiled from them. The
// blocks must have no faults.
type tableChecker struct {
	report   *reporter
	symbols  *symbolTable
	policies *policyBuilder
	classes  knownClasses
}

// check compiles the table. It reports ambiguous routes, routes that no request can reach, and policies that conflict
// with the classes of their requests. It notes requests that no route matches. It returns the table, or nil if the spec
// can't be compiled.
func (t *tableChecker) check(spec *route.Spec) *route.Table {
	table, err := route.Compile(spec, t.classes.list.names())
	if err != nil {
		t.reportCompileError(err, spec.Routes[0].Name)
		return nil
	}
	first := t.symbols.find(routeKeyword, table.Routes()[0].Spec.Name)
	t.checkRoutes(table, first)
	t.noteUnmatched(table, first)
	return table
}

// checkRoutes checks each route. What concerns no single route is reported at the first one.
func (t *tableChecker) checkRoutes(table *route.Table, first *block) {
	reachable, complete := table.Reachable()
	for i, r := range table.Routes() {
		t.checkRoute(r, t.reachingClasses(reachable[i]))
	}
	if !complete {
		t.report.note(first, first.pos,
			"not all routes were tested for whether a call can reach them: there are too many combinations")
	}
}

// noteUnmatched notes, at the first route, the requests that no route matches.
func (t *tableChecker) noteUnmatched(table *route.Table, first *block) {
	regions, complete := table.UnmatchedRegions(!t.classes.complete)
	for _, region := range regions {
		t.report.note(first, first.pos, "no route takes %v; they are refused (%v)", region, region.Example)
	}
	if !complete {
		t.report.note(first, first.pos, "not all calls that no route takes are listed: there are too many combinations")
	}
}

// reportCompileError reports an error of route.Compile at the route that it concerns, or at the first route. Errors
// other than ambiguous routes should already have been found by the checks of the blocks.
func (t *tableChecker) reportCompileError(err error, firstRoute string) {
	name := firstRoute
	var ambiguous *route.AmbiguousRoutesError
	var size *route.TableSizeError
	switch {
	case errors.As(err, &ambiguous):
		name = ambiguous.Second.Name
	case errors.As(err, &size):
		name = size.Route
	}
	b := t.symbols.find(routeKeyword, name)
	t.report.fault(b, b.pos, "%v", err)
}

// reachingClasses returns which of the known classes reach a route, given its entry of route.Table.Reachable. The last
// element of the entry stands for all classes that are not listed; it is dropped if there are no such classes.
func (t *tableChecker) reachingClasses(reached []bool) []bool {
	if t.classes.complete {
		return reached[:len(t.classes.list)]
	}
	return reached
}

// checkRoute reports a route that no request can reach, and a policy that conflicts with a class that reaches the
// route.
func (t *tableChecker) checkRoute(r *route.Route, reached []bool) {
	b := t.symbols.find(routeKeyword, r.Spec.Name)
	if !slices.Contains(reached, true) {
		t.report.fault(b, b.pos, "route %q can't be reached: closer matches take all of its calls", r.Spec.Name)
		return
	}
	if r.Pool == nil || r.Spec.Policy == "" {
		return
	}
	checker := t.policies.settingsChecker()
	for i, class := range t.classes.list {
		if reached[i] {
			checker.checkForClass(b, t.policies.byName[r.Spec.Policy], class)
		}
	}
}

package lang

import (
	"errors"
	"slices"

	"crankhold/internal/route"
)

// tableChecker checks what routes, pools and policies mean together, by the table that is compiled out of them. It
// needs blocks without faults.
type tableChecker struct {
	report   *reporter
	symbols  *symbolTable
	policies *policyBuilder
	classes  knownClasses
}

// check compiles the table. It reports routes that are ambiguous or that no request takes, and policies that don't fit
// the classes of their requests; it notes requests that no route takes.
func (t *tableChecker) check(spec *route.Spec) {
	table, err := route.Compile(spec, t.classes.list.names())
	if err != nil {
		t.reportCompileError(err, spec.Routes[0].Name)
		return
	}
	reachable := table.Reachable()
	for i, r := range table.Routes() {
		t.checkRoute(r, t.reachingClasses(reachable[i]))
	}
	first := t.symbols.find(routeKeyword, table.Routes()[0].Spec.Name)
	for _, region := range table.UnmatchedRegions(!t.classes.complete) {
		t.report.note(first, first.pos, "no route takes %v; they are refused (%v)", region, region.Example)
	}
}

// reportCompileError reports an error of route.Compile at the route that it concerns, or at the first one. Errors other
// than of ambiguous routes should have been found by the checks of the blocks.
func (t *tableChecker) reportCompileError(err error, firstRoute string) {
	name := firstRoute
	var ambiguous *route.AmbiguousRoutesError
	if errors.As(err, &ambiguous) {
		name = ambiguous.Second.Name
	}
	b := t.symbols.find(routeKeyword, name)
	t.report.fault(b, b.pos, "%v", err)
}

// reachingClasses returns by which classes a route is reached, of an entry of route.Table.Reachable. The last element
// of the entry is for all classes that are not listed: it is left out where there are no such classes.
func (t *tableChecker) reachingClasses(reached []bool) []bool {
	if t.classes.complete {
		return reached[:len(t.classes.list)]
	}
	return reached
}

// checkRoute reports a route that no request takes, and a policy that does not fit the classes that reach the route.
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

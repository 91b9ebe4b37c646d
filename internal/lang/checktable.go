package lang

import (
	"errors"
	"maps"
	"slices"

	"crankhold/internal/route"
)

// checkTable checks what routes, pools and policies are as a whole, once there are no faults in any of them.
func (c *checker) checkTable() {
	c.result.classes, c.result.classesComplete = c.knownClasses()
	if c.platform != nil {
		c.result.Spec.LoadWindow = c.platform.LoadWindow
	}
	table, err := route.Compile(&c.result.Spec, c.result.Classes())
	if err != nil {
		c.reportCompileError(err)
		return
	}
	c.checkRoutesOfTable(table)
	first := c.symbols.find(routeKeyword, table.Routes()[0].Spec.Name)
	for _, region := range table.UnmatchedRegions(!c.result.classesComplete) {
		c.report.note(first, first.pos, "no route takes %v; they are refused (%v)", region, region.Example)
	}
}

// reportCompileError reports an error of route.Compile at the route that it concerns. Errors other than of ambiguous
// routes should have been found by the checks of the blocks.
func (c *checker) reportCompileError(err error) {
	name := c.result.Spec.Routes[0].Name
	var ambiguous *route.AmbiguousRoutesError
	if errors.As(err, &ambiguous) {
		name = ambiguous.Second.Name
	}
	b := c.symbols.find(routeKeyword, name)
	c.report.fault(b, b.pos, "%v", err)
}

// checkRoutesOfTable reports routes that no request takes, and policies that don't fit the classes of the requests that
// take a route.
func (c *checker) checkRoutesOfTable(table *route.Table) {
	reachable := table.Reachable()
	for i, r := range table.Routes() {
		reached := reachable[i]
		if c.result.classesComplete {
			reached = reached[:len(c.result.classes)] // without the entry for all other classes
		}
		b := c.symbols.find(routeKeyword, r.Spec.Name)
		if !slices.Contains(reached, true) {
			c.report.fault(b, b.pos, "route %q can't be reached: closer matches take all of its calls", r.Spec.Name)
			continue
		}
		if r.Pool == nil || r.Spec.Policy == "" {
			continue
		}
		for k, class := range c.result.classes {
			if reached[k] {
				c.checkPolicyForClass(b, c.policies[r.Spec.Policy], class)
			}
		}
	}
}

// knownClasses returns the classes that are known, and whether there are no others.
func (c *checker) knownClasses() (classes []Class, complete bool) {
	if c.platform != nil {
		for _, class := range c.platform.Classes {
			class.NotIdempotent = class.NotIdempotent || class.Name == neverIdempotentClass || c.result.declaredNotIdempotent(class.Name)
			classes = append(classes, class)
		}
		return classes, true
	}
	if len(c.symbols.names(classKeyword)) > 0 {
		return c.result.classes, true
	}
	names := map[string]bool{neverIdempotentClass: true}
	for _, r := range c.result.Spec.Routes {
		for _, name := range r.Classes {
			names[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		classes = append(classes, Class{Name: name, NotIdempotent: name == neverIdempotentClass})
	}
	return classes, false
}

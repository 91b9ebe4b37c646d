package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Compile makes a table for requests of these classes out of a spec. Of the routes that match a request the one with
// the closest match is taken: first by function (exact, then the longest prefix), then one that names the tenant,
// then one that names the class, then one that names the front. The order of the spec has no effect.
//
// The error is an *AmbiguousRoutesError, *DuplicatePoolError, *UndefinedReferenceError, *FallbackCycleError or
// *LoadShareError.
func Compile(spec *Spec, classes []string) (*Table, error) {
	pools, err := compilePools(spec.Pools, cmp.Or(spec.LoadWindow, defaultLoadWindow))
	if err != nil {
		return nil, err
	}
	t := &Table{
		classes:       classes,
		pools:         slices.SortedFunc(maps.Values(pools), comparePoolNames),
		staticWorkers: map[string]Worker{},
		exact:         map[uint64]*patternRoutes{},
	}
	for _, class := range classes {
		t.notIdempotent = append(t.notIdempotent, slices.Contains(spec.NotIdempotentClasses, class))
	}
	for _, w := range spec.Workers {
		t.staticWorkers[w.Name] = w
	}
	if err := t.addRoutes(spec, pools); err != nil {
		return nil, err
	}
	t.index()
	return t, nil
}

func comparePoolNames(a, b *Pool) int { return strings.Compare(a.Spec.Name, b.Spec.Name) }

// addRoutes adds the spec's routes with all of their rules.
func (t *Table) addRoutes(spec *Spec, pools map[string]*Pool) error {
	policies := map[string]PolicySpec{}
	for _, p := range spec.Policies {
		policies[p.Name] = p
	}
	var patterns []Pattern
	tenants := map[string]bool{}
	for i, routeSpec := range spec.Routes {
		r, err := compileRoute(routeSpec, pools, policies)
		if err != nil {
			return err
		}
		t.routes = append(t.routes, r)
		for _, rule := range routeSpec.matchRules(t.classes, i) {
			before := t.addRule(rule)
			if before != noRoute && before != int32(i) {
				return &AmbiguousRoutesError{First: spec.Routes[before], Second: routeSpec}
			}
			patterns = append(patterns, rule.pattern)
			if rule.tenant != "" {
				tenants[rule.tenant] = true
			}
		}
	}
	t.patterns = newPatternSet(patterns)
	t.tenants = slices.Sorted(maps.Keys(tenants))
	return nil
}

// compileRoute joins a route to its pool and its policy.
func compileRoute(spec RouteSpec, pools map[string]*Pool, policies map[string]PolicySpec) (*Route, error) {
	r := &Route{Spec: spec, Policy: NoPolicy}
	if spec.Policy != "" {
		p, ok := policies[spec.Policy]
		if !ok {
			return nil, &UndefinedReferenceError{RouteBlock, spec.Name, spec.At, PolicyBlock, spec.Policy}
		}
		r.Policy = p
	}
	if spec.Pool == "" {
		return r, nil
	}
	r.Pool = pools[spec.Pool]
	if r.Pool == nil {
		return nil, &UndefinedReferenceError{RouteBlock, spec.Name, spec.At, PoolBlock, spec.Pool}
	}
	r.requestPolicy = r.Policy.requestPolicy()
	r.requestPolicy.Pool = r.Pool
	r.notIdempotentPolicy = r.Policy.Effective(true).requestPolicy()
	r.notIdempotentPolicy.Pool = r.Pool
	return r, nil
}

// addRule declares a rule's route and returns the one that was declared there before, or noRoute.
func (t *Table) addRule(rule matchRule) int32 {
	return t.routesOf(rule.pattern).ofTenant(rule.tenant, len(t.classes)).declare(rule)
}

// routesOf returns the routes of a pattern, creating the entry where it is missing.
func (t *Table) routesOf(p Pattern) *patternRoutes {
	byPrefix := t.exact
	if p.Digits < functionDigits {
		if t.prefixes[p.Digits] == nil {
			t.prefixes[p.Digits] = map[uint64]*patternRoutes{}
		}
		byPrefix = t.prefixes[p.Digits]
	}
	routes := byPrefix[p.Prefix]
	if routes == nil {
		routes = newPatternRoutes(len(t.classes))
		byPrefix[p.Prefix] = routes
	}
	return routes
}

// index prepares what look-ups read, once all routes are added.
func (t *Table) index() {
	for _, routes := range t.exact {
		routes.resolve(len(t.classes))
	}
	for digits, byPrefix := range slices.Backward(t.prefixes[:]) {
		if byPrefix == nil {
			continue
		}
		t.prefixLengths = append(t.prefixLengths, digits)
		for _, routes := range byPrefix {
			routes.resolve(len(t.classes))
		}
	}
}

package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"crankhold/internal/endpoint"
)

// Compile builds a table from a spec, for requests of these classes. Of the routes that match a request, the closest
// one is used: by function first (exact, then the longest prefix), then one that names the tenant, then one that names
// the class, then one that names the front. The order of the routes in the spec has no effect.
//
// The error is a *TableSizeError, *AmbiguousRoutesError, *DuplicatePoolError, *UndefinedReferenceError,
// *FallbackCycleError or *LoadShareError.
func Compile(spec *Spec, classes []string) (*Table, error) {
	if err := checkSize(spec, classes); err != nil {
		return nil, err
	}
	pools, err := compilePools(spec.Pools, cmp.Or(spec.LoadWindow, defaultLoadWindow))
	if err != nil {
		return nil, err
	}
	t := &Table{
		classes:       classes,
		pools:         slices.SortedFunc(maps.Values(pools), comparePoolNames),
		staticWorkers: map[endpoint.NameKey]Worker{},
		matcher:       newMatcher(len(classes)),
		maxBytes:      spec.MaxBytes,
	}
	for _, class := range classes {
		t.notIdempotent = append(t.notIdempotent, slices.Contains(spec.NotIdempotentClasses, class))
	}
	for _, w := range spec.Workers {
		t.staticWorkers[endpoint.KeyOf(w.Name)] = w
	}
	if err := t.addRoutes(spec, pools); err != nil {
		return nil, err
	}
	t.matcher.resolve()
	return t, nil
}

func comparePoolNames(a, b *Pool) int { return strings.Compare(a.Spec.Name, b.Spec.Name) }

// addRoutes compiles the spec's routes and adds all of their rules to the matcher.
func (t *Table) addRoutes(spec *Spec, pools map[string]*Pool) error {
	policies := map[string]PolicySpec{}
	for _, p := range spec.Policies {
		policies[p.Name] = p
	}
	var rules []matchRule
	for i, routeSpec := range spec.Routes {
		r, err := compileRoute(routeSpec, pools, policies)
		if err != nil {
			return err
		}
		t.routes = append(t.routes, r)
		routeRules := routeSpec.matchRules(t.classes, routeIndex(i))
		if err := t.addRules(routeRules); err != nil {
			return err
		}
		rules = append(rules, routeRules...)
	}
	t.patterns = newPatternSet(patternsOf(rules))
	t.tenants = tenantsOf(rules)
	return nil
}

// addRules adds the rules of one route. It fails if another route has one of these rules, because the two routes are
// then ambiguous.
func (t *Table) addRules(rules []matchRule) error {
	for _, rule := range rules {
		previous := t.matcher.add(rule)
		if previous != noRoute && previous != rule.route {
			return &AmbiguousRoutesError{First: t.routes[previous].Spec, Second: t.routes[rule.route].Spec}
		}
	}
	return nil
}

// patternsOf returns the patterns of rules, with duplicates.
func patternsOf(rules []matchRule) []Pattern {
	var patterns []Pattern
	for _, rule := range rules {
		patterns = append(patterns, rule.pattern)
	}
	return patterns
}

// tenantsOf returns the tenants that rules name, sorted and without duplicates.
func tenantsOf(rules []matchRule) []string {
	var tenants []string
	for _, rule := range rules {
		if rule.tenant != "" {
			tenants = append(tenants, rule.tenant)
		}
	}
	return sortedUnique(tenants)
}

// compileRoute resolves a route's references to its pool and its policy.
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

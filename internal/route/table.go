package route

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"crankhold/policy"
)

// Request is what a route is chosen by.
type Request struct {
	Front    Front
	Class    int // by the table's list
	Function uint64
	Tenant   string // "": none was named
}

// Route is a route of a table.
type Route struct {
	Spec                RouteSpec
	Policy              PolicySpec
	Pool                *Pool // nil: its calls are refused
	requestPolicy       policy.RequestPolicy
	notIdempotentPolicy policy.RequestPolicy // for classes that must never run twice
}

// Table finds the route of a call. Looking up allocates nothing.
type Table struct {
	classes       []string // a call's class beyond them is some other one
	notIdempotent []bool   // by class: must never run twice
	routes        []*Route
	pools         []*Pool // by name
	staticWorkers map[string]Worker
	exact         map[uint64]*patternRoutes
	prefixLengths []int // of the prefixes, longest first
	prefixes      [keyDigits]map[uint64]*patternRoutes
	patterns      *patternSet
	tenants       []string // that routes name
}

// patternRoutes holds the rules of one pattern.
type patternRoutes struct {
	byTenant  map[string]*classFrontRoutes
	anyTenant *classFrontRoutes
}

// classFrontRoutes holds the routes of one pattern and tenant by class and front, as the rules give them and as the
// precedence of a class over a front resolves them.
type classFrontRoutes struct {
	declared []int32 // (class + 1) x (front + 1), 0 for any; the route, or -1
	resolved []int32 // class x front
}

// matchRule is one combination of what a route names.
type matchRule struct {
	pattern Pattern
	tenant  string
	class   int // -1: any
	front   Front
	route   int
}

// AmbiguousRoutesError tells of two routes that match the same calls with the same precedence.
type AmbiguousRoutesError struct{ First, Second RouteSpec }

// Error names both.
func (a *AmbiguousRoutesError) Error() string {
	return fmt.Sprintf("route %q matches the same calls as route %q at %s, and neither is the closer match", a.Second.Name, a.First.Name, a.First.At)
}

// Compile makes a table for calls of these classes out of a spec. Of the routes that match a call the one with
// the closest match is taken: first by function (exact, then the longest prefix), then one that names the
// tenant, then one that names the class, then one that names the front. The order in the files has no effect.
func Compile(s *Spec, classes []string) (*Table, error) {
	t := &Table{classes: classes, staticWorkers: map[string]Worker{}, exact: map[uint64]*patternRoutes{}}
	for _, c := range classes {
		t.notIdempotent = append(t.notIdempotent, slices.Contains(s.NotIdempotentClasses, c))
	}
	for _, w := range s.Workers {
		t.staticWorkers[w.Name] = w
	}
	pools, err := compilePools(s.Pools, cmp.Or(s.LoadWindow, overflowWindow))
	if err != nil {
		return nil, err
	}
	t.pools = slices.SortedFunc(maps.Values(pools), func(a, b *Pool) int { return strings.Compare(a.Spec.Name, b.Spec.Name) })
	policies := map[string]PolicySpec{}
	for _, p := range s.Policies {
		policies[p.Name] = p
	}
	var named []Pattern
	tenants := map[string]bool{}
	for i, r := range s.Routes {
		c := &Route{Spec: r, Policy: NoPolicy}
		if r.Policy != "" {
			p, ok := policies[r.Policy]
			if !ok {
				return nil, fmt.Errorf("route %q: no policy %q", r.Name, r.Policy)
			}
			c.Policy = p
		}
		if r.Pool != "" {
			if c.Pool = pools[r.Pool]; c.Pool == nil {
				return nil, fmt.Errorf("route %q: no pool %q", r.Name, r.Pool)
			}
			c.requestPolicy, c.notIdempotentPolicy = c.Policy.requestPolicy(), c.Policy.Effective(true).requestPolicy()
			c.requestPolicy.Pool, c.notIdempotentPolicy.Pool = c.Pool, c.Pool
		}
		t.routes = append(t.routes, c)
		for _, k := range r.matchRules(classes, i) {
			if first := t.addRule(k); first >= 0 && first != i {
				return nil, &AmbiguousRoutesError{s.Routes[first], r}
			}
			named = append(named, k.pattern)
			if k.tenant != "" {
				tenants[k.tenant] = true
			}
		}
	}
	t.patterns = newPatternSet(named)
	t.tenants = slices.Sorted(maps.Keys(tenants))
	for n := keyDigits - 1; n >= 0; n-- {
		if t.prefixes[n] != nil {
			t.prefixLengths = append(t.prefixLengths, n)
		}
	}
	t.forEachPattern(func(b *patternRoutes) {
		for _, g := range b.byTenant {
			g.resolve(len(classes))
		}
		b.anyTenant.resolve(len(classes))
	})
	return t, nil
}

// requestPolicy words a policy for the decision module.
func (p PolicySpec) requestPolicy() policy.RequestPolicy {
	return policy.RequestPolicy{MaxAttempts: max(p.MaxAttempts, 0), RetriesAfterPossibleRun: p.RetriesAfterPossibleRun, RetriesAfterProvenNoRun: p.RetriesAfterProvenNoRun,
		AttemptTimeout: p.AttemptTimeout, HedgeDelay: p.HedgeDelay, LatencyObjective: p.LatencyObjective}
}

// matchRules spells a route out.
func (r RouteSpec) matchRules(classes []string, index int) (list []matchRule) {
	all, none, fronts := r.Functions, r.Tenants, r.Fronts
	if len(all) == 0 {
		all = []Pattern{{}}
	}
	if len(none) == 0 {
		none = []string{""}
	}
	if len(fronts) == 0 {
		fronts = []Front{frontCount}
	}
	var numbers []int
	for _, c := range r.Classes {
		if i := slices.Index(classes, c); i >= 0 {
			numbers = append(numbers, i)
		}
	}
	if len(r.Classes) == 0 {
		numbers = []int{-1}
	}
	for _, p := range all {
		for _, tenant := range none {
			for _, c := range numbers {
				for _, f := range fronts {
					list = append(list, matchRule{pattern: p, tenant: tenant, class: c, front: f, route: index})
				}
			}
		}
	}
	return list
}

// addRule puts a rule in its place and returns the route that had it, or -1.
func (t *Table) addRule(k matchRule) int {
	m := &t.exact
	if k.pattern.Digits < keyDigits {
		m = &t.prefixes[k.pattern.Digits]
		if *m == nil {
			*m = map[uint64]*patternRoutes{}
		}
	}
	b := (*m)[k.pattern.Prefix]
	if b == nil {
		b = &patternRoutes{byTenant: map[string]*classFrontRoutes{}, anyTenant: newClassFrontRoutes(len(t.classes))}
		(*m)[k.pattern.Prefix] = b
	}
	g := b.anyTenant
	if k.tenant != "" {
		if g = b.byTenant[k.tenant]; g == nil {
			g = newClassFrontRoutes(len(t.classes))
			b.byTenant[k.tenant] = g
		}
	}
	at := &g.declared[(k.class+1)*(int(frontCount)+1)+(int(k.front)+1)%(int(frontCount)+1)]
	before := int(*at)
	*at = int32(k.route)
	return before
}

func newClassFrontRoutes(classes int) *classFrontRoutes {
	g := &classFrontRoutes{declared: make([]int32, (classes+1)*(int(frontCount)+1))}
	for i := range g.declared {
		g.declared[i] = -1
	}
	return g
}

// resolve fills in what each class, and one that the table does not list, gets by each front.
func (g *classFrontRoutes) resolve(classes int) {
	const w = int(frontCount) + 1
	g.resolved = make([]int32, (classes+1)*int(frontCount))
	for c := range classes + 1 {
		row := (c + 1) * w
		if c == classes {
			row = 0 // only what names no class fits
		}
		for f := range int(frontCount) {
			r := int32(-1)
			for _, at := range []int{row + f + 1, row, f + 1, 0} {
				if r < 0 {
					r = g.declared[at]
				}
			}
			g.resolved[c*int(frontCount)+f] = r
		}
	}
}

func (t *Table) forEachPattern(f func(*patternRoutes)) {
	for _, b := range t.exact {
		f(b)
	}
	for _, m := range t.prefixes {
		for _, b := range m {
			f(b)
		}
	}
}

// Match returns the route of a call, or nil where none matches.
func (t *Table) Match(c Request) *Route {
	at := min(c.Class, len(t.classes))*int(frontCount) + int(c.Front)
	if b := t.exact[c.Function]; b != nil {
		if r := b.match(c.Tenant, at); r >= 0 {
			return t.routes[r]
		}
	}
	for _, n := range t.prefixLengths {
		if b := t.prefixes[n][c.Function&(Pattern{Digits: n}).mask()]; b != nil {
			if r := b.match(c.Tenant, at); r >= 0 {
				return t.routes[r]
			}
		}
	}
	return nil
}

func (b *patternRoutes) match(tenant string, at int) int32 {
	if tenant != "" {
		if g := b.byTenant[tenant]; g != nil && g.resolved[at] >= 0 {
			return g.resolved[at]
		}
	}
	return b.anyTenant.resolved[at]
}

// StaticWorker returns what the files say of a worker, for one of that name.
func (t *Table) StaticWorker(name string) (Worker, bool) {
	w, ok := t.staticWorkers[name]
	return w, ok
}

// RequestPolicy returns what a route tightens for calls of a class.
func (t *Table) RequestPolicy(r *Route, class int) *policy.RequestPolicy {
	if class < len(t.notIdempotent) && t.notIdempotent[class] {
		return &r.notIdempotentPolicy
	}
	return &r.requestPolicy
}

// Pools returns the pools by name.
func (t *Table) Pools() []*Pool { return t.pools }

// Routes returns the routes in the order of the spec.
func (t *Table) Routes() []*Route { return t.routes }

// Classes returns the names that a call's class counts in.
func (t *Table) Classes() []string { return t.classes }

// Reachable returns for each route by which classes some call takes it; the last one stands for classes that
// the table does not list.
func (t *Table) Reachable() [][]bool {
	reached := make([][]bool, len(t.routes))
	for i, r := range t.routes {
		reached[i] = make([]bool, len(t.classes)+1)
		for _, k := range r.Spec.matchRules(t.classes, i) {
			for _, key := range t.patterns.representatives(k.pattern) {
				for f := range frontCount {
					if k.front != frontCount && f != k.front || f == Thrift && k.tenant != "" {
						continue
					}
					for c := range len(t.classes) + 1 {
						if (k.class < 0 || c == k.class) && !reached[i][c] && t.Match(Request{f, c, key, k.tenant}) == r {
							reached[i][c] = true
						}
					}
				}
			}
		}
	}
	return reached
}

// representatives returns functions of p, such that a route of p that takes any function takes one of them.
func (ps *patternSet) representatives(p Pattern) (keys []uint64) {
	if key, ok := ps.functionOf(p); ok {
		return []uint64{key} // whatever matches it matches all others of p too
	}
	for _, q := range ps.outermostWithin(p, func(Pattern) bool { return true }) {
		keys = append(keys, ps.representatives(q)...)
	}
	return keys
}

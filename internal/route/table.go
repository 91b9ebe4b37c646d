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
	Spec   RouteSpec
	Policy PolicySpec
	Pool   *Pool // nil: its calls are refused
	terms  policy.RequestPolicy
	strict policy.RequestPolicy // for classes that must never run twice
}

// Table finds the route of a call. Looking up allocates nothing.
type Table struct {
	classes []string // a call's class beyond them is some other one
	once    []bool   // by class: must never run twice
	routes  []*Route
	pools   []*Pool // by name
	labels  map[string]Worker
	exact   map[uint64]*bucket
	lengths []int // of the prefixes, longest first
	prefix  [keyDigits]map[uint64]*bucket
	seen    *patterns
	tenants []string // that routes name
}

// bucket holds the rules of one pattern.
type bucket struct {
	tenants map[string]*grid
	any     *grid
}

// grid holds the routes of one pattern and tenant by class and front, as the rules give them and as the
// precedence of a class over a front resolves them.
type grid struct {
	given    []int32 // (class + 1) x (front + 1), 0 for any; the route, or -1
	resolved []int32 // class x front
}

// rule is one combination of what a route names.
type rule struct {
	pattern Pattern
	tenant  string
	class   int // -1: any
	front   Front
	route   int
}

// Ambiguous tells of two routes that match the same calls with the same precedence.
type Ambiguous struct{ First, Second RouteSpec }

// Error names both.
func (a *Ambiguous) Error() string {
	return fmt.Sprintf("route %q matches the same calls as route %q at %s, and neither is the closer match", a.Second.Name, a.First.Name, a.First.At)
}

// Compile makes a table for calls of these classes out of a spec. Of the routes that match a call the one with
// the closest match is taken: first by function (exact, then the longest prefix), then one that names the
// tenant, then one that names the class, then one that names the front. The order in the files has no effect.
func Compile(s *Spec, classes []string) (*Table, error) {
	t := &Table{classes: classes, labels: map[string]Worker{}, exact: map[uint64]*bucket{}}
	for _, c := range classes {
		t.once = append(t.once, slices.Contains(s.NotIdempotentClasses, c))
	}
	for _, w := range s.Workers {
		t.labels[w.Name] = w
	}
	pools, err := compilePools(s.Pools, cmp.Or(s.LoadWindow, spillSpan))
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
			c.terms, c.strict = c.Policy.terms(), c.Policy.Effective(true).terms()
			c.terms.Pool, c.strict.Pool = c.Pool, c.Pool
		}
		t.routes = append(t.routes, c)
		for _, k := range r.rules(classes, i) {
			if first := t.add(k); first >= 0 && first != i {
				return nil, &Ambiguous{s.Routes[first], r}
			}
			named = append(named, k.pattern)
			if k.tenant != "" {
				tenants[k.tenant] = true
			}
		}
	}
	t.seen = newPatterns(named)
	t.tenants = slices.Sorted(maps.Keys(tenants))
	for n := keyDigits - 1; n >= 0; n-- {
		if t.prefix[n] != nil {
			t.lengths = append(t.lengths, n)
		}
	}
	t.each(func(b *bucket) {
		for _, g := range b.tenants {
			g.resolve(len(classes))
		}
		b.any.resolve(len(classes))
	})
	return t, nil
}

// terms words a policy for the decision module.
func (p PolicySpec) terms() policy.RequestPolicy {
	return policy.RequestPolicy{MaxAttempts: max(p.MaxAttempts, 0), RetriesAfterPossibleRun: p.RetriesAfterPossibleRun, RetriesAfterProvenNoRun: p.RetriesAfterProvenNoRun,
		AttemptTimeout: p.AttemptTimeout, HedgeDelay: p.HedgeDelay, LatencyObjective: p.LatencyObjective}
}

// rules spells a route out.
func (r RouteSpec) rules(classes []string, index int) (list []rule) {
	all, none, fronts := r.Functions, r.Tenants, r.Fronts
	if len(all) == 0 {
		all = []Pattern{{}}
	}
	if len(none) == 0 {
		none = []string{""}
	}
	if len(fronts) == 0 {
		fronts = []Front{Fronts}
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
					list = append(list, rule{pattern: p, tenant: tenant, class: c, front: f, route: index})
				}
			}
		}
	}
	return list
}

// add puts a rule in its place and returns the route that had it, or -1.
func (t *Table) add(k rule) int {
	m := &t.exact
	if k.pattern.Digits < keyDigits {
		m = &t.prefix[k.pattern.Digits]
		if *m == nil {
			*m = map[uint64]*bucket{}
		}
	}
	b := (*m)[k.pattern.Prefix]
	if b == nil {
		b = &bucket{tenants: map[string]*grid{}, any: newGrid(len(t.classes))}
		(*m)[k.pattern.Prefix] = b
	}
	g := b.any
	if k.tenant != "" {
		if g = b.tenants[k.tenant]; g == nil {
			g = newGrid(len(t.classes))
			b.tenants[k.tenant] = g
		}
	}
	at := &g.given[(k.class+1)*(int(Fronts)+1)+(int(k.front)+1)%(int(Fronts)+1)]
	before := int(*at)
	*at = int32(k.route)
	return before
}

func newGrid(classes int) *grid {
	g := &grid{given: make([]int32, (classes+1)*(int(Fronts)+1))}
	for i := range g.given {
		g.given[i] = -1
	}
	return g
}

// resolve fills in what each class, and one that the table does not list, gets by each front.
func (g *grid) resolve(classes int) {
	const w = int(Fronts) + 1
	g.resolved = make([]int32, (classes+1)*int(Fronts))
	for c := range classes + 1 {
		row := (c + 1) * w
		if c == classes {
			row = 0 // only what names no class fits
		}
		for f := range int(Fronts) {
			r := int32(-1)
			for _, at := range []int{row + f + 1, row, f + 1, 0} {
				if r < 0 {
					r = g.given[at]
				}
			}
			g.resolved[c*int(Fronts)+f] = r
		}
	}
}

func (t *Table) each(f func(*bucket)) {
	for _, b := range t.exact {
		f(b)
	}
	for _, m := range t.prefix {
		for _, b := range m {
			f(b)
		}
	}
}

// Match returns the route of a call, or nil where none matches.
func (t *Table) Match(c Request) *Route {
	at := min(c.Class, len(t.classes))*int(Fronts) + int(c.Front)
	if b := t.exact[c.Function]; b != nil {
		if r := b.match(c.Tenant, at); r >= 0 {
			return t.routes[r]
		}
	}
	for _, n := range t.lengths {
		if b := t.prefix[n][c.Function&(Pattern{Digits: n}).mask()]; b != nil {
			if r := b.match(c.Tenant, at); r >= 0 {
				return t.routes[r]
			}
		}
	}
	return nil
}

func (b *bucket) match(tenant string, at int) int32 {
	if tenant != "" {
		if g := b.tenants[tenant]; g != nil && g.resolved[at] >= 0 {
			return g.resolved[at]
		}
	}
	return b.any.resolved[at]
}

// StaticWorker returns what the files say of a worker, for one of that name.
func (t *Table) StaticWorker(name string) (Worker, bool) {
	w, ok := t.labels[name]
	return w, ok
}

// RequestPolicy returns what a route tightens for calls of a class.
func (t *Table) RequestPolicy(r *Route, class int) *policy.RequestPolicy {
	if class < len(t.once) && t.once[class] {
		return &r.strict
	}
	return &r.terms
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
		for _, k := range r.Spec.rules(t.classes, i) {
			for _, key := range t.seen.representatives(k.pattern) {
				for f := range Fronts {
					if k.front != Fronts && f != k.front || f == Thrift && k.tenant != "" {
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
func (ps *patterns) representatives(p Pattern) (keys []uint64) {
	if key, ok := ps.rest(p); ok {
		return []uint64{key} // whatever matches it matches all others of p too
	}
	for _, q := range ps.below(p, func(Pattern) bool { return true }) {
		keys = append(keys, ps.representatives(q)...)
	}
	return keys
}

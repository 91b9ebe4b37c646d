package route

import "crankhold/policy"

// Request is what a route is chosen by.
type Request struct {
	Front    Front
	Class    int // index into Table.Classes; beyond it: a class that the table does not list
	Function uint64
	Tenant   string // "": none was named
}

// Route is a route of a table.
type Route struct {
	Spec                RouteSpec
	Policy              PolicySpec
	Pool                *Pool // nil: its requests are rejected
	requestPolicy       policy.RequestPolicy
	notIdempotentPolicy policy.RequestPolicy // for classes that must never run twice
}

// Table finds the route of a request. A look-up allocates nothing.
type Table struct {
	classes       []string
	notIdempotent []bool // by class
	routes        []*Route
	pools         []*Pool           // sorted by name
	staticWorkers map[string]Worker // by name
	exact         map[uint64]*patternRoutes
	prefixes      [functionDigits]map[uint64]*patternRoutes // by number of digits
	prefixLengths []int                                     // numbers of digits that occur in prefixes, longest first
	patterns      *patternSet                               // of all routes
	tenants       []string                                  // that routes name, sorted
}

// Match returns the route of a request, or nil where none matches.
func (t *Table) Match(r Request) *Route {
	index := resolvedIndex(min(r.Class, len(t.classes)), r.Front)
	if routes := t.exact[r.Function]; routes != nil {
		if route := routes.match(r.Tenant, index); route != noRoute {
			return t.routes[route]
		}
	}
	for _, digits := range t.prefixLengths {
		prefix := r.Function & prefixMask(digits)
		routes := t.prefixes[digits][prefix]
		if routes == nil {
			continue
		}
		if route := routes.match(r.Tenant, index); route != noRoute {
			return t.routes[route]
		}
	}
	return nil
}

// RequestPolicy returns what a route tightens for requests of a class.
func (t *Table) RequestPolicy(r *Route, class int) *policy.RequestPolicy {
	if class < len(t.notIdempotent) && t.notIdempotent[class] {
		return &r.notIdempotentPolicy
	}
	return &r.requestPolicy
}

// StaticWorker returns what the configuration says of the worker of that name.
func (t *Table) StaticWorker(name string) (Worker, bool) {
	w, ok := t.staticWorkers[name]
	return w, ok
}

// Pools returns the pools sorted by name.
func (t *Table) Pools() []*Pool { return t.pools }

// Routes returns the routes in the order of the spec.
func (t *Table) Routes() []*Route { return t.routes }

// Classes returns the names of the classes that Request.Class counts in.
func (t *Table) Classes() []string { return t.classes }

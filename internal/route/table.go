package route

import "crankhold/policy"

// Request is what of a request its route depends on.
type Request struct {
	Front    Front
	Class    int    // index into Table.Classes; beyond it: a class that the table does not list
	Function uint64 // key of the function
	Tenant   string // "": the request names none
}

// Route is a route of a table, joined to its pool and its policy.
type Route struct {
	Spec                RouteSpec
	Policy              PolicySpec
	Pool                *Pool // nil: its requests are rejected
	requestPolicy       policy.RequestPolicy
	notIdempotentPolicy policy.RequestPolicy // for classes that must never run twice
}

// Table has the routes and the pools of a configuration, and finds the route of a request. Its routes never change; its
// pools count, and are owned by the event loop.
type Table struct {
	classes       []string          // that Request.Class counts in
	notIdempotent []bool            // by class
	routes        []*Route          // in the order of the spec
	pools         []*Pool           // sorted by name
	staticWorkers map[string]Worker // by name
	matcher       *matcher
	patterns      *patternSet // of all routes
	tenants       []string    // that routes name, sorted
}

// Match returns the route of a request, or nil where none matches. It allocates nothing.
func (t *Table) Match(r Request) *Route {
	route := t.matcher.match(r)
	if route == noRoute {
		return nil
	}
	return t.routes[route]
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

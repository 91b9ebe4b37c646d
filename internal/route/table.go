package route

import (
	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// Request holds the properties of a request that determine its route.
type Request struct {
	Front    Front
	Class    int    // index into Table.Classes; beyond the end: a class that the table does not list
	Function uint64 // key of the function
	Tenant   string // "": the request names none
}

// Route is a route of a table with its pool and its policy.
type Route struct {
	Spec                RouteSpec
	Policy              PolicySpec
	Pool                *Pool // nil: the route rejects its requests
	requestPolicy       policy.RequestPolicy
	notIdempotentPolicy policy.RequestPolicy // for classes that must never run twice
}

// Table holds the routes and the pools of a configuration, and finds the route of a request. Its routes never change.
// The pools hold counters, so the event loop owns them.
type Table struct {
	classes       []string // indexed by Request.Class
	notIdempotent []bool   // by class
	routes        []*Route // in the order of the spec
	pools         []*Pool  // sorted by name
	staticWorkers map[endpoint.NameKey]Worker
	matcher       *matcher
	patterns      *patternSet // of all routes
	tenants       []string    // that routes name, sorted
	maxBytes      int         // Spec.MaxBytes
}

// Match returns the route of a request, or nil if none matches. It allocates nothing.
func (t *Table) Match(r Request) *Route {
	return t.routeAt(t.matcher.match(r))
}

// routeAt returns the route at an index, or nil for noRoute.
func (t *Table) routeAt(index routeIndex) *Route {
	if index == noRoute {
		return nil
	}
	return t.routes[index]
}

// RequestPolicy returns the policy that a route applies to requests of a class.
func (t *Table) RequestPolicy(r *Route, class int) *policy.RequestPolicy {
	if class < len(t.notIdempotent) && t.notIdempotent[class] {
		return &r.notIdempotentPolicy
	}
	return &r.requestPolicy
}

// StaticWorker returns the configuration's entry for the worker of that name, and whether there is one.
func (t *Table) StaticWorker(name string) (Worker, bool) {
	w, ok := t.staticWorkers[endpoint.KeyOf(name)]
	return w, ok
}

// Pools returns the pools sorted by name.
func (t *Table) Pools() []*Pool { return t.pools }

// Routes returns the routes in the order of the spec.
func (t *Table) Routes() []*Route { return t.routes }

// Classes returns the names of the classes, indexed by Request.Class.
func (t *Table) Classes() []string { return t.classes }

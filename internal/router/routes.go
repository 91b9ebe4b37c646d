package router

import (
	"crankhold/internal/route"
	"crankhold/policy"
)

// SetRouteWorkers sets the workers from which the pools of the route table are formed, now and after each SetRoutes.
func (c *Core) SetRouteWorkers(list []route.Worker) {
	c.routeWorkers = list
	if c.routes != nil {
		c.routes.SetWorkers(list)
	}
}

// SetRoutes has requests routed by t from now on; those that are open end under the table that they began with. With
// nil every request may go to every worker.
func (c *Core) SetRoutes(t *route.Table) {
	if c.routes != nil && t != nil {
		t.CarryOver(c.routes)
	}
	c.routes = t
	if t != nil {
		t.SetWorkers(c.routeWorkers)
	}
}

// Routes returns the route table in force, or nil.
func (c *Core) Routes() *route.Table { return c.routes }

// route returns what the route table tightens for a request, nil where there is no table. It returns false where no
// route matches the request, or one that rejects it.
func (c *Core) route(front Front, tenant string, class int, function policy.FunctionID) (*policy.RequestPolicy, bool) {
	if c.routes == nil {
		return nil, true
	}
	request := route.Request{Front: route.Front(front), Class: class, Function: uint64(function)}
	if front == Webhook {
		// Routes see tenants of webhooks only, as the routes language promises: a tenant that arrives by Thrift counts
		// for its quota alone.
		request.Tenant = tenant
	}
	matched := c.routes.Match(request)
	if matched == nil || matched.Pool == nil {
		return nil, false
	}
	matched.Pool.RequestRouted(c.now)
	return c.routes.RequestPolicy(matched, class), true
}

package router

import (
	"time"

	"crankhold/internal/route"
	"crankhold/policy"
)

// routing owns the route table in force and the workers of its pools. It belongs to the core's goroutine.
type routing struct {
	table   *route.Table   // nil if every request may go to every worker
	workers []route.Worker // from which the pools of each table are selected
}

// setWorkers sets the workers from which the pools of this table and of later tables are selected.
func (r *routing) setWorkers(workers []route.Worker) {
	r.workers = workers
	if r.table != nil {
		r.table.SetWorkers(workers)
	}
}

// setTable replaces the table. The pools of the new table continue with the counters of the pools that they replace.
func (r *routing) setTable(table *route.Table) {
	if r.table != nil && table != nil {
		table.CarryOver(r.table)
	}
	r.table = table
	if table != nil {
		table.SetWorkers(r.workers)
	}
}

// route returns the limits that the route table sets for a request, or nil if there is no table. It returns false if no
// route matches the request, or if the route that matches rejects it.
func (r *routing) route(request *Request, now time.Duration) (*policy.RequestPolicy, bool) {
	if r.table == nil {
		return nil, true
	}
	key := route.Request{
		Front:    route.Front(request.Front),
		Class:    request.Class,
		Function: uint64(request.Function.ID),
	}
	if request.Front == Webhook {
		// The routes language specifies that routes match only the tenants of webhooks. The tenant of a Thrift request
		// is used for its quota only.
		key.Tenant = request.Tenant
	}
	matched := r.table.Match(key)
	if matched == nil || matched.Pool == nil {
		return nil, false
	}
	matched.Pool.RequestRouted(now)
	return r.table.RequestPolicy(matched, request.Class), true
}

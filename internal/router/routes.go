package router

import (
	"time"

	"crankhold/internal/route"
	"crankhold/policy"
)

// routing owns the route table in force and what its pools are formed from. It belongs to the core's goroutine.
type routing struct {
	table   *route.Table   // nil: every request may go to every worker
	workers []route.Worker // from which the pools of each table are formed
}

// setWorkers forms the pools of the table anew, and those of later tables.
func (r *routing) setWorkers(workers []route.Worker) {
	r.workers = workers
	if r.table != nil {
		r.table.SetWorkers(workers)
	}
}

// setTable replaces the table. Counters are carried over by name.
func (r *routing) setTable(table *route.Table) {
	if r.table != nil && table != nil {
		table.CarryOver(r.table)
	}
	r.table = table
	if table != nil {
		table.SetWorkers(r.workers)
	}
}

// route returns what the route table tightens for a request, nil where there is no table. It returns false where no
// route matches the request, or one that rejects it.
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
		// Routes see tenants of webhooks only, as the routes language promises: a tenant that arrives by Thrift counts
		// for its quota alone.
		key.Tenant = request.Tenant
	}
	matched := r.table.Match(key)
	if matched == nil || matched.Pool == nil {
		return nil, false
	}
	matched.Pool.RequestRouted(now)
	return r.table.RequestPolicy(matched, request.Class), true
}

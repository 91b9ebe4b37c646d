package router

import (
	"time"

	"crankhold/internal/route"
	"crankhold/policy"
)

// idleInterval is how long Process may go uncalled where no timer is set.
const idleInterval = time.Hour

// Limits bounds a Core.
type Limits struct {
	MaxConcurrentRequests int           // requests that are open at the same time
	MaxBytes              int           // bytes in the bodies of all open requests together
	RetryAfter            time.Duration // Retry-After of requests that the core rejects itself; 0 for none
	MaxAttempts           int           // attempts of one request; 0 for no limit
	LoadTimeout           time.Duration // a load that is not answered within it has timed out
	HealthCheckTimeout    time.Duration // a health check that is not answered within it has timed out
}

// Config is what a Core is made from, beside the decision module.
type Config struct {
	// Limits bounds the core.
	Limits Limits
	// Tenants are the tenants' names, in the order of policy.Config.Tenants.
	Tenants []string
	// NewWorkerClient returns the client that carries messages to workers. New calls it once, with the core that the
	// client notifies of its results. It must not call the core.
	NewWorkerClient func(core *Core) WorkerClient
	// OnCompleted is called once for each request that was handed in, when it completes. It may be nil.
	OnCompleted func(now time.Duration, r *Request, completion Completion)
}

// Core is the function router. It passes what happens to the part that it concerns, hands the events that follow to the
// decision module, and has the parts carry out the module's actions. It belongs to one goroutine and is not safe for
// concurrent use.
type Core struct {
	policy  *policy.Policy
	events  eventQueue
	actions []policy.Action // reused by each batch

	timers   timerQueue
	routing  routing
	requests requestTracker
	commands commandTracker

	// Counters counts what the core has accepted, sent and completed.
	Counters Counters
}

// New returns a Core that acts on the decisions of p.
func New(p *policy.Policy, config Config) *Core {
	c := &Core{policy: p, timers: newTimerQueue()}
	workers := config.NewWorkerClient(c)
	c.requests = requestTracker{
		limits:      config.Limits,
		tenants:     tenantIndexes(config.Tenants),
		onCompleted: config.OnCompleted,
		workers:     workers,
		routing:     &c.routing,
		timers:      &c.timers,
		events:      &c.events,
		counters:    &c.Counters,
		table:       newRequestTable(),
	}
	c.commands = commandTracker{
		limits:   config.Limits,
		workers:  workers,
		timers:   &c.timers,
		events:   &c.events,
		counters: &c.Counters,
		pending:  map[uint64]*pendingCommand{},
	}
	return c
}

// SetNow moves the core's clock forward, before the events of a turn of the event loop are handed in. A time before
// the present one changes nothing.
func (c *Core) SetNow(now time.Duration) { c.timers.setNow(now) }

// Accept hands in a request and returns its identifier in the core, or 0 where the core responded at once and does
// not track it. The response may be given before Accept returns.
func (c *Core) Accept(now time.Duration, r Request) policy.RequestID {
	c.SetNow(now)
	return c.requests.accept(r)
}

// RejectUnaccepted rejects a request for want of capacity of a front. The decision module does not see it.
func (c *Core) RejectUnaccepted(now time.Duration, r Request) {
	c.SetNow(now)
	c.requests.rejectAtCapacity(r)
}

// CancelRequest notifies the core that the client no longer waits for a request. It gets no response.
func (c *Core) CancelRequest(now time.Duration, id policy.RequestID) {
	c.SetNow(now)
	c.requests.cancel(id)
}

// RejectNew has the core reject every request from now on, because the program is about to exit: it can't while clients
// go on sending.
func (c *Core) RejectNew() { c.requests.rejectNew = true }

// EndOpenRequests gives each open request its final response now, as its deadline would. It is for a program that is
// about to end.
func (c *Core) EndOpenRequests() { c.requests.completeOpenRequests() }

// OpenRequests returns the number of requests that are owed a response.
func (c *Core) OpenRequests() int { return c.requests.table.openCount }

// AttemptCompleted notifies the core of how an attempt ended. It ignores an attempt that has ended already.
func (c *Core) AttemptCompleted(a Attempt, result AttemptResult) {
	c.requests.attemptCompleted(a, result)
}

// LoadCompleted notifies the core of how a load ended, and of how many replicas of its function the worker holds. It
// ignores a load that has ended already.
func (c *Core) LoadCompleted(commandID uint64, outcome policy.Outcome, count int) {
	c.commands.loadCompleted(commandID, outcome, count)
}

// MaySendLoad reports whether a load that waited for a connection may be sent now.
func (c *Core) MaySendLoad(commandID uint64) bool {
	return c.commands.isPendingLoad(commandID) && c.policy.MayStillLoad(c.timers.now)
}

// HealthCheckCompleted notifies the core of how a health check ended, with the worker's load report in the order of
// policy.Config.LoadReportFields. It ignores a health check that has ended already.
func (c *Core) HealthCheckCompleted(commandID uint64, outcome policy.Outcome, report []float64) {
	c.commands.healthCheckCompleted(commandID, outcome, report)
}

// SetEndpoints hands in the endpoint list, or a change of it.
func (c *Core) SetEndpoints(l policy.EndpointList) { c.events.add(l) }

// SetRouteWorkers sets the workers from which the pools of the route table are formed, now and after each SetRoutes.
func (c *Core) SetRouteWorkers(list []route.Worker) { c.routing.setWorkers(list) }

// SetRoutes has requests routed by t from now on; those that are open end under the table that they began with. With
// nil every request may go to every worker.
func (c *Core) SetRoutes(t *route.Table) { c.routing.setTable(t) }

// Routes returns the route table in force, or nil.
func (c *Core) Routes() *route.Table { return c.routing.table }

package router

import (
	"time"

	"crankhold/internal/route"
	"crankhold/policy"
)

// idleInterval is the time until the next call of Process if no timer is set.
const idleInterval = time.Hour

// Limits bounds the requests, attempts and commands of a Core.
type Limits struct {
	MaxConcurrentRequests int           // requests that are open at the same time
	MaxBytes              int           // total size of the bodies of all open requests
	RetryAfter            time.Duration // Retry-After of requests that the core itself rejects; 0 for none
	MaxAttempts           int           // attempts of one request; 0 for no limit
	LoadTimeout           time.Duration // time in which a worker must respond to a load command
	HealthCheckTimeout    time.Duration // time in which a worker must respond to a health check
	MaxSpentIDs           int           // remembered IDs of requests that must not run again; 0: no limit
}

// Config configures a Core.
type Config struct {
	// Limits are the limits of the core.
	Limits Limits
	// Tenants are the tenants' names, in the order of policy.Config.Tenants.
	Tenants []string
	// RunOnce tells, by class, whether a request that may have run must not run again under its ID. Requests of
	// classes beyond its end may.
	RunOnce []bool
	// NewWorkerClient returns the client that sends messages to workers. New calls it once, with the core to which the
	// client reports its results. NewWorkerClient must not call methods of the core.
	NewWorkerClient func(core *Core) WorkerClient
	// OnCompleted is called once for each request that was passed to the core, when the request completes. It may be
	// nil.
	OnCompleted func(now time.Duration, r *Request, completion Completion)
}

// Core is the function router. It passes requests and results to the component that handles them, passes the resulting
// events to the decision module, and lets its components execute the module's actions. It belongs to one goroutine and
// is not safe for concurrent use.
type Core struct {
	policy  *policy.Policy
	events  eventQueue
	actions []policy.Action // of the current batch of events; the memory is reused for each batch

	timers   timerQueue
	routing  routing
	requests requestTracker
	commands commandTracker

	// Counters counts what the core has accepted, sent and completed.
	Counters Counters
}

// New returns a Core that executes the decisions of p.
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
		runOnce:     config.RunOnce,
		spent:       newSpentIDs(config.Limits.MaxSpentIDs),
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

// SetNow advances the core's clock. The event loop calls it before it passes the events of a turn to the core. A time
// earlier than the current one has no effect.
func (c *Core) SetNow(now time.Duration) { c.timers.setNow(now) }

// Accept passes a request to the core and returns the core's identifier of it, or 0 if the core responded at once and
// does not track the request. The core may respond before Accept returns.
func (c *Core) Accept(now time.Duration, r Request) policy.RequestID {
	c.SetNow(now)
	return c.requests.accept(r)
}

// RejectAtCapacity rejects a request because a front has no capacity for it. The decision module does not see it.
func (c *Core) RejectAtCapacity(now time.Duration, r Request) {
	c.SetNow(now)
	c.requests.rejectAtCapacity(r)
}

// CancelRequest cancels a request because its client no longer waits for the response. The core gives it no response.
func (c *Core) CancelRequest(now time.Duration, id policy.RequestID) {
	c.SetNow(now)
	c.requests.cancel(id)
}

// RejectNewRequests makes the core reject all further requests. It is called before the process exits, because the
// process cannot exit while clients keep sending requests.
func (c *Core) RejectNewRequests() { c.requests.rejectNew = true }

// CompleteOpenRequests completes each open request now, with the response that it would get at its deadline. It is
// called before the process exits.
func (c *Core) CompleteOpenRequests() { c.requests.completeOpenRequests() }

// OpenRequests returns the number of requests without a final response.
func (c *Core) OpenRequests() int { return c.requests.table.openCount }

// AttemptCompleted reports the result of an attempt. It does nothing if the attempt has already completed.
func (c *Core) AttemptCompleted(a Attempt, result AttemptResult) {
	c.requests.attemptCompleted(a, result)
}

// LoadCompleted reports the outcome of a load command, and the number of replicas of its function at the worker. It
// does nothing if the command has already completed.
func (c *Core) LoadCompleted(commandID uint64, outcome policy.Outcome, count int) {
	c.commands.loadCompleted(commandID, outcome, count)
}

// MaySendLoad reports whether a load command that waited for a connection may be sent now.
func (c *Core) MaySendLoad(commandID uint64) bool {
	return c.commands.isPendingLoad(commandID) && c.policy.AllowsQueuedLoad(c.timers.now)
}

// HealthCheckCompleted reports the outcome of a health check, and the worker's load report in the order of
// policy.Config.LoadReportFields. It does nothing if the health check has already completed.
func (c *Core) HealthCheckCompleted(commandID uint64, outcome policy.Outcome, report []float64) {
	c.commands.healthCheckCompleted(commandID, outcome, report)
}

// TableCounters returns the counters of the decision module's tables.
func (c *Core) TableCounters() policy.TableCounters { return c.policy.TableCounters() }

// SpentIDs returns how many IDs are remembered because their requests must not run again, and how many were forgotten
// because there were too many.
func (c *Core) SpentIDs() (remembered int, evicted uint64) {
	return len(c.requests.spent.hashes), c.requests.spent.evicted
}

// SetEndpoints passes the endpoint list, or a change of it, to the decision module.
func (c *Core) SetEndpoints(l policy.EndpointList) { c.events.add(l) }

// SetRouteWorkers sets the workers from which the route table in force, and each later one, selects its pools.
func (c *Core) SetRouteWorkers(list []route.Worker) { c.routing.setWorkers(list) }

// SetRoutes routes new requests by t. Open requests keep the table by which they were routed. If t is nil, every
// request may go to every worker.
func (c *Core) SetRoutes(t *route.Table) { c.routing.setTable(t) }

// Routes returns the route table in force, or nil.
func (c *Core) Routes() *route.Table { return c.routing.table }

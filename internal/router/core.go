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
	// NewWorkerClient returns the client that carries messages to workers. New calls it once, with the core to which the
	// client reports its results. It must not call the core.
	NewWorkerClient func(core *Core) WorkerClient
	// OnCompleted is called once for each request that was handed in, when it completes. It may be nil.
	OnCompleted func(now time.Duration, r *Request, completion Completion)
}

// Core is the function router. It belongs to one goroutine and is not safe for concurrent use.
type Core struct {
	policy  *policy.Policy
	workers WorkerClient
	limits  Limits

	events  eventQueue
	actions []policy.Action // reused by each batch

	timers timerQueue

	requests      map[policy.RequestID]*trackedRequest
	clientIDs     map[string]struct{} // Request.ID of each tracked request
	lastRequestID policy.RequestID
	openRequests  int // tracked requests that are owed a response
	openBytes     int // bytes of their bodies

	commands commandTracker

	tenants map[string]int // index in the module's configuration, by name
	routing routing

	rejectsNew  bool // RejectNew has been called
	onCompleted func(now time.Duration, r *Request, completion Completion)

	// Counters counts what the core has accepted, sent and completed.
	Counters Counters
}

// New returns a Core that acts on the decisions of p.
func New(p *policy.Policy, config Config) *Core {
	c := &Core{
		policy:      p,
		limits:      config.Limits,
		onCompleted: config.OnCompleted,
		timers:      newTimerQueue(),
		requests:    map[policy.RequestID]*trackedRequest{},
		clientIDs:   map[string]struct{}{},
		tenants:     map[string]int{},
	}
	for i, name := range config.Tenants {
		c.tenants[name] = i
	}
	c.workers = config.NewWorkerClient(c)
	c.commands = commandTracker{
		limits:   config.Limits,
		workers:  c.workers,
		timers:   &c.timers,
		events:   &c.events,
		counters: &c.Counters,
		pending:  map[uint64]*pendingCommand{},
	}
	return c
}

// OpenRequests returns the number of requests that are owed a response.
func (c *Core) OpenRequests() int { return c.openRequests }

// RejectNew has the core reject every request from now on, because the program is about to exit.
func (c *Core) RejectNew() { c.rejectsNew = true }

// SetEndpoints hands in the endpoint list, or a change of it.
func (c *Core) SetEndpoints(l policy.EndpointList) { c.events.add(l) }

// SetRouteWorkers sets the workers from which the pools of the route table are formed, now and after each SetRoutes.
func (c *Core) SetRouteWorkers(list []route.Worker) { c.routing.setWorkers(list) }

// SetRoutes has requests routed by t from now on; those that are open end under the table that they began with. With
// nil every request may go to every worker.
func (c *Core) SetRoutes(t *route.Table) { c.routing.setTable(t) }

// Routes returns the route table in force, or nil.
func (c *Core) Routes() *route.Table { return c.routing.table }

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

// SetNow moves the core's clock forward, before the events of a turn of the event loop are handed in. A time before
// the present one changes nothing.
func (c *Core) SetNow(now time.Duration) { c.timers.setNow(now) }

// Process fires the timers that are due, hands the gathered events to the decision module and carries out its actions,
// until nothing is left to do. It returns the time by which it has to be called again.
func (c *Core) Process(now time.Duration) (next time.Duration) {
	c.SetNow(now)
	for {
		c.fireDueTimers()
		if c.events.empty() {
			break
		}
		c.handleEvents()
		c.executeActions()
	}
	if due, ok := c.timers.heap.Next(); ok {
		return due
	}
	return now + idleInterval
}

// fireDueTimers fires all timers that are due, those included that a fired one sets for now.
func (c *Core) fireDueTimers() {
	for {
		due, ok := c.timers.popDue()
		if !ok {
			return
		}
		c.fire(due)
	}
}

// fire does what a timer is for.
func (c *Core) fire(entry *timerEntry) {
	t := entry.Value
	switch t.kind {
	case policyTimer:
		c.timers.policyTimerFired(entry)
		c.events.add(policy.TimerFired{Token: t.token})
	case attemptTimeout:
		c.cancelAttempt(Attempt{Request: t.requestID, Number: t.attempt}, policy.TimedOut)
	case commandTimeout:
		c.commands.timedOut(t.commandID)
	case requestDeadline:
		c.deadlineExceeded(t.requestID)
	}
}

// handleEvents hands the batch of gathered events to the decision module and keeps the actions that it returns.
func (c *Core) handleEvents() {
	c.actions = c.actions[:0]
	batch := c.events.take()
	for _, event := range batch {
		if event != nil {
			c.actions = c.policy.Handle(c.timers.now, event, c.actions)
		}
	}
	c.events.recycle(batch)
}

// executeActions carries out the actions of the last batch, in order.
func (c *Core) executeActions() {
	for _, action := range c.actions {
		c.execute(action)
	}
}

// execute carries out one action. Actions that are not listed ask for what this deployment does not have: endpoint
// lists arrive without a subscription, and the settings allow no gossip. The module's log lines are dropped.
func (c *Core) execute(action policy.Action) {
	switch a := action.(type) {
	case policy.StartAttempt:
		c.startAttempt(a)
	case policy.CancelAttempt:
		c.cancelAttempt(Attempt{Request: a.Request, Number: a.Attempt}, policy.Canceled)
	case policy.Reject:
		c.respondUnserved(a.Request, Response{Status: Rejected, RetryAfter: a.RetryAfter})
	case policy.FailRequest:
		c.respondUnserved(a.Request, Response{Status: Failed})
	case policy.Load, policy.Unload, policy.CheckHealth, policy.CloseIdleConnections:
		c.commands.execute(action)
	case policy.SetTimer:
		c.timers.setPolicyTimer(a)
	case policy.ClearTimer:
		c.timers.clearPolicyTimer(a)
	}
}

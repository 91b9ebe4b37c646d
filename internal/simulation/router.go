package simulation

import (
	"fmt"
	"maps"
	"time"

	"crankhold/internal/route"
	"crankhold/internal/router"
	"crankhold/policy"
)

// Limits of each simulated router. They are the same in all scenarios.
const (
	maxConcurrentRequests = 2000
	maxRequestBytes       = 1 << 20
	healthCheckTimeout    = 250 * time.Millisecond
)

// drainPollInterval is how often a draining router checks whether it has sent all its responses.
const drainPollInterval = 10 * time.Millisecond

// Router is one router of the fleet. It holds a core and is itself the worker client that delivers the core's messages
// to the simulated workers.
type Router struct {
	// Down reports whether the router's process has exited.
	Down bool
	// Violations counts the messages that the router was not allowed to send.
	Violations Violations

	fleet         *Fleet
	index         int
	trafficWeight float64 // share of the traffic, relative to the other routers
	core          *router.Core
	rejectsNew    bool // this incarnation drains and rejects new requests

	// incarnation changes whenever the process exits or starts, so that responses to an earlier one are dropped.
	incarnation uint64
	// nextTurn is when the core takes its next turn. Events that were scheduled for any other time are stale.
	nextTurn time.Duration
	// endpoints holds the changed endpoints that discovery listed when this incarnation started or that it was
	// notified of since then.
	endpoints map[policy.WorkerID]policy.Endpoint
	// drainNotified maps a worker to when this incarnation was notified that the worker is draining or gone.
	drainNotified map[policy.WorkerID]time.Duration
	budget        loadBudget
}

// start starts a new incarnation of the router. It has the endpoint list of discovery and no other state.
func (r *Router) start() error {
	f := r.fleet
	r.incarnation++
	module, err := policy.New(f.cfg.Settings, f.cfg.Seed<<16+uint64(r.index)+r.incarnation<<32)
	if err != nil {
		return err
	}
	r.core = router.New(module, router.Config{
		Limits: router.Limits{
			MaxConcurrentRequests: maxConcurrentRequests,
			MaxBytes:              maxRequestBytes,
			MaxAttempts:           f.cfg.Settings.MaxAttempts,
			LoadTimeout:           f.cfg.Settings.LoadTimeout,
			HealthCheckTimeout:    healthCheckTimeout,
		},
		Tenants:         f.cfg.Tenants,
		NewWorkerClient: func(*router.Core) router.WorkerClient { return r },
	})
	r.Down = false
	r.rejectsNew = false
	r.nextTurn = 0
	r.endpoints = maps.Clone(f.endpoints)
	r.drainNotified = map[policy.WorkerID]time.Duration{}
	r.budget = loadBudget{}
	if f.cfg.Routes != nil {
		r.core.SetRoutes(f.cfg.Routes())
	}
	r.applyEndpoints()
	r.scheduleTurnNow()
	return nil
}

// Kill makes the router's process exit immediately and start again, without its earlier state, after the downtime.
// Responses that it had not sent are lost.
func (r *Router) Kill(downtime time.Duration) {
	r.Down = true
	r.incarnation++
	for _, request := range r.fleet.Requests {
		if request.router == r && len(request.Responses) == 0 {
			request.RouterKilled = true
		}
	}
	r.fleet.After(downtime, func() {
		if err := r.start(); err != nil {
			panic(fmt.Sprintf("simulation: a killed router failed to restart: %v", err))
		}
	})
}

// Terminate starts a graceful shutdown of the router, like SIGTERM: the router accepts requests for a grace period,
// then rejects them, and exits after it has sent all its responses.
func (r *Router) Terminate(gracePeriod time.Duration) {
	r.fleet.After(gracePeriod, func() {
		r.rejectsNew = true
		r.core.RejectNewRequests()
		r.exitWhenDrained()
	})
}

func (r *Router) exitWhenDrained() {
	if r.OpenRequests() == 0 {
		r.Down = true
		return
	}
	r.fleet.After(drainPollInterval, r.exitWhenDrained)
}

// OpenRequests returns the number of requests that the router has accepted and not yet responded to.
func (r *Router) OpenRequests() int { return r.core.OpenRequests() }

// endpointChanged notifies the router of a changed endpoint.
func (r *Router) endpointChanged(endpoint policy.Endpoint) {
	if r.Down {
		return
	}
	if endpoint.State != policy.Ready {
		r.drainNotified[endpoint.Worker] = r.fleet.now
	}
	r.endpoints[endpoint.Worker] = endpoint
	r.core.SetNow(r.fleet.now)
	r.applyEndpoints()
	r.scheduleTurnNow()
}

// applyEndpoints passes the complete endpoint list that this incarnation has to the core.
func (r *Router) applyEndpoints() {
	list := policy.EndpointList{Kind: policy.EndpointSnapshot}
	labels := []route.Worker{}
	for id := policy.WorkerID(1); int(id) <= len(r.fleet.Workers); id++ {
		endpoint := r.endpoint(id)
		if endpoint.State == policy.Gone {
			continue
		}
		list.Workers = append(list.Workers, endpoint)
		labels = append(labels, route.Worker{ID: id, Name: fmt.Sprint("s-", id)})
	}
	r.core.SetEndpoints(list)
	r.core.SetRouteWorkers(labels)
}

// endpoint returns the endpoint of a worker as this incarnation has it. For an unknown worker it returns the zero
// Endpoint, whose state is Gone.
func (r *Router) endpoint(id policy.WorkerID) policy.Endpoint {
	endpoint, known := r.endpoints[id]
	if !known && int(id) <= r.fleet.cfg.Workers {
		return policy.Endpoint{
			Worker: id,
			State:  policy.Ready,
			Weight: 1,
			Zone:   policy.KnownGroup(0),
			Cell:   policy.KnownGroup(0),
		}
	}
	return endpoint
}

// accept passes a client's request to the core.
func (r *Router) accept(request router.Request) {
	r.budget.requestAccepted(r.fleet.now)
	r.core.Accept(r.fleet.now, request)
	r.scheduleTurnNow()
}

// scheduleTurnNow schedules a turn of the core for now, after all other events that are already due.
func (r *Router) scheduleTurnNow() { r.scheduleTurn(r.fleet.now) }

// scheduleTurn schedules a turn of the core, unless an earlier turn is scheduled, which will then schedule the next.
func (r *Router) scheduleTurn(due time.Duration) {
	if r.nextTurn > r.fleet.now && r.nextTurn <= due {
		return
	}
	r.nextTurn = due
	r.fleet.After(due-r.fleet.now, r.takeTurn)
}

// takeTurn makes the core process what is due. The turns that the core itself requests are at least a microsecond
// apart.
func (r *Router) takeTurn() {
	if r.nextTurn != r.fleet.now {
		return
	}
	r.nextTurn = 0
	if r.Down { // a killed router schedules a turn when it starts again
		return
	}
	next := r.core.Process(r.fleet.now)
	r.scheduleTurn(max(next, r.fleet.now+time.Microsecond))
}

// scheduleResponse schedules the delivery of a worker's response to the router: it calls deliver after the given time
// plus the network delay, unless the process that sent the request has exited by then.
func (r *Router) scheduleResponse(after time.Duration, deliver func()) {
	incarnation := r.incarnation
	r.fleet.After(after+networkDelay, func() {
		if r.incarnation != incarnation {
			return
		}
		r.core.SetNow(r.fleet.now)
		deliver()
		r.scheduleTurnNow()
	})
}

// StartAttempt implements router.WorkerClient: it delivers a request to its worker.
func (r *Router) StartAttempt(id policy.WorkerID, attempt router.Attempt, request *router.Request, _ time.Duration) {
	r.checkDrain(id)
	worker := r.fleet.Workers[id]
	function := request.Function.ID
	r.fleet.After(networkDelay, func() {
		result, after := worker.execute(function)
		r.scheduleResponse(after, func() { r.core.AttemptCompleted(attempt, result) })
	})
}

// Load implements router.WorkerClient: it delivers a load command to a worker.
func (r *Router) Load(id policy.WorkerID, function policy.FunctionID, count int, tag uint64) {
	r.checkDrain(id)
	if count > 0 {
		r.checkLoadBudget()
	}
	worker := r.fleet.Workers[id]
	r.fleet.After(networkDelay, func() {
		outcome, replicas, after := worker.load(function, count)
		r.scheduleResponse(after, func() { r.core.LoadCompleted(tag, outcome, replicas) })
	})
}

// Unload implements router.WorkerClient: it makes a worker unload a loaded replica.
func (r *Router) Unload(id policy.WorkerID, function policy.FunctionID) {
	r.fleet.Workers[id].unload(function)
}

// CheckHealth implements router.WorkerClient: every worker responds.
func (r *Router) CheckHealth(_ policy.WorkerID, tag uint64) {
	r.scheduleResponse(networkDelay, func() { r.core.HealthCheckCompleted(tag, policy.Served, nil) })
}

// CancelAttempt implements router.WorkerClient. It does nothing: the worker completes the request all the same.
func (r *Router) CancelAttempt(policy.WorkerID, router.Attempt) {}

// WithdrawUnsent implements router.WorkerClient. It returns false, because every message is sent immediately.
func (r *Router) WithdrawUnsent(policy.WorkerID, router.Attempt) bool { return false }

// CancelCommand implements router.WorkerClient. It does nothing, because no state of a command is kept.
func (r *Router) CancelCommand(policy.WorkerID, uint64) {}

// CloseIdle implements router.WorkerClient. It does nothing, because there are no connections.
func (r *Router) CloseIdle(policy.WorkerID) {}

package policy

import (
	"math/rand/v2"
	"time"
)

// randomStream separates the module's random numbers from those that others draw with the same seed.
const randomStream = 0x7468796d65

// Policy makes the decisions of one router. It dispatches events to the components that own its state, and
// coordinates work that involves several of them. It is not safe for concurrent use.
type Policy struct {
	cfg Config
	tables
	turn

	endpoints endpointTracker
	health    *healthChecker
	scheduler *scheduler
	attempts  attemptStarter
	outcomes  *outcomeRecorder
	loads     loader
	slowStart *slowStart
	quotas    tenantQuotas
	shedder   *loadShedder
	gossip    *gossiper

	maintenance maintenance
}

// tables holds the classes, functions, requests, workers and replicas that scheduling uses.
type tables struct {
	classes   []classState
	functions functionTable
	requests  requestTable
	workers   workerTable
	replicas  replicaTable
}

// maintenance records the progress of recurring work.
type maintenance struct {
	started    bool          // the timer of the first housekeeping was set
	lastSweep  time.Duration // time of the last sweep
	idleBuffer []FunctionID  // for the sweep of a worker's replicas
}

// New returns a Policy for one router. All its random choices are derived from seed. It returns a
// *ConfigError for invalid settings.
func New(cfg Config, seed uint64) (*Policy, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg.Routers = max(cfg.Routers, 1)
	p := &Policy{cfg: cfg, tables: tables{
		classes:  newClassStates(cfg.Classes),
		requests: requestTable{byID: map[RequestID]*request{}},
		workers:  workerTable{byID: map[WorkerID]*worker{}},
	}}
	p.functions = newFunctionTable(&p.replicas)
	p.assemble(rand.New(rand.NewPCG(seed, randomStream)), WorkerID(seed))
	return p, nil
}

// Handle processes one event and returns actions with the resulting actions appended. If now is before the
// time of the last event, the time of that event is used.
func (p *Policy) Handle(now time.Duration, event Event, actions []Action) []Action {
	p.startTurn(now, actions)
	if !p.maintenance.started {
		p.maintenance.started = true
		p.start()
	}
	p.dispatch(event)
	return p.actions
}

// start sets the timer of the first housekeeping and subscribes to the endpoint list.
func (p *Policy) start() {
	p.emit(SetTimer{After: housekeepingInterval, Token: timerToken{kind: housekeepingTimer}.encode()})
	p.emit(Subscribe{On: true})
}

// dispatch passes an event to the handler of its type.
func (p *Policy) dispatch(event Event) {
	switch e := event.(type) {
	case EndpointList:
		p.endpoints.apply(e)
	case RequestArrived:
		p.requestArrived(e)
	case RequestCanceled:
		p.requestCanceled(e)
	case ResponseStarted:
		p.responseStarted(e)
	case AttemptCompleted:
		p.attemptCompleted(e)
	case LoadCompleted:
		p.loadCompleted(e)
	case HealthCheckCompleted:
		p.healthCheckCompleted(e)
	case GossipReceived:
		p.gossipReceived(e)
	case TimerFired:
		p.timerFired(decodeTimerToken(e.Token))
	}
}

// timerFired does the work that a timer was set for.
func (p *Policy) timerFired(token timerToken) {
	r := p.requests.get(token.request)
	switch token.kind {
	case housekeepingTimer:
		p.housekeep()
	case subscribeTimer:
		p.emit(Subscribe{On: true})
	case hedgeTimer:
		p.startHedge(r)
	case deadlineTimer:
		if r != nil && !r.streaming {
			p.reject(r, 0)
		}
	}
}

// loadCompleted records the result of a load command and schedules the requests that waited for it.
func (p *Policy) loadCompleted(e LoadCompleted) {
	w := p.workers.get(e.Worker)
	f := p.functions.get(e.Function)
	if w == nil || f == nil {
		return
	}
	entry := w.replicas[f.id]
	if entry == nil || !entry.loadPending {
		return
	}
	for _, r := range p.loads.recordResult(entry, f, e) {
		if e.Outcome != Served && e.Outcome != ConnectionReset && e.Outcome != ProcessReplaced {
			r.excluded = append(r.excluded, w)
		}
		p.schedule(r)
	}
	p.replicas.removeIfBlank(f.id, w)
}

// healthCheckCompleted records the result of a health check.
func (p *Policy) healthCheckCompleted(e HealthCheckCompleted) {
	if w := p.workers.get(e.Worker); w != nil {
		p.health.recordResult(w, e)
	}
}

// AllowsQueuedLoad reports whether a load command that was decided on earlier may be sent at the time now.
// The budget is checked again because workers count the command when it arrives.
func (p *Policy) AllowsQueuedLoad(now time.Duration) bool {
	return p.loads.budget.allowsQueuedCommand(now)
}

package policy

import (
	"math/rand/v2"
	"time"
)

// randomStream separates the module's random draws from others of the same seed.
const randomStream = 0x7468796d65

// Policy takes one router's decisions. It dispatches events to the types that own its state, and carries out
// between them what concerns several. It is not safe for concurrent use.
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

// tables are the things that requests are scheduled by.
type tables struct {
	classes   []classState
	functions functionTable
	requests  requestTable
	workers   workerTable
	replicas  replicaTable
}

// maintenance is when the work was done that recurs.
type maintenance struct {
	started   bool // the first housekeeping has been asked for
	lastSweep time.Duration
}

// New returns a Policy for one router; all its random choices follow from seed. It returns a *ConfigError for
// settings that no platform can mean.
func New(cfg Config, seed uint64) (*Policy, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg.Routers = max(cfg.Routers, 1)
	p := &Policy{cfg: cfg, tables: tables{
		classes:   newClassStates(cfg.Classes),
		functions: functionTable{byID: map[FunctionID]*function{}},
		requests:  requestTable{byID: map[RequestID]*request{}},
		workers:   workerTable{byID: map[WorkerID]*worker{}},
	}}
	p.assemble(rand.New(rand.NewPCG(seed, randomStream)), WorkerID(seed))
	return p, nil
}

// Handle takes one event and appends the actions that answer it to actions. A time before the last event's
// counts as that event's time.
func (p *Policy) Handle(now time.Duration, event Event, actions []Action) []Action {
	p.startTurn(now, actions)
	if !p.maintenance.started {
		p.maintenance.started = true
		p.start()
	}
	p.dispatch(event)
	return p.actions
}

// start asks for the first housekeeping and for the endpoint list.
func (p *Policy) start() {
	p.emit(SetTimer{After: housekeepingInterval, Token: timerToken{kind: housekeepingTimer}.encode()})
	p.emit(Subscribe{On: true})
}

// dispatch hands an event to what handles its kind.
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

// timerFired does what a timer of the module was set for.
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

// loadCompleted records the result of a load command, and schedules the requests that waited for it.
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
		if e.Outcome != Served && e.Outcome != ConnectionReset {
			r.excluded = append(r.excluded, w)
		}
		p.schedule(r)
	}
}

// healthCheckCompleted records the result of a health check.
func (p *Policy) healthCheckCompleted(e HealthCheckCompleted) {
	if w := p.workers.get(e.Worker); w != nil {
		p.health.recordResult(w, e)
	}
}

// MayStillLoad reports whether a load command that was decided on before may be sent at a time: workers count
// it when it arrives.
func (p *Policy) MayStillLoad(now time.Duration) bool { return p.loads.budget.allowsQueuedCommand(now) }

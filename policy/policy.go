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

	estimator *latencyEstimator
	slowStart *slowStart
	budget    *loadBudget
	breaker   *loadBreaker
	quotas    tenantQuotas
	shedder   *loadShedder
	outliers  *outlierDetector
	gossip    *gossiper
	scheduler *scheduler
	guard     ruleGuard

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

// turn is the handling of one event.
type turn struct {
	now     time.Duration
	actions []Action // that answer the event
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

// assemble makes the parts of a Policy, which share its settings, tables and random source.
func (p *Policy) assemble(rng *rand.Rand, router WorkerID) {
	cfg := &p.cfg
	retries := retryRules{cfg: cfg}
	p.estimator = newLatencyEstimator(cfg, &p.tables)
	p.slowStart = &slowStart{cfg: cfg, rng: rng, classes: p.classes, workers: &p.workers}
	p.budget = &loadBudget{cfg: cfg}
	p.breaker = &loadBreaker{}
	p.quotas = newTenantQuotas(cfg.Tenants, cfg.Routers)
	p.shedder = &loadShedder{cfg: cfg, rng: rng, classes: p.classes}
	p.outliers = &outlierDetector{cfg: cfg}
	p.gossip = &gossiper{cfg: cfg}
	p.guard = ruleGuard{
		cfg:       cfg,
		tables:    &p.tables,
		retries:   retries,
		slowStart: p.slowStart,
		budget:    p.budget,
	}
	p.scheduler = &scheduler{
		cfg:       cfg,
		rng:       rng,
		tables:    &p.tables,
		estimator: p.estimator,
		slowStart: p.slowStart,
		outliers:  p.outliers,
		breaker:   p.breaker,
		shedder:   p.shedder,
		retries:   retries,
		ranking: rendezvousRanking{
			cfg:       cfg,
			tables:    &p.tables,
			estimator: p.estimator,
			slowStart: p.slowStart,
			router:    router,
		},
	}
}

// Handle takes one event and appends the actions that answer it to actions. A time before the last event's
// counts as that event's time.
func (p *Policy) Handle(now time.Duration, event Event, actions []Action) []Action {
	p.now = max(now, p.now)
	p.actions = actions
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
		p.endpointsListed(e)
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

// emit lets an action leave unless it would break a rule, and reports whether it left.
func (p *Policy) emit(action Action) bool {
	if !p.guard.allows(p.now, action) {
		return false
	}
	p.actions = append(p.actions, action)
	return true
}

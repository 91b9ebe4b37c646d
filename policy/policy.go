package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"crankhold/internal/stats"
)

const (
	housekeepingToken = 0
	subscribeToken    = 1
	deadlineToken     = 1 << 32 // plus the request
	hedgeToken        = 1 << 33 // plus the request
)

// Policy takes one router's decisions.
type Policy struct {
	cfg       Config
	rng       *rand.Rand
	router    WorkerID // the seed: ranks in rendezvous hashing as a worker does
	now       time.Duration
	actions   []Action // that answer the present event
	workers   map[WorkerID]*worker
	fleet     []*worker // in the order of their first listing
	requests  map[RequestID]*request
	deferred  []*request // no worker may take them now; scheduled again at each housekeeping
	functions map[FunctionID]*function
	replicas  replicaIndex
	classes   []classState
	quotas    []stats.TokenBucket // by tenant
	scratch

	queueSlope, reportSlope stats.Regression // delay over attempts in flight; over requests queued by reports
	queueField              int              // of these in a load report; -1: not reported
	sizeEffect              stats.Regression // of runs, less time over the log of the size
	meanSize, loadTimeRatio float64          // measured load time over the announced one
	standingDelay           stats.SkewedMean // that three of four responses from loaded replicas exceed
	warmRate                float64          // work that warm workers take in a second, by capacity
	servedWork, servedSpan  float64          // work for us and the seconds it took, decaying over rateSpan

	started, subscribed    bool
	arrivals, loadCommands stats.SlidingWindow // within LoadBudgetWindow
	lastTrial, lastSweep   time.Duration
	readyWorkers           int
	failedLoads            int           // since one succeeded
	breakerUntil           time.Duration // no load begins before, while they fail
	gossip                 []byte        // replicas that the other routers are yet to be told of
	gossipTokens           float64       // messages to one router that our requests have paid for
}

// New returns a Policy for one router; all its random choices follow from seed.
func New(cfg Config, seed uint64) (*Policy, error) {
	for i, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DeduplicationWindow < 0 ||
			c.Idempotency > NotIdempotent || c.DeduplicationScope > DeduplicatedInCell {
			return nil, &ConfigError{Class: i, Config: cfg}
		}
	}
	for _, a := range cfg.amounts() {
		if !(a.value >= 0) || a.value > a.most {
			return nil, &ConfigError{Class: NoClass, Setting: a.setting, Config: cfg}
		}
	}
	cfg.Routers = max(cfg.Routers, 1)
	p := &Policy{cfg: cfg, router: WorkerID(seed), rng: rand.New(rand.NewPCG(seed, 0x7468796d65)),
		workers: map[WorkerID]*worker{}, requests: map[RequestID]*request{},
		functions: map[FunctionID]*function{}}
	p.loadTimeRatio, p.queueField = 1, slices.Index(cfg.LoadReportFields, "queue")
	for _, c := range cfg.Classes {
		run := initialRun * float64(c.LatencyObjective)
		sum := runPrior * run
		p.classes = append(p.classes, classState{c, stats.RunningMean{Mean: run}, sum, sum})
	}
	for _, t := range cfg.Tenants {
		rate := stats.Clamp(t.RequestsPerSecond, 0, 1e9) / float64(cfg.Routers)
		most := rate + 3*math.Sqrt(rate) + 1 // a second's worth may be saved up, and chance
		p.quotas = append(p.quotas, stats.TokenBucket{Tokens: rate + 1, Capacity: most, Rate: rate})
	}
	return p, nil
}

// Handle takes one event and appends the actions that answer it to actions.
func (p *Policy) Handle(now time.Duration, event Event, actions []Action) []Action {
	p.now, p.actions = max(now, p.now), actions
	if !p.started {
		p.started = true
		p.emit(SetTimer{After: housekeepingInterval, Token: housekeepingToken})
		p.emit(Subscribe{On: true})
	}
	switch e := event.(type) {
	case EndpointList:
		p.endpointsListed(e)
	case RequestArrived:
		p.requestArrived(e)
	case RequestCanceled:
		if r := p.requests[e.Request]; r != nil && !r.done { // what was taken back widens no load budget
			p.arrivals.Remove(r.deadline - r.Remaining)
			p.closeRequest(r)
		}
	case ResponseStarted:
		if r := p.requests[e.Request]; r != nil {
			r.streaming = true
		}
	case AttemptCompleted:
		p.attemptCompleted(e)
	case LoadCompleted:
		p.loadCompleted(e)
	case HealthCheckCompleted:
		p.healthCheckCompleted(e)
	case GossipReceived:
		p.gossipReceived(e.Data)
	case TimerFired:
		r := p.requests[RequestID(e.Token)] // its low bits
		switch {
		case e.Token == housekeepingToken:
			p.housekeep()
		case e.Token == subscribeToken:
			p.emit(Subscribe{On: true})
		case e.Token >= hedgeToken:
			p.hedge(r)
		case e.Token >= deadlineToken && r != nil && !r.streaming:
			p.reject(r, 0)
		}
	}
	return p.actions
}

// emit is the one place where actions leave. It withholds those that would break a rule.
func (p *Policy) emit(a Action) bool {
	allowed := true
	switch a := a.(type) {
	case StartAttempt:
		r, w := p.requests[a.Request], p.workers[a.Worker]
		allowed = r != nil && w != nil && p.mayStart(r) && p.eligible(w, r) && p.slowStartAdmits(w)
	case CancelAttempt:
		allowed = p.cfg.CancelSupported
	case Reject: // nothing may have run, or running it again is harmless wherever it goes
		r := p.requests[a.Request]
		allowed = r.possibleRun == nil && r.inFlight == 0 || r.class.Idempotency == Idempotent ||
			r.class.Idempotency == IdempotentWithKey && r.class.DeduplicationScope == DeduplicatedEverywhere
	case Load:
		orders := p.loadCommands.CountSince(p.now - p.cfg.LoadBudgetWindow)
		allowed = p.cfg.LoadCommandsSupported && p.workers[a.Worker].State == Ready &&
			(p.cfg.LoadBudgetWindow <= 0 || float64(orders+1) <= p.loadBudget())
	case Unload:
		allowed = p.cfg.LoadCommandsSupported && p.workers[a.Worker].State == Ready
	case CheckHealth:
		allowed = p.cfg.HealthCheckSupported
	case Subscribe: // only where the list does not come by itself
		allowed = p.cfg.EndpointsByPolling && !p.subscribed
	}
	if allowed {
		p.actions = append(p.actions, a)
	}
	return allowed
}

// The exported types are in config.go, events.go and actions.go; docs/design.md describes the mechanism.

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
	cfg     Config
	rng     *rand.Rand
	router  uint64 // the seed: tells routers apart
	now     time.Duration
	actions []Action // that answer the present event

	workers             map[WorkerID]*worker
	fleet               []*worker // in the order of their first listing
	readyWorkers        int
	requests            map[RequestID]*request
	deferred            []*request // no worker may take them now; scheduled again at each housekeeping
	functions           map[FunctionID]*function
	replicas            replicaIndex
	classes             []classState
	quotas              []stats.TokenBucket // by tenant
	started, subscribed bool
	estimates
	scratch

	arrivals, loadOrders stats.SlidingWindow // within LoadBudgetWindow
	failedLoads          int                 // since one succeeded
	breakerUntil         time.Duration       // circuit breaker: no load begins before, while they fail
	lastTrial, lastSweep time.Duration
	gossip               []byte  // replicas that the other routers are yet to be told of
	gossipTokens         float64 // messages to one router that our requests have paid for
}

// New returns a Policy for one router; all its random choices follow from seed.
func New(cfg Config, seed uint64) (*Policy, error) {
	if class, valid := validate(cfg); !valid {
		return nil, &ConfigError{class, cfg}
	}
	cfg.Routers = max(cfg.Routers, 1)
	p := &Policy{cfg: cfg, router: seed, rng: rand.New(rand.NewPCG(seed, 0x7468796d65)),
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

// validate reports whether a platform can mean the settings, and which class it can't.
func validate(cfg Config) (class int, valid bool) {
	for i, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DeduplicationWindow < 0 ||
			c.Idempotency > NotIdempotent || c.DeduplicationScope > DeduplicatedInCell {
			return i, false
		}
	}
	amounts := []float64{cfg.SlowStartInitialCapacity, cfg.OverloadMultiple, cfg.LoadBudgetMinimum,
		cfg.LoadBudgetRatio, float64(cfg.MaxAttempts), float64(cfg.Tick), float64(cfg.SlowStartDuration),
		float64(cfg.OverloadWindow), float64(cfg.KeepAlive), float64(cfg.LoadBudgetWindow)}
	impossible := func(v float64) bool { return !(v >= 0) || math.IsInf(v, 1) }
	return NoClass, len(cfg.Classes) > 0 && cfg.SlowStartInitialCapacity <= 1 &&
		!slices.ContainsFunc(amounts, impossible)
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
		p.timerFired(e.Token)
	}
	return p.actions
}

func (p *Policy) timerFired(token uint64) {
	r := p.requests[RequestID(token)] // which is in its low bits
	if token == housekeepingToken {
		p.housekeep()
	} else if token == subscribeToken {
		p.emit(Subscribe{On: true})
	} else if token >= hedgeToken {
		p.hedge(r)
	} else if token >= deadlineToken && r != nil && !r.streaming {
		p.reject(r, 0)
	}
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
		allowed = p.cfg.LoadOrdersSupported && p.workers[a.Worker].State == Ready && p.loadBudgetLeft()
	case Unload:
		allowed = p.cfg.LoadOrdersSupported && p.workers[a.Worker].State == Ready
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

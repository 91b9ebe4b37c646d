// The exported types are in config.go, events.go and actions.go; docs/design.md describes the mechanism.

package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"crankhold/internal/stats"
)

// Tokens of timers. Those of requests are the request's number above a base.
const (
	housekeepingToken = 0
	subscribeToken    = 1
	deadlineToken     = 1 << 32
	hedgeToken        = 1 << 33
)

// Policy takes one router's decisions.
type Policy struct {
	cfg     Config
	rng     *rand.Rand
	router  uint64 // the seed: tells routers apart
	now     time.Duration
	actions []Action // that answer the present event
	started bool

	workers      map[WorkerID]*worker
	fleet        []*worker // in the order of their first listing
	readyWorkers int
	subscribed   bool
	requests     map[RequestID]*request
	deferred     []*request // no worker may take them now; scheduled again at each housekeeping
	functions    map[FunctionID]*function
	replicas     replicaIndex
	classes      []classState
	quotas       []stats.TokenBucket // by tenant
	scratch

	estimates
	lastTrial time.Duration // last request sent against an estimate
	lastSweep time.Duration

	failedLoads  int           // since one succeeded
	breakerUntil time.Duration // circuit breaker: no load begins before, while they fail
	arrivals     stats.SlidingWindow
	loadOrders   stats.SlidingWindow
	gossip       []byte  // replicas that the other routers are yet to be told of
	gossipTokens float64 // messages to one router that our requests have paid for
}

// New returns a Policy for one router; all its random choices follow from seed.
func New(cfg Config, seed uint64) (*Policy, error) {
	if err := validate(cfg); err != nil {
		return nil, err
	}
	cfg.Routers = max(cfg.Routers, 1)
	p := &Policy{cfg: cfg, router: seed, rng: rand.New(rand.NewPCG(seed, 0x7468796d65)),
		workers: map[WorkerID]*worker{}, requests: map[RequestID]*request{}, functions: map[FunctionID]*function{}}
	p.loadTimeRatio = 1
	p.queueField = slices.Index(cfg.LoadReportFields, "queue")
	for _, c := range cfg.Classes {
		run := initialRun * float64(c.LatencyObjective)
		p.classes = append(p.classes, classState{Class: c, run: stats.RunningMean{Mean: run},
			measuredWork: runPrior * run, hintedWork: runPrior * run})
	}
	for _, t := range cfg.Tenants {
		rate := stats.Clamp(t.RequestsPerSecond, 0, 1e9) / float64(cfg.Routers)
		burst := 3 * math.Sqrt(rate)
		p.quotas = append(p.quotas, stats.TokenBucket{Tokens: rate + 1, Capacity: rate + burst + 1, Rate: rate})
	}
	return p, nil
}

// validate returns a *ConfigError for settings that no platform can mean.
func validate(cfg Config) error {
	if len(cfg.Classes) == 0 {
		return &ConfigError{Class: NoClass, Setting: "Classes", Config: cfg}
	}
	for i, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DeduplicationWindow < 0 ||
			c.Idempotency > NotIdempotent || c.DeduplicationScope > DeduplicatedInCell {
			return &ConfigError{Class: i, Config: cfg}
		}
	}
	for _, amount := range []float64{cfg.SlowStartInitialCapacity, cfg.OverloadMultiple, cfg.LoadBudgetMinimum,
		cfg.LoadBudgetRatio, float64(cfg.MaxAttempts), float64(cfg.Tick), float64(cfg.SlowStartDuration),
		float64(cfg.OverloadWindow), float64(cfg.KeepAlive), float64(cfg.LoadBudgetWindow)} {
		if !(amount >= 0) || math.IsInf(amount, 1) || cfg.SlowStartInitialCapacity > 1 {
			return &ConfigError{Class: NoClass, Config: cfg}
		}
	}
	return nil
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
		p.requestCanceled(p.requests[e.Request])
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
	switch {
	case token == housekeepingToken:
		p.housekeep()
	case token == subscribeToken:
		p.emit(Subscribe{On: true})
	case token >= hedgeToken:
		p.hedge(p.requests[RequestID(token-hedgeToken)])
	case token >= deadlineToken:
		if r := p.requests[RequestID(token-deadlineToken)]; r != nil && !r.streaming {
			p.reject(r, 0)
		}
	}
}

// emit is the one place where actions leave. It withholds what would break a rule, and reports whether a left.
func (p *Policy) emit(a Action) bool {
	allowed := p.allowed(a)
	if allowed {
		p.actions = append(p.actions, a)
	}
	return allowed
}

// allowed reports whether the settings and the state of requests and workers permit a.
func (p *Policy) allowed(a Action) bool {
	switch a := a.(type) {
	case StartAttempt:
		r, w := p.requests[a.Request], p.workers[a.Worker]
		return r != nil && w != nil && p.mayStart(r) && w.State == Ready && r.pool.Contains(w.Worker) &&
			p.mayRetry(r, w) && p.slowStartAdmits(w)
	case CancelAttempt:
		return p.cfg.CancelSupported
	case Reject:
		r := p.requests[a.Request]
		return r != nil && !r.done && r.mayReject()
	case Load:
		w := p.workers[a.Worker]
		return w != nil && w.State == Ready && p.cfg.LoadOrdersSupported && p.loadBudgetLeft()
	case Unload:
		return p.cfg.LoadOrdersSupported && p.workers[a.Worker].State == Ready
	case CheckHealth:
		return p.cfg.HealthCheckSupported
	case Subscribe: // only where the list does not come by itself
		return p.cfg.EndpointsByPolling && !p.subscribed
	}
	return true
}

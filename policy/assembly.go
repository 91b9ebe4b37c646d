package policy

import "math/rand/v2"

// sharedComponents holds the settings, state and components that several components of a Policy use. Each
// constructor below passes on only what its component needs.
type sharedComponents struct {
	cfg       *Config
	rng       *rand.Rand
	turn      *turn
	tables    *tables
	retries   retryRules
	estimator *latencyEstimator
	slowStart *slowStart
	outliers  *outlierDetector
	breaker   *loadBreaker
	budget    *loadBudget
	shedder   *loadShedder
	gossip    *gossiper
}

// assemble creates the components of a Policy. They share its settings, tables, turn and random source.
func (p *Policy) assemble(rng *rand.Rand, router WorkerID) {
	cfg := &p.cfg
	shared := &sharedComponents{
		cfg:       cfg,
		rng:       rng,
		turn:      &p.turn,
		tables:    &p.tables,
		retries:   retryRules{cfg: cfg},
		estimator: newLatencyEstimator(cfg, &p.tables),
		slowStart: &slowStart{cfg: cfg, rng: rng, classes: p.classes, workers: &p.workers},
		outliers:  &outlierDetector{cfg: cfg},
		breaker:   &loadBreaker{},
		budget:    &loadBudget{cfg: cfg},
		shedder:   &loadShedder{cfg: cfg, rng: rng, classes: p.classes},
		gossip:    &gossiper{cfg: cfg},
	}
	p.guard = shared.newRuleGuard()
	p.slowStart = shared.slowStart
	p.shedder = shared.shedder
	p.gossip = shared.gossip
	p.quotas = newTenantQuotas(cfg.Tenants, cfg.Routers)
	p.endpoints = shared.newEndpointTracker()
	p.health = shared.newHealthChecker()
	p.outcomes = shared.newOutcomeRecorder(p.health)
	p.loads = shared.newLoader(p.health, p.outcomes)
	p.attempts = shared.newAttemptStarter(&p.quotas)
	p.scheduler = shared.newScheduler(router)
}

func (s *sharedComponents) newRuleGuard() ruleGuard {
	return ruleGuard{
		cfg:       s.cfg,
		tables:    s.tables,
		retries:   s.retries,
		slowStart: s.slowStart,
		budget:    s.budget,
	}
}

func (s *sharedComponents) newEndpointTracker() endpointTracker {
	return endpointTracker{
		cfg:       s.cfg,
		turn:      s.turn,
		workers:   &s.tables.workers,
		outliers:  s.outliers,
		slowStart: s.slowStart,
		estimator: s.estimator,
	}
}

func (s *sharedComponents) newHealthChecker() *healthChecker {
	return &healthChecker{
		turn:      s.turn,
		retries:   s.retries,
		outliers:  s.outliers,
		slowStart: s.slowStart,
		estimator: s.estimator,
	}
}

func (s *sharedComponents) newOutcomeRecorder(health *healthChecker) *outcomeRecorder {
	return &outcomeRecorder{
		cfg:       s.cfg,
		turn:      s.turn,
		workers:   &s.tables.workers,
		estimator: s.estimator,
		slowStart: s.slowStart,
		breaker:   s.breaker,
		shedder:   s.shedder,
		gossip:    s.gossip,
		health:    health,
	}
}

func (s *sharedComponents) newLoader(health *healthChecker, outcomes *outcomeRecorder) loader {
	return loader{
		cfg:       s.cfg,
		turn:      s.turn,
		workers:   &s.tables.workers,
		replicas:  &s.tables.replicas,
		estimator: s.estimator,
		budget:    s.budget,
		breaker:   s.breaker,
		gossip:    s.gossip,
		health:    health,
		outcomes:  outcomes,
	}
}

func (s *sharedComponents) newAttemptStarter(quotas *tenantQuotas) attemptStarter {
	return attemptStarter{
		cfg:       s.cfg,
		turn:      s.turn,
		replicas:  &s.tables.replicas,
		retries:   s.retries,
		estimator: s.estimator,
		slowStart: s.slowStart,
		breaker:   s.breaker,
		quotas:    quotas,
	}
}

func (s *sharedComponents) newScheduler(router WorkerID) *scheduler {
	return &scheduler{
		cfg:       s.cfg,
		rng:       s.rng,
		tables:    s.tables,
		estimator: s.estimator,
		slowStart: s.slowStart,
		outliers:  s.outliers,
		breaker:   s.breaker,
		shedder:   s.shedder,
		retries:   s.retries,
		ranking: rendezvousRanking{
			cfg:       s.cfg,
			tables:    s.tables,
			estimator: s.estimator,
			slowStart: s.slowStart,
			router:    router,
		},
	}
}

package policy

// attemptStarter sends requests to workers and updates the counts of attempts.
type attemptStarter struct {
	cfg       *Config
	turn      *turn
	replicas  *replicaTable
	retries   retryRules
	estimator *latencyEstimator
	slowStart *slowStart
	breaker   *loadBreaker
	quotas    *tenantQuotas
}

// start sends a request to a worker unless the guard rejects the attempt.
func (s *attemptStarter) start(r *request, chosen placement) {
	w := chosen.worker
	load := s.estimator.expectedLoadTime(s.turn.now, w, r)
	if !s.turn.emit(s.action(r, w)) {
		return
	}
	entry := s.replicas.get(w, r.function.id)
	a := &attempt{
		request:         r,
		worker:          w,
		pool:            r.pool,
		number:          len(r.attempts),
		inFlightAtStart: len(w.inFlight),
		group:           w.deduplicationGroup(r.class.DeduplicationScope),
		startedAt:       s.turn.now,
		expected:        chosen.predicted,
		expectsLoad:     load > 0,
		likelyLoaded:    chosen.likelyLoaded,
	}
	s.recordStart(a, entry)
	if a.number == 0 {
		s.recordFirstAttempt(r)
	}
	if a.expectsLoad {
		s.recordExpectedLoad(entry, load)
	}
}

// action returns the action that sends a request to a worker. A retry that workers deduplicate must be sent
// while they still do.
func (s *attemptStarter) action(r *request, w *worker) StartAttempt {
	start := StartAttempt{Request: r.Request, Worker: w.Worker, Timeout: r.Policy.AttemptTimeout}
	if r.firstPossibleRun != nil && r.class.Idempotency == IdempotentWithKey {
		start.SendWithin = s.retries.deduplicatedUntil(r) - s.turn.now
	}
	return start
}

// recordStart counts an attempt as in flight and charges it to its worker's slow-start bucket.
func (s *attemptStarter) recordStart(a *attempt, entry *replica) {
	r := a.request
	w := a.worker
	a.pool.AttemptStarted()
	r.attempts = append(r.attempts, a)
	w.inFlight = append(w.inFlight, a)
	r.inFlight++
	entry.inFlight++
	s.slowStart.charge(w, r.class)
	if r.firstPossibleRun != nil {
		r.retriesAfterPossibleRun++
	}
}

// recordFirstAttempt sets the timer of a request's hedged attempt and charges the request to its tenant.
func (s *attemptStarter) recordFirstAttempt(r *request) {
	if r.Policy.HedgeDelay > 0 {
		token := timerToken{kind: hedgeTimer, request: r.Request}
		s.turn.emit(SetTimer{After: r.Policy.HedgeDelay, Token: token.encode()})
	}
	if !r.overQuota {
		s.quotas.charge(r.Tenant)
	}
}

// recordExpectedLoad records that an attempt likely starts a load.
func (s *attemptStarter) recordExpectedLoad(entry *replica, load nanoseconds) {
	if !s.cfg.MissWhenNotLoaded && entry.loadDue == 0 {
		entry.loadDue = s.turn.now + load.duration()
	}
	s.breaker.recordStart(s.turn.now)
}

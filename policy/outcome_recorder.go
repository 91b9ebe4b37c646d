package policy

// outcomeRecorder updates the components of a Policy when an attempt or a load completes.
type outcomeRecorder struct {
	cfg       *Config
	turn      *turn
	workers   *workerTable
	estimator *latencyEstimator
	slowStart *slowStart
	breaker   *loadBreaker
	shedder   *loadShedder
	gossip    *gossiper
	health    *healthChecker
}

// record updates the components by the result of an attempt.
func (o *outcomeRecorder) record(a *attempt, entry *replica, e AttemptCompleted) {
	switch e.Outcome {
	case Served:
		o.recordServed(a, entry, e)
	case Failed, Overloaded, NotLoaded:
		o.recordUnserved(a, entry, e)
	case ConnectionReset, Unreachable:
		// A broken connection counts as one failure, however many attempts were in flight on it.
		if e.Outcome == ConnectionReset && !a.worker.health.checking {
			o.estimator.recordFailure(o.turn.now, a)
		}
		o.health.recordConnectionFailure(a.worker, e.Outcome)
	case Canceled, TimedOut:
		o.estimator.observeNoResponse(o.turn.now, a, e.Took)
	}
}

// recordServed updates the components by the response to an attempt that was served.
func (o *outcomeRecorder) recordServed(a *attempt, entry *replica, e AttemptCompleted) {
	f := a.request.function
	o.health.recordResponse(a.worker)
	o.estimator.recordSuccess(o.turn.now, a)
	o.slowStart.recordServed(a.worker, a.request.class)
	response := o.estimator.measure(o.turn.now, a, e)
	o.updateStandingDelay(a, e, response)
	entry.served(o.turn.now, o.cfg.KeepAlive)
	o.gossip.replicaLoaded(o.turn.now, entry, f)
	o.updateCongestion(a, e, response)
	unknownLoad := e.LoadStatus == LoadStatusUnknown && a.expectsLoad && response.waitedForLoad
	switch {
	case !response.waitedForLoad && (!a.expectsLoad || !o.cfg.MissWhenNotLoaded):
		o.estimator.observeWithoutLoad(o.turn.now, a, response)
	case e.LoadStatus == StartedLoad || unknownLoad:
		o.recordLoadTime(response.took-response.run-response.queueing, f)
	}
}

// updateStandingDelay updates the standing delay by a response of a replica that was known to be loaded.
// Other responses are not used, because their load time can't be told apart from queueing.
func (o *outcomeRecorder) updateStandingDelay(a *attempt, e AttemptCompleted, response servedResponse) {
	if !a.expectsLoad && e.LoadStatus <= AlreadyLoaded {
		o.shedder.observe(response.took, a.request.class.LatencyObjective)
	}
}

// updateCongestion updates the congestion of a function by a response.
func (o *outcomeRecorder) updateCongestion(a *attempt, e AttemptCompleted, response servedResponse) {
	f := a.request.function
	if response.took < nanoseconds(a.request.class.LatencyObjective) {
		f.recordTimelyResponse()
	} else if a.expectedReplica() && e.LoadStatus <= AlreadyLoaded {
		f.recordCongestion(o.workers.ready)
	}
}

// expectedReplica reports whether an attempt was sent in the expectation that a replica was loaded.
func (a *attempt) expectedReplica() bool { return !a.expectsLoad || a.likelyLoaded }

// recordUnserved updates the components by a response that holds no result.
func (o *outcomeRecorder) recordUnserved(a *attempt, entry *replica, e AttemptCompleted) {
	o.health.recordResponse(a.worker)
	switch {
	case e.Outcome == NotLoaded || e.LoadStatus == LoadFailed:
		entry.unloaded()
	case e.Outcome == Overloaded && entry.inFlight == 0 && !entry.loadPending:
		entry.loadDue = 0 // the rejected attempt started no load
	}
	switch {
	case e.LoadStatus == LoadFailed:
		o.breaker.recordFailure(o.turn.now)
	case e.Outcome == Failed:
		o.estimator.recordFailure(o.turn.now, a)
	case e.Outcome == Overloaded && a.expectedReplica():
		a.request.function.recordCongestion(o.workers.ready)
		o.estimator.observeOverload(o.turn.now, a, e.Report)
	}
}

// recordLoadTime updates the load time estimate and the circuit breaker by a load that succeeded.
func (o *outcomeRecorder) recordLoadTime(took nanoseconds, f *function) {
	o.breaker.recordSuccess()
	o.estimator.observeLoadTime(took, f)
}

package policy

// outcomeRecorder has the parts of a Policy learn from the end of an attempt or of a load.
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

// record has the parts learn from the end of an attempt.
func (o *outcomeRecorder) record(a *attempt, entry *replica, e AttemptCompleted) {
	switch e.Outcome {
	case Served:
		o.recordServed(a, entry, e)
	case Failed, Overloaded, NotLoaded:
		o.recordUnserved(a, entry, e)
	case ConnectionReset, Unreachable:
		// A connection that broke counts as one failure, however many attempts were on it.
		if e.Outcome == ConnectionReset && !a.worker.health.checking {
			o.estimator.recordFailure(o.turn.now, a)
		}
		o.health.recordConnectionFailure(a.worker, e.Outcome)
	case Canceled, TimedOut:
		o.estimator.observeNoResponse(o.turn.now, a, e.Took)
	}
}

// recordServed learns from a response that a worker served.
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

// updateStandingDelay updates the standing delay by a response of a replica that was known to be loaded. Elsewhere a
// guessed load may be a queue.
func (o *outcomeRecorder) updateStandingDelay(a *attempt, e AttemptCompleted, response servedResponse) {
	if !a.expectsLoad && e.LoadStatus <= AlreadyLoaded {
		o.shedder.observe(response.took, a.request.class.LatencyObjective)
	}
}

// updateCongestion updates a function's congestion by a response.
func (o *outcomeRecorder) updateCongestion(a *attempt, e AttemptCompleted, response servedResponse) {
	f := a.request.function
	if response.took < nanoseconds(a.request.class.LatencyObjective) {
		f.recordTimelyResponse()
	} else if a.expectedReplica() && e.LoadStatus <= AlreadyLoaded {
		f.recordCongestion(o.workers.ready)
	}
}

// expectedReplica reports whether an attempt was sent in the belief that a replica was loaded.
func (a *attempt) expectedReplica() bool { return !a.expectsLoad || a.likelyLoaded }

// recordUnserved learns from a response other than a result.
func (o *outcomeRecorder) recordUnserved(a *attempt, entry *replica, e AttemptCompleted) {
	o.health.recordResponse(a.worker)
	switch {
	case e.Outcome == NotLoaded || e.LoadStatus == LoadFailed:
		entry.unloaded()
	case e.Outcome == Overloaded && entry.inFlight == 0 && !entry.loadPending:
		entry.loadDue = 0 // the rejected attempt began no load
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

// recordLoadTime learns from a load that succeeded.
func (o *outcomeRecorder) recordLoadTime(took nanoseconds, f *function) {
	o.breaker.recordSuccess()
	o.estimator.observeLoadTime(took, f)
}

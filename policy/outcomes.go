package policy

// observeOutcome has the parts learn from the end of an attempt.
func (p *Policy) observeOutcome(a *attempt, entry *replica, e AttemptCompleted) {
	switch e.Outcome {
	case Served:
		p.observeServed(a, entry, e)
	case Failed, Overloaded, NotLoaded:
		p.observeUnserved(a, entry, e)
	case ConnectionReset, Unreachable:
		// A connection that broke counts as one failure, however many attempts were on it.
		if e.Outcome == ConnectionReset && !a.worker.health.checking {
			p.estimator.recordResult(p.now, a, true)
		}
		p.recordConnectionFailure(a.worker, e.Outcome)
	case Canceled, TimedOut:
		p.estimator.observeUnanswered(p.now, a, e.Took)
	}
}

// observeServed learns from a response that a worker served.
func (p *Policy) observeServed(a *attempt, entry *replica, e AttemptCompleted) {
	f := a.request.function
	p.recordResponse(a.worker)
	p.estimator.recordResult(p.now, a, false)
	p.slowStart.recordServed(a.worker, a.request.class)
	response := p.estimator.measure(p.now, a, e)
	p.observeDelay(a, e, response)
	entry.served(p.now, p.cfg.KeepAlive)
	p.gossip.replicaLoaded(p.now, entry, f)
	p.observeTimeliness(a, e, response)
	unknownLoad := e.LoadStatus == LoadStatusUnknown && a.expectsLoad && response.waitedForLoad
	switch {
	case !response.waitedForLoad && (!a.expectsLoad || !p.cfg.MissWhenNotLoaded):
		p.estimator.observeWithoutLoad(p.now, a, response)
	case e.LoadStatus == StartedLoad || unknownLoad:
		p.observeLoadTime(response.took-response.run-response.queueing, f)
	}
}

// observeDelay updates the standing delay by a response of a replica that was known to be loaded. Elsewhere a
// guessed load may be a queue.
func (p *Policy) observeDelay(a *attempt, e AttemptCompleted, response servedResponse) {
	if !a.expectsLoad && e.LoadStatus <= AlreadyLoaded {
		p.shedder.observe(response.took, a.request.class.LatencyObjective)
	}
}

// observeTimeliness updates a function's congestion by a response.
func (p *Policy) observeTimeliness(a *attempt, e AttemptCompleted, response servedResponse) {
	f := a.request.function
	if response.took < nanoseconds(a.request.class.LatencyObjective) {
		f.recordTimelyResponse()
	} else if a.countedOnReplica() && e.LoadStatus <= AlreadyLoaded {
		f.recordCongestion(p.workers.ready)
	}
}

// countedOnReplica reports whether an attempt was sent in the belief that a replica was loaded.
func (a *attempt) countedOnReplica() bool { return !a.expectsLoad || a.likelyLoaded }

// observeUnserved learns from a response other than a result.
func (p *Policy) observeUnserved(a *attempt, entry *replica, e AttemptCompleted) {
	p.recordResponse(a.worker)
	switch {
	case e.Outcome == NotLoaded || e.LoadStatus == LoadFailed:
		entry.unloaded()
	case e.Outcome == Overloaded && entry.inFlight == 0 && !entry.loadPending:
		entry.loadDue = 0 // the rejected attempt began no load
	}
	switch {
	case e.LoadStatus == LoadFailed:
		p.breaker.recordFailure(p.now)
	case e.Outcome == Failed:
		p.estimator.recordResult(p.now, a, true)
	case e.Outcome == Overloaded && a.countedOnReplica():
		a.request.function.recordCongestion(p.workers.ready)
		p.estimator.observeOverload(p.now, a, e.Report)
	}
}

// observeLoadTime learns from a load that succeeded.
func (p *Policy) observeLoadTime(took nanoseconds, f *function) {
	p.breaker.recordSuccess()
	p.estimator.observeLoadTime(took, f)
}

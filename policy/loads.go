package policy

import (
	"slices"
	"time"
)

// loadTimePart is the part of the announced load time that a load must take to count as one: in less the
// replica was loaded already, or nearly.
const loadTimePart = 5

// MayStillLoad reports whether a load command that was decided on before may be sent at a time: workers count
// it when it arrives.
func (p *Policy) MayStillLoad(now time.Duration) bool { return p.budget.allowsQueuedCommand(now) }

// commandLoad has the function of a request loaded at a worker that lacks it. The request follows when it is
// loaded. It reports whether a load command is in flight.
func (p *Policy) commandLoad(r *request, entry *replica) bool {
	if !entry.loadPending && !p.sendLoadCommand(r, entry) {
		return false
	}
	entry.waiting = append(entry.waiting, r)
	r.excluded = slices.DeleteFunc(r.excluded, func(w *worker) bool { return w == entry.worker })
	return true
}

// sendLoadCommand sends a load command within the pool's and the router's load budget, and reports whether it
// did.
func (p *Policy) sendLoadCommand(r *request, entry *replica) bool {
	if p.budget.bounded() && !r.pool.MayLoad(p.now, p.budget.allowance(p.now)) {
		return false
	}
	if !p.emit(Load{Worker: entry.worker.Worker, Function: r.Function, Count: 1}) {
		return false
	}
	p.budget.recordCommand(p.now)
	r.pool.LoadStarted(p.now)
	entry.worker.pendingLoads++
	entry.loadPending = true
	entry.loadDue = p.now + p.estimator.fullLoadTime(r.function).duration()
	return true
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
	waiting := entry.waiting
	entry.loadPending = false
	entry.loadDue = 0
	entry.waiting = nil
	w.pendingLoads--
	p.observeLoad(entry, f, e)
	for _, r := range waiting {
		if e.Outcome != Served && e.Outcome != ConnectionReset {
			r.excluded = append(r.excluded, w)
		}
		p.schedule(r)
	}
}

// observeLoad has the parts learn from the result of a load command.
func (p *Policy) observeLoad(entry *replica, f *function, e LoadCompleted) {
	switch e.Outcome {
	case Served:
		p.recordResponse(entry.worker)
		entry.loadedUntil = p.now + p.cfg.KeepAlive
		p.gossip.replicaLoaded(p.now, entry, f)
		if e.Took > f.loadTime/loadTimePart {
			p.observeLoadTime(nanoseconds(e.Took), f)
		}
	case Failed:
		p.breaker.recordFailure(p.now)
	case ConnectionReset, Unreachable:
		p.recordConnectionFailure(entry.worker, e.Outcome)
	}
}

// idleLimit is how long an idle replica of a request's function is worth its memory: until that has cost what
// requests lose that find no replica.
func (p *Policy) idleLimit(r *request) time.Duration {
	memoryCost := p.budget.recentRequests(p.now) * p.cfg.MemoryPrice * r.MemoryMB
	if p.cfg.MissWhenNotLoaded || p.cfg.WorkerMemoryMB <= 0 || !(memoryCost > 0) { // NaN is no cost
		return p.cfg.KeepAlive
	}
	withLoad := p.estimator.fullLoadTime(r.function) + p.estimator.runTime(r)
	late := min(float64(withLoad)/float64(r.class.LatencyObjective), 1)
	lost := (1 - r.class.LatePriorityWeight) * late
	lost *= p.cfg.WorkerMemoryMB * float64(max(p.workers.ready, 1)) * float64(p.cfg.LoadBudgetWindow)
	return time.Duration(min(lost/memoryCost, float64(p.cfg.KeepAlive)))
}

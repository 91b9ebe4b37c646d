package policy

import (
	"slices"
	"time"
)

// minLoadTimeDivisor sets the least time that a load must take to be measured: the announced load time
// divided by this. If it took less, the replica was already loaded, or its load was almost complete.
const minLoadTimeDivisor = 5

// loader sends load commands within the load budget, and decides how long an idle replica is kept.
type loader struct {
	cfg       *Config
	turn      *turn
	workers   *workerTable
	replicas  *replicaTable
	estimator *latencyEstimator
	budget    *loadBudget
	breaker   *loadBreaker
	gossip    *gossiper
	health    *healthChecker
	outcomes  *outcomeRecorder
}

// command sends a load command for the function of a request to a worker that has no replica, unless one is
// in flight already. The request is scheduled again when the load command completes. It reports whether a
// load command is in flight.
func (l *loader) command(r *request, entry *replica) bool {
	if !entry.loadPending && !l.send(r, entry) {
		return false
	}
	entry.waiting = append(entry.waiting, r)
	r.excluded = slices.DeleteFunc(r.excluded, func(w *worker) bool { return w == entry.worker })
	return true
}

// send sends a load command if the pool's and the router's load budget allow it, and reports whether it did.
func (l *loader) send(r *request, entry *replica) bool {
	if l.replicas.tooManyLoads() {
		return false
	}
	if l.budget.bounded() && !r.pool.MayLoad(l.turn.now, l.budget.allowance(l.turn.now)) {
		return false
	}
	if !l.turn.emit(Load{Worker: entry.worker.Worker, Function: r.Function, Count: 1}) {
		return false
	}
	l.budget.recordCommand(l.turn.now)
	r.pool.LoadStarted(l.turn.now)
	l.replicas.loadStarted(entry)
	entry.loadDue = l.turn.now + l.estimator.fullLoadTime(r.function).duration()
	return true
}

// recordResult records the result of a load command and returns the requests that waited for it.
func (l *loader) recordResult(entry *replica, f *function, e LoadCompleted) (waiting []*request) {
	waiting = entry.waiting
	l.replicas.loadEnded(entry)
	entry.loadDue = 0
	entry.waiting = nil
	switch e.Outcome {
	case Served:
		l.recordLoaded(entry, f, e.Took)
	case Failed:
		l.breaker.recordFailure(l.turn.now)
	case ConnectionReset, Unreachable:
		l.health.recordConnectionFailure(entry.worker, e.Outcome)
	}
	return waiting
}

// recordLoaded records that a load command succeeded, and how long it took.
func (l *loader) recordLoaded(entry *replica, f *function, took time.Duration) {
	l.health.recordResponse(entry.worker)
	entry.loadedUntil = l.turn.now + l.cfg.KeepAlive
	l.gossip.replicaLoaded(l.turn.now, entry, f)
	if took > f.loadTime/minLoadTimeDivisor {
		l.outcomes.recordLoadTime(nanoseconds(took), f)
	}
}

// idleLimit returns how long an idle replica of a request's function is worth its memory: until the memory
// has cost as much as the loss of a request that finds no replica.
func (l *loader) idleLimit(r *request) time.Duration {
	memoryCost := l.budget.recentRequests(l.turn.now) * l.cfg.MemoryPrice * r.MemoryMB
	if l.cfg.MissWhenNotLoaded || l.cfg.WorkerMemoryMB <= 0 || !(memoryCost > 0) { // NaN counts as no cost
		return l.cfg.KeepAlive
	}
	withLoad := l.estimator.fullLoadTime(r.function) + l.estimator.runTime(r)
	lateRatio := min(float64(withLoad)/float64(r.class.LatencyObjective), 1)
	loss := (1 - r.class.LatePriorityWeight) * lateRatio
	loss *= l.cfg.WorkerMemoryMB * float64(max(l.workers.ready, 1)) * float64(l.cfg.LoadBudgetWindow)
	return time.Duration(min(loss/memoryCost, float64(l.cfg.KeepAlive)))
}

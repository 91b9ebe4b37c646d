package policy

import (
	"slices"
	"time"
)

type replica struct {
	worker                  *worker
	loadedUntil, gossipedAt time.Duration
	loadDue                 time.Duration // a load under way is expected to end then; 0: none
	inFlight, lanes         int           // attempts of ours: there now, and as many as it was seen to serve
	loadPending             bool          // by us, and not completed
	waiting                 []*request    // for that
}

func (r *replica) unloaded() { r.loadedUntil, r.loadDue, r.lanes = 0, 0, 0 }

func (p *Policy) recentRequests() float64 {
	return float64(p.arrivals.CountSince(p.now - p.cfg.LoadBudgetWindow + 1))
}

func (p *Policy) loadBudget() float64 {
	return p.cfg.LoadBudgetMinimum + p.cfg.LoadBudgetRatio*p.recentRequests()
}

// MayStillLoad reports whether an order that was decided on before may be sent at a time: it counts when it
// arrives.
func (p *Policy) MayStillLoad(now time.Duration) bool {
	if p.cfg.LoadBudgetWindow <= 0 {
		return true
	}
	orders := p.loadCommands.CountSince(now - p.cfg.LoadBudgetWindow)
	requests := p.arrivals.CountSince(now - p.cfg.LoadBudgetWindow + 1)
	return float64(orders) <= p.cfg.LoadBudgetMinimum+p.cfg.LoadBudgetRatio*float64(requests)
}

// commandLoad has the missing function of r loaded, with r to follow.
func (p *Policy) commandLoad(r *request, replica *replica) bool {
	if !replica.loadPending {
		if p.cfg.LoadBudgetWindow > 0 && !r.pool.MayLoad(p.now, p.loadBudget()) ||
			!p.emit(Load{Worker: replica.worker.Worker, Function: r.Function, Count: 1}) {
			return false
		}
		p.loadCommands.Add(p.now, p.cfg.LoadBudgetWindow)
		r.pool.LoadStarted(p.now)
		replica.worker.pendingLoads++
		replica.loadPending, replica.loadDue = true, p.now+time.Duration(p.fullLoadTime(r.function))
	}
	replica.waiting = append(replica.waiting, r)
	r.excluded = slices.DeleteFunc(r.excluded, func(w *worker) bool { return w == replica.worker })
	return true
}

func (p *Policy) loadCompleted(e LoadCompleted) {
	w, f := p.workers[e.Worker], p.functions[e.Function]
	if w == nil || f == nil || w.replicas[f.id] == nil || !w.replicas[f.id].loadPending {
		return
	}
	replica := w.replicas[f.id]
	waiting := replica.waiting
	replica.loadPending, replica.loadDue, replica.waiting = false, 0, nil
	w.pendingLoads--
	switch e.Outcome {
	case Served:
		p.recordResponse(w)
		replica.loadedUntil = p.now + p.cfg.KeepAlive
		p.gossipReplica(replica, f)
		if e.Took > f.loadTime/5 { // else it was loaded, or nearly
			p.observeLoadTime(float64(e.Took), f)
		}
	case Failed:
		p.openBreaker(1)
	case ConnectionReset, Unreachable:
		p.recordConnectionFailure(w, e.Outcome)
	}
	for _, r := range waiting { // elsewhere, unless it is loaded
		if e.Outcome != Served && e.Outcome != ConnectionReset {
			r.excluded = append(r.excluded, w)
		}
		p.schedule(r)
	}
}

// openBreaker guards the shared store: while loads fail they begin one at a time and ever more slowly.
func (p *Policy) openBreaker(failures int) {
	p.failedLoads += failures
	p.breakerUntil = p.now + housekeepingInterval<<min(p.failedLoads, 5)
}

// recordCongestion gives f a further rendezvous slot, as at all routers. Responses in time take that back.
func (p *Policy) recordCongestion(f *function) {
	f.congestion = min(f.congestion+1, float64(p.readyWorkers))
}

// idleLimit is how long an idle replica is worth its memory: until that cost what its absence would.
func (p *Policy) idleLimit(r *request) time.Duration {
	memory := p.recentRequests() * p.cfg.MemoryPrice * r.MemoryMB
	if p.cfg.MissWhenNotLoaded || p.cfg.WorkerMemoryMB <= 0 || !(memory > 0) {
		return p.cfg.KeepAlive
	}
	late := min((p.fullLoadTime(r.function)+p.runTime(r))/float64(r.class.LatencyObjective), 1)
	lost := (1 - r.class.LatePriorityWeight) * late
	lost *= p.cfg.WorkerMemoryMB * float64(max(p.readyWorkers, 1)) * float64(p.cfg.LoadBudgetWindow)
	return time.Duration(min(lost/memory, float64(p.cfg.KeepAlive)))
}

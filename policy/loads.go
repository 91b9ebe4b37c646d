package policy

import (
	"maps"
	"slices"
	"time"
)

// replica is what we believe of a function at a worker.
type replica struct {
	worker                  *worker
	loadedUntil, gossipedAt time.Duration
	loadDue                 time.Duration // a load under way is expected to end then; 0: none
	inFlight, lanes         int           // attempts of ours: there now, and as many as it was seen to serve
	loadOrdered             bool          // by us, and not completed
	waiting                 []*request    // for that
}

func (i *replica) unloaded() { i.loadedUntil, i.loadDue, i.lanes = 0, 0, 0 }

func (p *Policy) recentArrivals() float64 {
	return float64(p.arrivals.CountSince(p.now - p.cfg.LoadBudgetWindow + 1))
}

// loadBudget is how many load orders the window may hold now.
func (p *Policy) loadBudget() float64 {
	return p.cfg.LoadBudgetMinimum + p.cfg.LoadBudgetRatio*p.recentArrivals()
}

func (p *Policy) loadBudgetLeft() bool {
	return p.cfg.LoadBudgetWindow <= 0 ||
		float64(p.loadOrders.CountSince(p.now-p.cfg.LoadBudgetWindow)+1) <= p.loadBudget()
}

// orderLoad has the missing function of r loaded, with r to follow.
func (p *Policy) orderLoad(r *request, i *replica) bool {
	if !i.loadOrdered {
		if p.cfg.LoadBudgetWindow > 0 && !r.pool.MayLoad(p.now, p.loadBudget()) ||
			!p.emit(Load{Worker: i.worker.Worker, Function: r.Function, Count: 1}) {
			return false
		}
		p.loadOrders.Add(p.now, p.cfg.LoadBudgetWindow)
		r.pool.LoadStarted(p.now)
		i.worker.pendingLoads++
		i.loadOrdered, i.loadDue = true, p.now+time.Duration(p.fullLoad(r.function))
	}
	i.waiting = append(i.waiting, r)
	r.excluded = slices.DeleteFunc(r.excluded, func(w *worker) bool { return w == i.worker })
	return true
}

func (p *Policy) loadCompleted(e LoadCompleted) {
	w, f := p.workers[e.Worker], p.functions[e.Function]
	if w == nil || f == nil || w.replicas[f.id] == nil || !w.replicas[f.id].loadOrdered {
		return
	}
	i := w.replicas[f.id]
	waiting := i.waiting
	i.loadOrdered, i.loadDue, i.waiting = false, 0, nil
	w.pendingLoads--
	switch e.Outcome {
	case Served:
		p.responded(w)
		i.loadedUntil = p.now + p.cfg.KeepAlive
		p.gossipReplica(i, f)
		if e.Took > f.loadTime/5 { // else it was loaded, or nearly
			p.observeLoad(float64(e.Took), f)
		}
	case Failed:
		p.openBreaker(1)
	case ConnectionReset, Unreachable:
		p.connectionFailed(w, e.Outcome)
	}
	for _, r := range waiting { // elsewhere, unless it is loaded
		if e.Outcome != Served && e.Outcome != ConnectionReset {
			r.excluded = append(r.excluded, w)
		}
		p.schedule(r)
	}
}

// openBreaker guards the shared store: while loads fail they begin one at a time and ever more slowly, and what
// needs one is deferred, until one succeeds. A failure by chance costs one short pause.
func (p *Policy) openBreaker(failures int) {
	p.failedLoads += failures
	p.breakerUntil = p.now + housekeepingInterval<<min(p.failedLoads, 5)
}

// congested gives f a further rendezvous slot, as at all routers. Responses in time take that back.
func (p *Policy) congested(f *function) { f.congestion = min(f.congestion+1, float64(p.readyWorkers)) }

// idleLimit is how long an idle replica of r's function is worth its memory: until that cost what a request
// loses that finds none. A router among several sees only its own requests, so keeps it longer; where only
// orders within the budget load, it keeps it for good.
func (p *Policy) idleLimit(r *request) time.Duration {
	memory := p.recentArrivals() * p.cfg.MemoryPrice * r.MemoryMB
	if p.cfg.MissWhenNotLoaded || p.cfg.WorkerMemoryMB <= 0 || !(memory > 0) {
		return p.cfg.KeepAlive
	}
	late := min((p.fullLoad(r.function)+p.runTime(r))/float64(r.class.LatencyObjective), 1)
	lost := (1 - r.class.LatePriorityWeight) * late
	lost *= p.cfg.WorkerMemoryMB * float64(max(p.readyWorkers, 1)) * float64(p.cfg.LoadBudgetWindow)
	return time.Duration(min(lost/memory, float64(p.cfg.KeepAlive)))
}

// sweepReplicas unloads what is idle for too long, and forgets what is no longer loaded, always in one order.
func (p *Policy) sweepReplicas(w *worker) {
	for _, id := range slices.Sorted(maps.Keys(w.replicas)) {
		i, f := w.replicas[id], p.functions[id]
		idle, left := i.inFlight == 0 && !i.loadOrdered && p.now > i.loadDue, i.loadedUntil-p.now
		tooLong := f != nil && left+f.idleLimit < p.cfg.KeepAlive
		if idle && (left < 0 || tooLong && p.emit(Unload{w.Worker, id})) {
			p.replicas.remove(id, w)
		}
	}
}

package policy

import (
	"maps"
	"slices"
	"time"
)

// replica is what we believe of a function's replicas at a worker.
type replica struct {
	worker      *worker
	loadedUntil time.Duration
	gossipedAt  time.Duration
	loadDue     time.Duration // a load under way is expected to end then; 0: none
	loadOrdered bool          // by us, and not completed
	waiting     []*request    // for that
	inFlight    int           // attempts of ours
	lanes       int           // as many of them as it was seen to serve at a time
}

func (p *Policy) replica(w *worker, f FunctionID) *replica {
	i := w.replicas[f]
	if i == nil {
		i = &replica{worker: w}
		w.replicas[f] = i
		p.replicas.add(f, i)
	}
	return i
}

// unloaded says that none is loaded.
func (i *replica) unloaded() { i.loadedUntil, i.loadDue, i.lanes = 0, 0, 0 }

// recentArrivals is how many requests came within the load budget's window.
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

// orderLoad has the missing function of r loaded, with r to follow. It reports whether that was possible.
func (p *Policy) orderLoad(r *request, i *replica) bool {
	if !i.loadOrdered {
		if p.cfg.LoadBudgetWindow > 0 && !r.pool.MayLoad(p.now, p.loadBudget()) ||
			!p.emit(Load{Worker: i.worker.Worker, Function: r.Function, Count: 1}) {
			return false
		}
		if p.cfg.LoadBudgetWindow > 0 {
			p.loadOrders.Add(p.now, p.cfg.LoadBudgetWindow)
		}
		r.pool.LoadStarted(p.now)
		i.worker.pendingLoads++
		i.loadOrdered, i.loadDue = true, p.now+time.Duration(p.newLoadTime(r.function))
	}
	i.waiting = append(i.waiting, r)
	r.excluded = slices.DeleteFunc(r.excluded, func(o *worker) bool { return o == i.worker })
	return true
}

func (p *Policy) loadCompleted(e LoadCompleted) {
	w, f := p.workers[e.Worker], p.functions[e.Function]
	if w == nil || f == nil || w.replicas[f.id] == nil || !w.replicas[f.id].loadOrdered {
		return
	}
	i := w.replicas[f.id]
	i.loadOrdered, i.loadDue = false, 0
	w.pendingLoads--
	switch e.Outcome {
	case Served:
		p.workerResponded(w)
		i.loadedUntil = p.now + p.cfg.KeepAlive
		p.gossipReplica(i, f)
		if e.Took > f.loadTime/5 { // else it was loaded already, or nearly
			p.observeLoadTime(float64(e.Took), f)
		}
	case Failed:
		p.openBreaker(1)
	case ConnectionReset, Unreachable:
		p.connectionFailed(w, e.Outcome)
	}
	waiting := i.waiting
	i.waiting = nil
	for _, r := range waiting { // they go elsewhere, unless it is loaded or may be
		if e.Outcome != Served && e.Outcome != ConnectionReset {
			r.excluded = append(r.excluded, w)
		}
		p.schedule(r)
	}
}

// openBreaker guards the store that all workers load from: while loads fail they begin one at a time and ever more
// slowly, and requests that need one are deferred, until one succeeds. A failure by chance costs one short pause.
func (p *Policy) openBreaker(failures int) {
	p.failedLoads += failures
	p.breakerUntil = p.now + housekeepingInterval<<min(p.failedLoads, 5)
}

// congested gives f a further rank at which it is loaded, as at all routers. Responses in time take that back.
func (p *Policy) congested(f *function) { f.congestion = min(f.congestion+1, float64(p.readyWorkers)) }

// idleLimit is how long an idle replica of r's function is worth its memory: until that cost what a request loses
// that finds none, in requests. A router among several sees only its own, so keeps it longer; where only orders
// within the budget load, it keeps it for good.
func (p *Policy) idleLimit(r *request) time.Duration {
	memory := p.recentArrivals() * p.cfg.MemoryPrice * r.MemoryMB
	if p.cfg.MissWhenNotLoaded || p.cfg.WorkerMemoryMB <= 0 || !(memory > 0) {
		return p.cfg.KeepAlive
	}
	late := min((p.newLoadTime(r.function)+p.runTime(r))/float64(r.class.LatencyObjective), 1)
	loss := (1 - r.class.LatePriorityWeight) * late
	loss *= p.cfg.WorkerMemoryMB * float64(max(p.readyWorkers, 1)) * float64(p.cfg.LoadBudgetWindow)
	return time.Duration(min(loss/memory, float64(p.cfg.KeepAlive)))
}

// sweepReplicas unloads what has been idle for longer than its memory is worth, and forgets what workers no longer
// keep. It goes by the functions' order, so that equal runs do equal things.
func (p *Policy) sweepReplicas(w *worker) {
	for _, id := range slices.Sorted(maps.Keys(w.replicas)) {
		i, f := w.replicas[id], p.functions[id]
		if i.inFlight > 0 || i.loadOrdered || p.now <= i.loadDue {
			continue
		}
		left := i.loadedUntil - p.now
		if left < 0 || f != nil && left+f.idleLimit < p.cfg.KeepAlive && p.emit(Unload{w.Worker, id}) {
			p.replicas.remove(id, w)
		}
	}
}

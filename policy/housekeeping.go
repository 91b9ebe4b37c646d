package policy

import (
	"maps"
	"slices"
	"time"
)

const (
	housekeepingInterval = 50 * time.Millisecond // well below any latency objective, and cheap enough
	sweepInterval        = time.Second

	// gossipedKeepAlivePercent is the part of the keep-alive for which a replica that another router reports
	// is assumed to be loaded. It is less than the whole, because the report is already some time old.
	gossipedKeepAlivePercent = 90
)

// housekeep does the work that is due at each housekeepingInterval.
func (p *Policy) housekeep() {
	p.emit(SetTimer{After: housekeepingInterval, Token: timerToken{kind: housekeepingTimer}.encode()})
	p.slowStart.decayServed()
	for _, w := range p.workers.fleet {
		p.slowStart.refill(p.now, w)
		p.health.checkIfDue(w)
	}
	if message := p.gossip.takeMessage(); message != nil {
		p.emit(SendGossip{To: -1, Data: message})
	}
	for _, r := range p.requests.takeDeferred() {
		p.schedule(r)
	}
	if p.now-p.maintenance.lastSweep >= sweepInterval {
		p.maintenance.lastSweep = p.now
		p.sweep()
	}
}

// sweep removes workers, replicas and functions that are no longer in use, and unloads replicas that are not
// worth their memory.
func (p *Policy) sweep() {
	p.workers.removeGone(p.replicas.removeWorker)
	p.endpoints.updateCapacities()
	for _, w := range p.workers.fleet {
		for _, id := range slices.Sorted(maps.Keys(w.replicas)) { // equal events must give equal actions
			p.sweepReplica(w, id)
		}
	}
	p.functions.forgetUnused(p.now)
}

// sweepReplica removes the entry of an idle replica whose keep-alive is over. A replica that has been idle
// for longer than its function's idleLimit is unloaded earlier.
func (p *Policy) sweepReplica(w *worker, id FunctionID) {
	entry := w.replicas[id]
	if entry.inFlight > 0 || entry.loadPending || p.now <= entry.loadDue {
		return
	}
	remaining := entry.loadedUntil - p.now
	f := p.functions.get(id)
	idleTooLong := f != nil && remaining+f.idleLimit < p.cfg.KeepAlive
	if remaining < 0 || idleTooLong && p.emit(Unload{Worker: w.Worker, Function: id}) {
		p.replicas.remove(id, w)
	}
}

// gossipReceived records the replicas that another router reports as loaded.
func (p *Policy) gossipReceived(e GossipReceived) {
	for id, f := range gossipedReplicas(e.Data) {
		w := p.workers.get(id)
		if w == nil || w.State != Ready {
			continue
		}
		entry := p.replicas.get(w, f)
		expectedUntil := p.now + p.cfg.KeepAlive*gossipedKeepAlivePercent/100
		entry.loadedUntil = max(entry.loadedUntil, expectedUntil)
	}
}

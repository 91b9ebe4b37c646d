package policy

import (
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
		p.sweepReplicas(w)
	}
	p.functions.forgetUnused(p.now)
}

// sweepReplicas removes the entries of a worker's idle replicas whose keep-alive is over. A replica that
// has been idle for longer than its function's idleLimit is unloaded earlier.
func (p *Policy) sweepReplicas(w *worker) {
	p.maintenance.idleBuffer = p.maintenance.idleBuffer[:0]
	for id, entry := range w.replicas {
		if !entry.inUse() && p.now > entry.loadDue && (entry.loadedUntil < p.now || p.idleTooLong(entry)) {
			p.maintenance.idleBuffer = append(p.maintenance.idleBuffer, id)
		}
	}
	slices.Sort(p.maintenance.idleBuffer) // equal events must give equal actions
	for _, id := range p.maintenance.idleBuffer {
		expired := w.replicas[id].loadedUntil < p.now
		if expired || p.emit(Unload{Worker: w.Worker, Function: id}) {
			p.replicas.remove(id, w)
		}
	}
}

// idleTooLong reports whether an idle replica is no longer worth its memory.
func (p *Policy) idleTooLong(entry *replica) bool {
	f := p.functions.get(entry.function)
	return f != nil && entry.loadedUntil-p.now+f.idleLimit < p.cfg.KeepAlive
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

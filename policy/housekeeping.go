package policy

import (
	"maps"
	"slices"
	"time"
)

const (
	housekeepingInterval = 50 * time.Millisecond // well below any latency objective, cheap enough
	sweepInterval        = time.Second
	functionMemory       = 2 * time.Minute // a function without requests is forgotten then
)

// housekeep does what is due at a fixed interval.
func (p *Policy) housekeep() {
	p.emit(SetTimer{After: housekeepingInterval, Token: housekeepingToken})
	p.servedWork *= rateRetention
	p.servedSpan = rateRetention*p.servedSpan + housekeepingInterval.Seconds()
	for _, w := range p.fleet {
		w.servedWork *= rateRetention
		p.refillSlowStart(w)
		p.checkSilent(w)
	}
	p.sendGossip()
	deferred := p.deferred
	p.deferred = nil
	for _, r := range deferred {
		p.schedule(r)
	}
	if p.now-p.lastSweep >= sweepInterval {
		p.lastSweep = p.now
		p.sweep()
	}
}

// sweep forgets what is no longer used.
func (p *Policy) sweep() {
	p.fleet = slices.DeleteFunc(p.fleet, func(w *worker) bool {
		unused := w.State == Gone && len(w.inFlight) == 0 && w.pendingLoads == 0
		if unused {
			p.replicas.removeWorker(w)
			delete(p.workers, w.Worker)
		}
		return unused
	})
	p.updateCapacities()
	for _, w := range p.fleet {
		p.sweepReplicas(w)
	}
	maps.DeleteFunc(p.functions, func(_ FunctionID, f *function) bool { return p.now-f.lastUsed > functionMemory })
}

package policy

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

const (
	housekeepingInterval = 50 * time.Millisecond // well below any latency objective, cheap enough
	sweepInterval        = time.Second
	functionMemory       = 2 * time.Minute // a function without requests is forgotten then
	gossipEntryBytes     = 16              // a worker and a function; 16 of them fill a message
	gossipPerRequest     = 2               // routers that a request pays messages for, however many there are
)

func (p *Policy) housekeep() {
	p.emit(SetTimer{After: housekeepingInterval, Token: housekeepingToken})
	p.servedWork *= rateRetention
	p.servedSpan = rateRetention*p.servedSpan + housekeepingInterval.Seconds()
	for _, w := range p.fleet {
		w.servedWork *= rateRetention
		p.refillSlowStart(w)
		p.checkSilent(w)
	}
	p.gossip = p.gossip[max(0, len(p.gossip)-16*gossipEntryBytes):]
	if others := float64(p.cfg.Routers - 1); len(p.gossip) > 0 && p.gossipTokens >= others {
		p.emit(SendGossip{To: -1, Data: slices.Clone(p.gossip)})
		p.gossip, p.gossipTokens = p.gossip[:0], p.gossipTokens-others
	}
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

func (p *Policy) sweep() {
	p.fleet = slices.DeleteFunc(p.fleet, func(w *worker) bool {
		gone := w.State == Gone && len(w.inFlight) == 0 && w.pendingLoads == 0
		if gone {
			p.replicas.removeWorker(w)
			delete(p.workers, w.Worker)
		}
		return gone
	})
	p.updateCapacities()
	for _, w := range p.fleet {
		for _, id := range slices.Sorted(maps.Keys(w.replicas)) { // equal runs must do equal things
			replica, f := w.replicas[id], p.functions[id]
			idle := replica.inFlight == 0 && !replica.loadPending && p.now > replica.loadDue
			left := replica.loadedUntil - p.now
			tooLong := f != nil && left+f.idleLimit < p.cfg.KeepAlive
			if idle && (left < 0 || tooLong && p.emit(Unload{w.Worker, id})) {
				p.replicas.remove(id, w)
			}
		}
	}
	unused := func(_ FunctionID, f *function) bool { return p.now-f.lastUsed > functionMemory }
	maps.DeleteFunc(p.functions, unused)
}

// gossipReplica has few other routers know of a replica, again in its keep-alive: else each loads its own.
func (p *Policy) gossipReplica(replica *replica, f *function) {
	if p.cfg.GossipSupported && p.cfg.Routers > 1 && p.now-replica.gossipedAt > p.cfg.KeepAlive/4 {
		replica.gossipedAt = p.now
		p.gossip = binary.BigEndian.AppendUint64(p.gossip, uint64(replica.worker.Worker))
		p.gossip = binary.BigEndian.AppendUint64(p.gossip, uint64(f.id))
	}
}

func (p *Policy) gossipReceived(gossip []byte) {
	for ; len(gossip) >= gossipEntryBytes; gossip = gossip[gossipEntryBytes:] {
		if w := p.workers[WorkerID(binary.BigEndian.Uint64(gossip))]; w != nil && w.State == Ready {
			replica := p.replicas.get(w, FunctionID(binary.BigEndian.Uint64(gossip[8:])))
			replica.loadedUntil = max(replica.loadedUntil, p.now+p.cfg.KeepAlive*9/10)
		}
	}
}

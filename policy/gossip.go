package policy

import (
	"encoding/binary"
	"slices"
)

const (
	gossipEntryBytes = 16 // a worker and a function
	gossipEntries    = 16 // in a message
	gossipPerRequest = 2  // a request pays for messages to so many routers, whatever their number
)

// gossipReplica has some other routers know of a replica, again in its keep-alive: else each loads its own.
func (p *Policy) gossipReplica(i *replica, f *function) {
	if p.cfg.GossipSupported && p.cfg.Routers > 1 && p.now-i.gossipedAt > p.cfg.KeepAlive/4 {
		i.gossipedAt = p.now
		p.gossip = binary.BigEndian.AppendUint64(p.gossip, uint64(i.worker.Worker))
		p.gossip = binary.BigEndian.AppendUint64(p.gossip, uint64(f.id))
	}
}

// sendGossip sends the latest entries, once enough requests have come.
func (p *Policy) sendGossip() {
	p.gossip = p.gossip[max(0, len(p.gossip)-gossipEntries*gossipEntryBytes):]
	others := float64(p.cfg.Routers - 1)
	if len(p.gossip) > 0 && p.gossipTokens >= others {
		p.emit(SendGossip{To: -1, Data: slices.Clone(p.gossip)})
		p.gossip = p.gossip[:0]
		p.gossipTokens -= others
	}
}

func (p *Policy) gossipReceived(gossip []byte) {
	for ; len(gossip) >= gossipEntryBytes; gossip = gossip[gossipEntryBytes:] {
		w := p.workers[WorkerID(binary.BigEndian.Uint64(gossip))]
		if w != nil && w.State == Ready {
			i := p.replica(w, FunctionID(binary.BigEndian.Uint64(gossip[8:])))
			i.loadedUntil = max(i.loadedUntil, p.now+p.cfg.KeepAlive*9/10)
		}
	}
}

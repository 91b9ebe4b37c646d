package policy

import (
	"encoding/binary"
	"iter"
	"slices"
	"time"
)

const (
	gossipEntryBytes = 16 // a worker and a function, 8 bytes each
	maxGossipEntries = 16

	// gossipMessagesPerRequest is how many messages to one router a request pays for, however many routers
	// there are.
	gossipTokensPerRequest = 2

	// gossipRepeats is how often a replica is gossiped within its keep-alive.
	gossipsPerKeepAlive = 4
)

// gossiper collects the replicas that the other routers should know of, where the settings allow gossip.
// Without it each router loads replicas of its own.
//
// Invariant: messages are paid for by requests, so that gossip stays below a fixed multiple of the traffic.
type gossiper struct {
	cfg     *Config
	pending []byte  // entries that are yet to be sent
	tokens  float64 // messages to one router that requests have paid for
}

// requestArrived adds what a request pays for.
func (g *gossiper) requestArrived() {
	g.tokens = min(g.tokens+gossipTokensPerRequest, float64(g.cfg.Routers))
}

// replicaLoaded queues an entry for a replica that was seen to be loaded.
func (g *gossiper) replicaLoaded(now time.Duration, loaded *replica, f *function) {
	gossips := g.cfg.GossipSupported && g.cfg.Routers > 1
	if !gossips || now-loaded.gossipedAt <= g.cfg.KeepAlive/gossipsPerKeepAlive {
		return
	}
	loaded.gossipedAt = now
	g.pending = binary.BigEndian.AppendUint64(g.pending, uint64(loaded.worker.Worker))
	g.pending = binary.BigEndian.AppendUint64(g.pending, uint64(f.id))
}

// takeMessage returns the message that is to be sent to all other routers now, or nil. Entries beyond one
// message are dropped, the oldest first.
func (g *gossiper) takeMessage() []byte {
	excess := len(g.pending) - maxGossipEntries*gossipEntryBytes
	g.pending = g.pending[max(0, excess):]
	others := float64(g.cfg.Routers - 1)
	if len(g.pending) == 0 || g.tokens < others {
		return nil
	}
	message := slices.Clone(g.pending)
	g.pending = g.pending[:0]
	g.tokens -= others
	return message
}

// gossipedReplicas returns the entries of a message. What is left behind the last whole entry is ignored.
func gossipedReplicas(message []byte) iter.Seq2[WorkerID, FunctionID] {
	return func(yield func(WorkerID, FunctionID) bool) {
		for ; len(message) >= gossipEntryBytes; message = message[gossipEntryBytes:] {
			w := WorkerID(binary.BigEndian.Uint64(message))
			f := FunctionID(binary.BigEndian.Uint64(message[8:]))
			if !yield(w, f) {
				return
			}
		}
	}
}

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

	// gossipTokensPerRequest is the number of tokens that a request adds, whatever the number of routers. One
	// token allows a message to one router.
	gossipTokensPerRequest = 2

	// gossipsPerKeepAlive is how many times a replica in use is gossiped within one keep-alive.
	gossipsPerKeepAlive = 4
)

// gossiper collects the replicas that are reported to other routers if the settings allow gossip. Without
// gossip, each router loads replicas of its own.
//
// Invariant: each message to a router takes a token, and only requests add tokens, so that gossip stays below
// a fixed multiple of the requests.
type gossiper struct {
	cfg     *Config
	pending []byte  // entries that have not been sent yet
	tokens  float64 // number of messages to one router that may be sent
}

// requestArrived adds the tokens for a request.
func (g *gossiper) requestArrived() {
	g.tokens = min(g.tokens+gossipTokensPerRequest, float64(g.cfg.Routers))
}

// replicaLoaded queues an entry for a replica that is known to be loaded, unless one was queued recently.
func (g *gossiper) replicaLoaded(now time.Duration, loaded *replica, f *function) {
	gossipEnabled := g.cfg.GossipSupported && g.cfg.Routers > 1
	if !gossipEnabled || now-loaded.gossipedAt <= g.cfg.KeepAlive/gossipsPerKeepAlive {
		return
	}
	loaded.gossipedAt = now
	g.pending = binary.BigEndian.AppendUint64(g.pending, uint64(loaded.worker.Worker))
	g.pending = binary.BigEndian.AppendUint64(g.pending, uint64(f.id))
}

// takeMessage returns the message that is to be sent to all other routers now, or nil if there is none.
// Entries that do not fit into one message are dropped, the oldest first.
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

// gossipedReplicas returns the entries of a message. An incomplete entry at the end is ignored.
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

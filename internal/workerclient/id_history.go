package workerclient

import (
	"hash/maphash"
	"time"
)

const (
	// idHistoryPeriod is the shortest time for which ids are remembered; the longest is twice that. It is longer than
	// any request lasts.
	idHistoryPeriod = 8 * time.Second
	// maxRememberedIDs is the maximum number of ids that one connection remembers. A connection that has reached it
	// accepts no new requests.
	maxRememberedIDs = 2048
	// minRememberedIDs is the number of ids that each connection may remember, however many connections there are.
	minRememberedIDs = 256
)

// idSeed is the seed of the hashes of ids.
var idSeed = maphash.MakeSeed()

// idBudget limits the ids that all connections of a pool remember together.
type idBudget struct {
	total         int // 0: only maxRememberedIDs limits them
	perConnection int // 0: not divided yet
}

// divide divides the budget among the connections that there are.
func (b *idBudget) divide(connections int) {
	b.perConnection = maxRememberedIDs
	if b.total > 0 && connections > 0 {
		b.perConnection = min(max(b.total/connections, minRememberedIDs), maxRememberedIDs)
	}
}

// limit returns how many ids one connection may remember.
func (b *idBudget) limit() int {
	if b == nil || b.perConnection == 0 {
		return maxRememberedIDs
	}
	return b.perConnection
}

// idHistory remembers the ids of requests that are no longer in flight on a connection, so that the connection does not
// carry the same id again: a duplicate response, or one that arrives after its request was canceled, must not complete
// a later attempt of the same request. Ids are forgotten in generations. Only hashes are kept: where two ids have the
// same one, the second is sent over another connection.
type idHistory struct {
	budget    *idBudget           // nil: none
	current   map[uint64]struct{} // hashes of ids that were added since rotatedAt
	previous  map[uint64]struct{} // of those that were added in the period before that
	rotatedAt time.Duration
}

func (h *idHistory) add(id string) {
	if h.current == nil {
		h.current = map[uint64]struct{}{}
	}
	h.current[maphash.String(idSeed, id)] = struct{}{}
}

func (h *idHistory) has(id string) bool {
	hash := maphash.String(idSeed, id)
	_, current := h.current[hash]
	_, previous := h.previous[hash]
	return current || previous
}

func (h *idHistory) full() bool { return len(h.current)+len(h.previous) >= h.budget.limit() }

// rotate forgets the previous generation and starts a new one, if that is due.
func (h *idHistory) rotate(now time.Duration) {
	if now-h.rotatedAt < idHistoryPeriod {
		return
	}
	h.previous = h.current
	h.current = nil
	h.rotatedAt = now
}

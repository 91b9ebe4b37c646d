package workerclient

import "time"

const (
	// idHistoryPeriod is the shortest time for which ids are remembered; the longest is twice that. It is longer than
	// any request lasts.
	idHistoryPeriod = 8 * time.Second
	// maxRememberedIDs is the maximum number of ids that one connection remembers. A connection that has reached it
	// accepts no new requests.
	maxRememberedIDs = 2048
)

// idHistory remembers the ids of requests that are no longer in flight on a connection, so that the connection does not
// carry the same id again: a duplicate response, or one that arrives after its request was canceled, must not complete
// a later attempt of the same request. Ids are forgotten in generations.
type idHistory struct {
	current   map[string]struct{} // added since rotatedAt
	previous  map[string]struct{} // added in the period before that
	rotatedAt time.Duration
}

func (h *idHistory) add(id string) {
	if h.current == nil {
		h.current = map[string]struct{}{}
	}
	h.current[id] = struct{}{}
}

func (h *idHistory) has(id string) bool {
	_, current := h.current[id]
	_, previous := h.previous[id]
	return current || previous
}

func (h *idHistory) full() bool { return len(h.current)+len(h.previous) >= maxRememberedIDs }

// rotate forgets the previous generation and starts a new one, if that is due.
func (h *idHistory) rotate(now time.Duration) {
	if now-h.rotatedAt < idHistoryPeriod {
		return
	}
	h.previous = h.current
	h.current = nil
	h.rotatedAt = now
}

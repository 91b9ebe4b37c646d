package workerclient

import "time"

const (
	// idHistoryPeriod is for how long ids are remembered at least, and twice that at most. It is longer than any
	// request lasts.
	idHistoryPeriod = 8 * time.Second
	// maxRememberedIDs bounds the ids that one connection remembers. One with so many takes no new requests.
	maxRememberedIDs = 2048
)

// idHistory remembers the ids of the requests that ended on a connection, so that the connection carries none of them
// again: a second copy of a response, or one that arrives after its request was canceled, must not end a later attempt
// of the same request. It forgets by generations.
type idHistory struct {
	current   map[string]struct{} // added since rotatedAt
	previous  map[string]struct{} // added in the period before
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

// rotate forgets what was added before the last rotation, where one is due.
func (h *idHistory) rotate(now time.Duration) {
	if now-h.rotatedAt < idHistoryPeriod {
		return
	}
	h.previous = h.current
	h.current = nil
	h.rotatedAt = now
}

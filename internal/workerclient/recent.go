package workerclient

import "time"

const (
	idHistoryPeriod  = 8 * time.Second // at least, and twice that at most: longer than any call lasts
	maxRememberedIDs = 2048            // ids on one connection; one with more takes no new calls
)

// idHistory remembers the ids of the calls that ended on a connection, so that the connection carries none
// of them again: a second copy of an answer, or one that comes after its call was given up, must not end
// a later attempt of the same request. It forgets by whole generations.
type idHistory struct {
	current, previous map[string]struct{}
	rotatedAt         time.Duration
}

func (r *idHistory) add(id string) {
	if r.current == nil {
		r.current = map[string]struct{}{}
	}
	r.current[id] = struct{}{}
}

func (r *idHistory) has(id string) bool {
	_, now := r.current[id]
	_, before := r.previous[id]
	return now || before
}

func (r *idHistory) full() bool { return len(r.current)+len(r.previous) >= maxRememberedIDs }

// rotate forgets what was added before the last turn of generations.
func (r *idHistory) rotate(now time.Duration) {
	if now-r.rotatedAt >= idHistoryPeriod {
		r.current, r.previous, r.rotatedAt = nil, r.current, now
	}
}

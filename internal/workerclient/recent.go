package workerclient

import "time"

const (
	rememberFor  = 8 * time.Second // at least, and twice that at most: longer than any call lasts
	rememberMost = 2048            // ids on one connection; one with more takes no new calls
)

// recent remembers the ids of the calls that ended on a connection, so that the connection carries none
// of them again: a second copy of an answer, or one that comes after its call was given up, must not end
// a later attempt of the same request. It forgets by whole generations.
type recent struct {
	now, before map[string]struct{}
	turned      time.Duration
}

func (r *recent) add(id string) {
	if r.now == nil {
		r.now = map[string]struct{}{}
	}
	r.now[id] = struct{}{}
}

func (r *recent) has(id string) bool {
	_, now := r.now[id]
	_, before := r.before[id]
	return now || before
}

func (r *recent) full() bool { return len(r.now)+len(r.before) >= rememberMost }

// sweep forgets what was added before the last turn of generations.
func (r *recent) sweep(now time.Duration) {
	if now-r.turned >= rememberFor {
		r.now, r.before, r.turned = nil, r.now, now
	}
}

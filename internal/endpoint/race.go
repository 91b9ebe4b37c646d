package endpoint

import "time"

const (
	// ConnectionAttemptDelay is how long a dial is in progress before the next address is tried beside it (RFC 8305,
	// section 5). It is less where the dial timeout or the request's budget is short.
	ConnectionAttemptDelay = 250 * time.Millisecond
	// MaxDialsPerWorker is how many dials of one race may be in progress at once.
	MaxDialsPerRace = 4
	// MaxDials is how many dials to all workers may be in progress at once.
	MaxDials = 64

	// minDialDelay is the shortest time between dials that are in progress together.
	minDialDelay = time.Millisecond
)

// DialRace is the dialling of one connection: addresses are tried in turn, the next one as soon as one has failed, or
// beside it when it takes long. The first that comes up wins. It makes no dials itself: its caller
// dials the address that Next returns, and reports the end of each dial once.
type DialRace struct {
	remaining  []Addr // yet to be tried
	inProgress int
	lastDialAt time.Duration
	delay      time.Duration // between dials that are in progress together
	won        bool
}

// NewDialRace returns a race over candidates. One dial may take up to dialTimeout. budget is the time that is left to
// the request that needs the connection, or 0: dials begin early enough that all addresses are tried within it.
func NewDialRace(candidates []Addr, dialTimeout, budget time.Duration) *DialRace {
	delay := min(ConnectionAttemptDelay, dialTimeout)
	count := time.Duration(len(candidates))
	if count > 1 && budget > 0 {
		delay = min(delay, budget/(2*count))
	}
	return &DialRace{remaining: candidates, delay: max(delay, minDialDelay)}
}

// Next returns the address to dial now, and false where none is due. mayOverlap is whether a dial may begin beside
// others of the race; the only one is always allowed.
func (r *DialRace) Next(now time.Duration, mayOverlap bool) (Addr, bool) {
	if r.won || len(r.remaining) == 0 {
		return Addr{}, false
	}
	if r.inProgress > 0 && !(mayOverlap && r.overlapDue(now)) {
		return Addr{}, false
	}
	addr := r.remaining[0]
	r.remaining = r.remaining[1:]
	r.inProgress++
	r.lastDialAt = now
	return addr, true
}

// overlapDue reports whether the dials in progress have taken long enough for a further one.
func (r *DialRace) overlapDue(now time.Duration) bool {
	return r.inProgress < MaxDialsPerRace && now-r.lastDialAt >= r.delay
}

// DialFailed records that a dial failed. It reports whether the race is lost: no dial is in progress and no address is
// left.
func (r *DialRace) DialFailed() (lost bool) {
	r.inProgress--
	return !r.won && r.inProgress == 0 && len(r.remaining) == 0
}

// DialSucceeded records that a dial came up. It reports whether it is the first; the connection of any other is not
// needed.
func (r *DialRace) DialSucceeded() (first bool) {
	r.inProgress--
	first = !r.won
	r.won = true
	return first
}

// InProgress returns how many dials are in progress.
func (r *DialRace) InProgress() int { return r.inProgress }

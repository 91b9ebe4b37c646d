package endpoint

import "time"

const (
	// ConnectionAttemptDelay is how long a dial has before the next address is tried beside it (RFC 8305, section 5),
	// where the time that a dial may take is longer.
	ConnectionAttemptDelay = 250 * time.Millisecond
	// MaxDialsPerWorker is how many dials of one race may be in progress at once.
	MaxDialsPerWorker = 4
	// MaxDials is how many dials to all workers may be in progress at once.
	MaxDials = 64

	minDialDelay = time.Millisecond
)

// DialRace is the dialling of one connection: addresses are tried in turn, the next one as soon as one has failed, or
// beside it when it takes long. The first that comes up wins. It only decides; whoever dials reports what happens.
type DialRace struct {
	remaining  []Addr // yet to be tried
	inProgress int
	lastDialAt time.Duration
	delay      time.Duration // between dials that are in progress together
	won        bool
}

// NewDialRace returns a race over candidates. One dial may take up to dialTimeout; budget is the time that the request
// has which needs the connection, or 0, and the dials begin early enough that each address gets its turn in it.
func NewDialRace(candidates []Addr, dialTimeout, budget time.Duration) *DialRace {
	delay := min(ConnectionAttemptDelay, dialTimeout)
	count := time.Duration(len(candidates))
	if count > 1 && budget > 0 {
		delay = min(delay, budget/(2*count))
	}
	return &DialRace{remaining: candidates, delay: max(delay, minDialDelay)}
}

// Next returns the address to dial now, if there is one. mayOverlap is whether a further dial may be in progress; the
// only one of a race is always allowed.
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
	return r.inProgress < MaxDialsPerWorker && now-r.lastDialAt >= r.delay
}

// DialFailed takes in that a dial failed, and reports whether the race is lost: no dial is in progress and no address
// is left.
func (r *DialRace) DialFailed() (lost bool) {
	r.inProgress--
	return !r.won && r.inProgress == 0 && len(r.remaining) == 0
}

// DialSucceeded takes in that a dial came up, and reports whether it is the first. The connection of any other is not
// needed.
func (r *DialRace) DialSucceeded() (first bool) {
	r.inProgress--
	first = !r.won
	r.won = true
	return first
}

// InProgress is how many dials are in progress.
func (r *DialRace) InProgress() int { return r.inProgress }

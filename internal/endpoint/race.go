package endpoint

import "time"

const (
	// ConnectionAttemptDelay is how long a dial is in progress before the next address is dialed concurrently (RFC
	// 8305, section 5). The delay is shorter if the dial timeout or the request's budget is short.
	ConnectionAttemptDelay = 250 * time.Millisecond
	// MaxDialsPerRace is how many dials of one race may be in progress at once.
	MaxDialsPerRace = 4
	// MaxDials is how many dials to all workers may be in progress at once.
	MaxDials = 64

	// minDialDelay is the minimum delay between the starts of concurrent dials.
	minDialDelay = time.Millisecond
)

// DialRace establishes one connection by dialing addresses in turn. The next address is dialed when a dial fails, or
// concurrently when a dial takes long. The first dial that succeeds wins. DialRace makes no dials itself: its caller
// dials the address that Next returns, and reports the result of each dial once.
type DialRace struct {
	remaining  []Addr // not dialed yet
	inProgress int
	lastDialAt time.Duration
	delay      time.Duration // between the starts of concurrent dials
	won        bool
}

// NewDialRace returns a race over candidates. One dial may take at most dialTimeout. budget is the time left for the
// request that needs the connection, or 0 if there is none. Dials start early enough that all candidates are dialed
// within the budget.
func NewDialRace(candidates []Addr, dialTimeout, budget time.Duration) *DialRace {
	delay := min(ConnectionAttemptDelay, dialTimeout)
	count := time.Duration(len(candidates))
	if count > 1 && budget > 0 {
		delay = min(delay, budget/(2*count))
	}
	return &DialRace{remaining: candidates, delay: max(delay, minDialDelay)}
}

// Next returns the address to dial now, or false if no dial is due. mayOverlap says whether a dial may start while
// others of the race are in progress. If none is in progress, a dial may always start.
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

// OverlapDue reports whether Next would return an address for a dial beside those in progress.
func (r *DialRace) OverlapDue(now time.Duration) bool {
	return !r.won && len(r.remaining) > 0 && r.overlapDue(now)
}

// overlapDue reports whether the dials in progress have taken long enough to start another one.
func (r *DialRace) overlapDue(now time.Duration) bool {
	return r.inProgress < MaxDialsPerRace && now-r.lastDialAt >= r.delay
}

// DialFailed records that a dial failed. It reports whether the race is lost: no dial has succeeded or is in progress,
// and no address is left.
func (r *DialRace) DialFailed() (lost bool) {
	r.inProgress--
	return !r.won && r.inProgress == 0 && len(r.remaining) == 0
}

// DialSucceeded records that a dial succeeded. It reports whether it is the first to succeed; the connections of later
// ones are not needed.
func (r *DialRace) DialSucceeded() (first bool) {
	r.inProgress--
	first = !r.won
	r.won = true
	return first
}

// InProgress returns how many dials are in progress.
func (r *DialRace) InProgress() int { return r.inProgress }

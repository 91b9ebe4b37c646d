package endpoint

import "time"

// DialRace is the dialling of one connection: addresses are tried in turn, the next one as soon as one has failed, or
// beside it when it takes long. The first that comes up wins. It is a value of decisions alone; whoever dials
// reports what happens.
type DialRace struct {
	left  []Addr        // yet to be tried
	out   int           // dials under way
	since time.Duration // of the latest
	wait  time.Duration // between dials that are under way together
	won   bool
}

// NewDialRace returns a race over candidates. A dial may take up to limit, the whole of it up to left, what the call
// that needs the connection has; the time between dials is such that each address gets its turn in it.
func NewDialRace(candidates []Addr, limit, left time.Duration) *DialRace {
	wait := min(ConnectionAttemptDelay, limit)
	if n := time.Duration(len(candidates)); n > 1 && left > 0 {
		wait = min(wait, left/(2*n))
	}
	return &DialRace{left: candidates, wait: max(wait, time.Millisecond)}
}

// Next returns the address to dial now, if there is one. Room tells whether a further dial may be under way; the
// first of a race needs none.
func (r *DialRace) Next(now time.Duration, room bool) (Addr, bool) {
	if r.won || len(r.left) == 0 || r.out > 0 && (!room || r.out >= MaxDialsPerWorker || now-r.since < r.wait) {
		return Addr{}, false
	}
	a := r.left[0]
	r.left = r.left[1:]
	r.out++
	r.since = now
	return a, true
}

// Ended says that a dial failed. Over tells whether the race is lost: none is under way and none is left.
func (r *DialRace) Ended() (over bool) {
	r.out--
	return !r.won && r.out == 0 && len(r.left) == 0
}

// Won says that a dial came up. It is false for one that comes second, whose connection is not wanted.
func (r *DialRace) Won() bool {
	r.out--
	first := !r.won
	r.won = true
	return first
}

// Out is how many dials are under way.
func (r *DialRace) Out() int { return r.out }

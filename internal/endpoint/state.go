package endpoint

import "time"

// Durations of backoff and recovery.
const (
	firstBackoff       = 500 * time.Millisecond // after the first failure; doubled with each further failure
	maxBackoff         = 30 * time.Second
	stablePeriod       = 5 * time.Second  // how long a better address must be available before requests return to it
	failureResetPeriod = 30 * time.Second // after this time of being available, earlier failures no longer count

	maxDoublings = 10 // limit on doublings of the backoff, so that the shift can't overflow
)

// addressState is an address with the results of dials and connections to it.
type addressState struct {
	Addr
	failures       int
	unavailable    bool          // has failed, and no dial has succeeded since
	retryAt        time.Duration // if unavailable: the earliest time of a recovery dial
	recovering     bool          // a recovery dial is in progress
	availableSince time.Duration // when it last became available, or was first listed
	suspectSince   time.Duration // when a connection to it became suspect because of silence; 0: none is suspect
}

// stable reports whether the address has been available for long enough that requests may return to it.
func (a *addressState) stable(now time.Duration) bool {
	return !a.unavailable && a.suspectSince == 0 && now-a.availableSince >= stablePeriod
}

// inBackoff reports whether the address is unavailable, and no recovery dial is due or in progress.
func (a *addressState) inBackoff(now time.Duration) bool {
	return a.unavailable && !a.recovering && now < a.retryAt
}

// markUnavailable counts a failure, makes the address unavailable and starts its backoff.
func (a *addressState) markUnavailable(now time.Duration, seed uint64) {
	if !a.unavailable && now-a.availableSince > failureResetPeriod {
		a.failures = 0
	}
	a.failures++
	a.unavailable = true
	a.recovering = false
	a.suspectSince = 0
	a.retryAt = now + a.backoff(seed)
}

// markAvailable ends the backoff of an unavailable address.
func (a *addressState) markAvailable(now time.Duration) {
	a.unavailable = false
	a.recovering = false
	a.availableSince = now
}

// backoff returns the time from the latest failure to the next recovery dial. It doubles with each failure up to
// maxBackoff, and has a jitter of a quarter either way.
func (a *addressState) backoff(seed uint64) time.Duration {
	wait := min(firstBackoff<<min(a.failures-1, maxDoublings), maxBackoff)
	return wait*3/4 + time.Duration(a.pseudoRandom(seed)%uint64(wait/2))
}

// pseudoRandom returns a number that depends only on the seed, the address and its number of failures. It hashes the
// address as FNV-1a does, then mixes the bits of the result.
func (a *addressState) pseudoRandom(seed uint64) uint64 {
	hash := seed ^ uint64(a.failures)*0x9e3779b97f4a7c15
	for _, character := range []byte(a.Addr.Addr) {
		hash = (hash ^ uint64(character)) * 0x100000001b3
	}
	hash ^= hash >> 31
	hash *= 0xbf58476d1ce4e5b9
	return hash ^ hash>>29
}

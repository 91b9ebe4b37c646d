package endpoint

import "time"

// Times after which an address counts as working again.
const (
	firstBackoff       = 500 * time.Millisecond // of a failed address; it doubles with each failure
	maxBackoff         = 30 * time.Second
	stablePeriod       = 5 * time.Second  // for which a better address must have been available before requests go back
	failureResetPeriod = 30 * time.Second // of being available, after which earlier failures no longer count

	maxDoublings = 10 // of the backoff, so that the shift can't overflow
)

// addressState is an address with what dials and connections over it have shown.
type addressState struct {
	Addr
	failures       int
	unavailable    bool          // failed, and no recovery dial has come up since
	retryAt        time.Duration // unavailable: no recovery dial before
	recovering     bool          // a recovery dial is in progress
	availableSince time.Duration // when it last came back, or was first listed
	suspectSince   time.Duration // when a connection over it fell silent; 0: none is
}

// stable reports whether the address has worked for long enough that requests may go back to it.
func (a *addressState) stable(now time.Duration) bool {
	return !a.unavailable && a.suspectSince == 0 && now-a.availableSince >= stablePeriod
}

// inBackoff reports whether the address has failed and no dial over it is due or in progress.
func (a *addressState) inBackoff(now time.Duration) bool {
	return a.unavailable && !a.recovering && now < a.retryAt
}

// markUnavailable counts a failure, after which the address is unavailable.
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

// backoff returns how long no recovery dial of the address is made: doubled with each failure, spread by a quarter
// either way.
func (a *addressState) backoff(seed uint64) time.Duration {
	wait := min(firstBackoff<<min(a.failures-1, maxDoublings), maxBackoff)
	return wait*3/4 + time.Duration(a.pseudoRandom(seed)%uint64(wait/2))
}

// pseudoRandom returns a number that is determined by a seed, the address and its failures: the steps of FNV-1a over
// the address, and a finalizer that spreads its bits.
func (a *addressState) pseudoRandom(seed uint64) uint64 {
	hash := seed ^ uint64(a.failures)*0x9e3779b97f4a7c15
	for _, character := range []byte(a.Addr.Addr) {
		hash = (hash ^ uint64(character)) * 0x100000001b3
	}
	hash ^= hash >> 31
	hash *= 0xbf58476d1ce4e5b9
	return hash ^ hash>>29
}

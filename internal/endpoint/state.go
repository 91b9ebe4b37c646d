package endpoint

import "time"

// Times after which an address counts as working again. They are chosen, not measured.
const (
	firstBackoff  = 500 * time.Millisecond // of a failed address; it doubles with each failure
	maxBackoff    = 30 * time.Second
	stablePeriod  = 5 * time.Second  // for which a better address must have been available before requests go back
	failureMemory = 30 * time.Second // of being available, after which earlier failures no longer count

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

// backoff returns how long no recovery dial of an address is made: doubled with each failure, spread by a quarter
// either way.
func (s *AddressSet) backoff(state *addressState) time.Duration {
	wait := min(firstBackoff<<min(state.failures-1, maxDoublings), maxBackoff)
	return wait*3/4 + time.Duration(s.pseudoRandom(state)%uint64(wait/2))
}

// pseudoRandom returns a number that is determined by the seed, the address and its failures: the steps of FNV-1a over
// the address, and a finalizer that spreads its bits.
func (s *AddressSet) pseudoRandom(state *addressState) uint64 {
	hash := s.seed ^ uint64(state.failures)*0x9e3779b97f4a7c15
	for _, character := range []byte(state.Addr.Addr) {
		hash = (hash ^ uint64(character)) * 0x100000001b3
	}
	hash ^= hash >> 31
	hash *= 0xbf58476d1ce4e5b9
	return hash ^ hash>>29
}

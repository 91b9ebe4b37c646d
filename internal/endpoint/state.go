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

// Failed records that a dial over an address failed, or that a connection over it ended before it was of use. The
// address is unavailable until a recovery dial succeeds. The backoff before that dial grows with each failure. Dials
// and connections that end together count as one failure.
func (s *AddressSet) Failed(now time.Duration, addr Addr) {
	state := s.find(addr)
	if state == nil || state.unavailable && !state.recovering && now < state.retryAt {
		return
	}
	if !state.unavailable && now-state.availableSince > failureMemory {
		state.failures = 0
	}
	state.failures++
	state.unavailable = true
	state.recovering = false
	state.suspectSince = 0
	state.retryAt = now + s.backoff(state)
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

// Succeeded records that a connection over an address came up.
func (s *AddressSet) Succeeded(now time.Duration, addr Addr) {
	state := s.find(addr)
	if state != nil && state.unavailable {
		state.unavailable = false
		state.recovering = false
		state.availableSince = now
	}
}

// Suspect records that a connection over an address is silent although responses are due on it.
func (s *AddressSet) Suspect(now time.Duration, addr Addr) {
	state := s.find(addr)
	if state != nil && state.suspectSince == 0 {
		state.suspectSince = now
	}
}

// Responded records that a whole response arrived over an address: it is no longer suspected.
func (s *AddressSet) Responded(addr Addr) {
	state := s.find(addr)
	if state != nil {
		state.suspectSince = 0
	}
}

// NextRecoveryDial returns an unavailable address to dial by a connection that carries no requests, and false where
// none is due. The caller reports its end by Succeeded, Failed or RecoveryInconclusive. The only address of a worker
// has no recovery dials, since requests are tried over it.
func (s *AddressSet) NextRecoveryDial(now time.Duration) (Addr, bool) {
	if len(s.states) <= 1 {
		return Addr{}, false
	}
	for _, state := range s.states {
		if state.unavailable && !state.recovering && now >= state.retryAt {
			state.recovering = true
			return state.Addr, true
		}
	}
	return Addr{}, false
}

// RecoveryInconclusive records that a recovery dial ended without showing whether its address works, for example
// because no descriptor was left for it.
func (s *AddressSet) RecoveryInconclusive(now time.Duration, addr Addr) {
	state := s.find(addr)
	if state != nil && state.recovering {
		state.recovering = false
		state.retryAt = now + firstBackoff
	}
}

package endpoint

import "time"

// Failed records that a dial over an address failed, or that a connection over it ended before it was of use. The
// address is unavailable until a recovery dial succeeds. The backoff before that dial grows with each failure. Dials
// and connections that end together count as one failure.
func (s *AddressSet) Failed(now time.Duration, addr Addr) {
	state := s.find(addr)
	if state != nil && !state.inBackoff(now) {
		state.markUnavailable(now, s.seed)
	}
}

// Succeeded records that a connection over an address came up.
func (s *AddressSet) Succeeded(now time.Duration, addr Addr) {
	state := s.find(addr)
	if state != nil && state.unavailable {
		state.markAvailable(now)
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

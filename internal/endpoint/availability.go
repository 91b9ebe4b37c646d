package endpoint

import "time"

// RecordFailure records that a dial to an address failed, or that a connection to it was of no use, because it closed
// before its first response or stopped responding. The address is unavailable until a dial succeeds. The backoff before
// the recovery dial grows with each failure. Failures during the backoff are not counted, so dials and connections that
// fail together count as one failure.
func (s *AddressSet) RecordFailure(now time.Duration, addr Addr) {
	state := s.find(addr)
	if state != nil && !state.inBackoff(now) {
		state.markUnavailable(now, s.seed)
	}
}

// RecordSuccess records that a connection to an address was established.
func (s *AddressSet) RecordSuccess(now time.Duration, addr Addr) {
	state := s.find(addr)
	if state != nil && state.unavailable {
		state.markAvailable(now)
	}
}

// RecordSilence records that a connection to an address is silent although responses are due on it.
func (s *AddressSet) RecordSilence(now time.Duration, addr Addr) {
	state := s.find(addr)
	if state != nil && state.suspectSince == 0 {
		state.suspectSince = now
	}
}

// RecordResponse records that a complete response arrived from an address, which is therefore no longer suspected.
func (s *AddressSet) RecordResponse(addr Addr) {
	state := s.find(addr)
	if state != nil {
		state.suspectSince = 0
	}
}

// NextRecoveryDial returns an unavailable address for a recovery dial, whose connection carries no requests. It returns
// false if no recovery dial is due. The caller reports the result by RecordSuccess, RecordFailure or
// RecordInconclusiveRecovery. An address that is the only one of a worker gets no recovery dials, because requests are
// still attempted over it.
func (s *AddressSet) NextRecoveryDial(now time.Duration) (Addr, bool) {
	state := s.recoverable(now)
	if state == nil {
		return Addr{}, false
	}
	state.recovering = true
	return state.Addr, true
}

// RecoveryDialDue reports whether NextRecoveryDial would return an address.
func (s *AddressSet) RecoveryDialDue(now time.Duration) bool { return s.recoverable(now) != nil }

// recoverable returns an unavailable address for which a recovery dial is due, or nil.
func (s *AddressSet) recoverable(now time.Duration) *addressState {
	if len(s.states) <= 1 {
		return nil
	}
	for _, state := range s.states {
		if state.unavailable && !state.recovering && now >= state.retryAt {
			return state
		}
	}
	return nil
}

// RecordInconclusiveRecovery records that a recovery dial ended without showing whether its address works, for example
// because no descriptor was available.
func (s *AddressSet) RecordInconclusiveRecovery(now time.Duration, addr Addr) {
	state := s.find(addr)
	if state != nil && state.recovering {
		state.recovering = false
		state.retryAt = now + firstBackoff
	}
}

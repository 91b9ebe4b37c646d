package endpoint

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// AddressSet holds the addresses of one worker in order of preference, with the state of each.
type AddressSet struct {
	seed       uint64
	preference []Network // all networks, the preferred one first
	states     []*addressState
}

// NewAddressSet returns a set without addresses. prefer is the order of networks; networks that it leaves out follow in
// the default order. seed determines the jitter of backoffs.
func NewAddressSet(seed uint64, prefer ...Network) *AddressSet {
	s := &AddressSet{seed: seed}
	s.SetPreference(prefer...)
	return s
}

// SetPreference replaces the order of networks.
func (s *AddressSet) SetPreference(prefer ...Network) {
	s.preference = nil
	for _, n := range prefer {
		s.appendPreference(n)
	}
	for n := range networkCount {
		s.appendPreference(n)
	}
	s.applyPreference()
}

func (s *AddressSet) appendPreference(n Network) {
	if !slices.Contains(s.preference, n) {
		s.preference = append(s.preference, n)
	}
}

// Update replaces the addresses. list has the addresses of each network in order of preference. An address that was
// already in the set keeps its state. At most MaxAddresses addresses are used.
func (s *AddressSet) Update(now time.Duration, list []Addr) {
	old := s.states
	s.states = nil
	for _, addr := range list {
		if len(s.states) >= MaxAddresses || s.Contains(addr) {
			continue
		}
		state := find(old, addr)
		if state == nil {
			state = &addressState{Addr: addr, availableSince: now}
		}
		s.states = append(s.states, state)
	}
	s.applyPreference()
}

// Forget forgets the results of all dials and connections, because another process listens at the addresses now.
func (s *AddressSet) Forget(now time.Duration) {
	for i, state := range s.states {
		s.states[i] = &addressState{Addr: state.Addr, availableSince: now}
	}
}

// applyPreference orders the addresses by network. IPv6 and IPv4 addresses alternate: if one of these networks is
// broken, the dials over it don't delay those over the other (RFC 8305, section 4).
func (s *AddressSet) applyPreference() {
	byNetwork := map[Network][]*addressState{}
	for _, state := range s.states {
		byNetwork[state.Network] = append(byNetwork[state.Network], state)
	}
	var ordered []*addressState
	interleaved := false
	for _, n := range s.preference {
		switch {
		case n == Unix:
			ordered = append(ordered, byNetwork[Unix]...)
		case !interleaved:
			ordered = interleave(ordered, byNetwork[n], byNetwork[otherIPNetwork(n)])
			interleaved = true
		}
	}
	s.states = ordered
}

func otherIPNetwork(n Network) Network {
	if n == TCP4 {
		return TCP6
	}
	return TCP4
}

// interleave appends the elements of a and b alternately, starting with a.
func interleave(out, a, b []*addressState) []*addressState {
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out
}

func find(states []*addressState, addr Addr) *addressState {
	for _, state := range states {
		if state.Addr == addr {
			return state
		}
	}
	return nil
}

func (s *AddressSet) find(addr Addr) *addressState { return find(s.states, addr) }

// Contains reports whether an address is in the set.
func (s *AddressSet) Contains(addr Addr) bool { return s.find(addr) != nil }

// Len returns how many addresses there are.
func (s *AddressSet) Len() int { return len(s.states) }

// Candidates returns the addresses to dial for a connection that carries requests, in the order in which to dial them.
// Addresses with a silent connection come last, and unavailable addresses are left out. If all addresses are
// unavailable, all are returned, because a dial may still succeed; the one whose backoff ends first comes first.
func (s *AddressSet) Candidates() (candidates []Addr) {
	var suspects []Addr
	for _, state := range s.states {
		switch {
		case state.unavailable:
		case state.suspectSince > 0:
			suspects = append(suspects, state.Addr)
		default:
			candidates = append(candidates, state.Addr)
		}
	}
	candidates = append(candidates, suspects...)
	if len(candidates) > 0 {
		return candidates
	}
	byRetry := slices.Clone(s.states)
	slices.SortStableFunc(byRetry, func(a, b *addressState) int { return int(a.retryAt - b.retryAt) })
	for _, state := range byRetry {
		candidates = append(candidates, state.Addr)
	}
	return candidates
}

// HasBetter reports whether requests should return from an address to a preferred one. The preferred address must have
// been available for stablePeriod, so that requests don't follow an address that flaps. Any address is better than one
// that is no longer listed.
func (s *AddressSet) HasBetter(now time.Duration, than Addr) bool {
	for _, state := range s.states {
		if state.Addr == than {
			return false
		}
		if state.stable(now) {
			return true
		}
	}
	return true
}

// UnavailableCount returns how many addresses are unavailable.
func (s *AddressSet) UnavailableCount() (count int) {
	for _, state := range s.states {
		if state.unavailable {
			count++
		}
	}
	return count
}

// String describes the addresses and the state of each.
func (s *AddressSet) String() string {
	var parts []string
	for _, state := range s.states {
		part := state.Addr.String()
		if state.unavailable {
			part += fmt.Sprintf(" unavailable until %v after %d failures", state.retryAt, state.failures)
		}
		if state.recovering {
			part += ", recovery dial in progress"
		}
		if state.suspectSince > 0 {
			part += fmt.Sprintf(", silent since %v", state.suspectSince)
		}
		parts = append(parts, fmt.Sprintf("%s, available since %v", part, state.availableSince))
	}
	return strings.Join(parts, "; ")
}

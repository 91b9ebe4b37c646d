package endpoint

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// AddressSet is the addresses of one worker with what is known of each.
type AddressSet struct {
	seed       uint64
	preference []Network // all of them
	states     []*addressState
}

// NewAddressSet returns a set without addresses. prefer orders networks; those that it leaves out follow in their own
// order. The spread of backoffs follows from seed.
func NewAddressSet(seed uint64, prefer ...Network) *AddressSet {
	s := &AddressSet{seed: seed}
	s.Prefer(prefer...)
	return s
}

// Prefer replaces the order of networks.
func (s *AddressSet) Prefer(prefer ...Network) {
	s.preference = nil
	for _, n := range prefer {
		s.appendPreference(n)
	}
	for n := range networkCount {
		s.appendPreference(n)
	}
	s.arrange()
}

func (s *AddressSet) appendPreference(n Network) {
	if !slices.Contains(s.preference, n) {
		s.preference = append(s.preference, n)
	}
}

// Update replaces the addresses, which are listed in the order of preference within each network. Those that were there
// keep what is known of them; what is beyond MaxAddresses is left out.
func (s *AddressSet) Update(now time.Duration, list []Addr) {
	old := s.states
	s.states = nil
	for _, addr := range list {
		if len(s.states) >= MaxAddresses || s.Has(addr) {
			continue
		}
		state := find(old, addr)
		if state == nil {
			state = &addressState{Addr: addr, availableSince: now}
		}
		s.states = append(s.states, state)
	}
	s.arrange()
}

// arrange orders the addresses by network, but IPv6 and IPv4 in turn, so that a broken one of the two does not take the
// time of all its addresses (RFC 8305, section 4).
func (s *AddressSet) arrange() {
	byNetwork := map[Network][]*addressState{}
	for _, state := range s.states {
		byNetwork[state.Network] = append(byNetwork[state.Network], state)
	}
	var arranged []*addressState
	interleaved := false
	for _, n := range s.preference {
		switch {
		case n == Unix:
			arranged = append(arranged, byNetwork[Unix]...)
		case !interleaved:
			arranged = interleave(arranged, byNetwork[n], byNetwork[otherIPNetwork(n)])
			interleaved = true
		}
	}
	s.states = arranged
}

func otherIPNetwork(n Network) Network {
	if n == TCP4 {
		return TCP6
	}
	return TCP4
}

// interleave appends the elements of two lists in turn, the first of a before the first of b.
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

// Has reports whether an address is in the set.
func (s *AddressSet) Has(addr Addr) bool { return s.find(addr) != nil }

// Len is how many addresses there are.
func (s *AddressSet) Len() int { return len(s.states) }

// Candidates are the addresses over which a connection for requests may be tried, the first one first. Unavailable ones
// are left out; where all are, nothing is lost by trying, the one whose backoff ends first at the front. Addresses over
// which a connection is silent come after the others.
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

// HasBetter reports whether requests should go back from an address to a better one, which has been available for long
// enough that a flapping one does not draw them to and fro. An address that is no longer listed is worse than any.
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

// Unavailable is how many addresses count as failed.
func (s *AddressSet) Unavailable() (count int) {
	for _, state := range s.states {
		if state.unavailable {
			count++
		}
	}
	return count
}

// String describes the addresses with what is known of each.
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

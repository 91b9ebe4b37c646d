package endpoint

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Times and bounds. They are starting values of ours but for the stagger.
const (
	// Stagger is how long a dial has before the next address is tried beside it (RFC 8305, section 5), where the
	// time that a dial may take is longer.
	ConnectionAttemptDelay = 250 * time.Millisecond
	// MaxDialsPerWorker is how many dials to one worker may be under way at once, and MaxDials to all.
	MaxDialsPerWorker, MaxDials = 4, 64

	firstBackoff = 500 * time.Millisecond // of a failed address; twice as long with each failure
	mostBackoff  = 30 * time.Second
	steadyFor    = 5 * time.Second  // a better address must have been well for it before calls go back
	forgetAfter  = 30 * time.Second // of being well, earlier failures no longer count
)

// AddressSet is the addresses of one worker with what is known of each.
type AddressSet struct {
	seed   uint64
	prefer []Network
	list   []*state
}

type state struct {
	Addr
	failures int
	down     bool          // failed, and no trial has come up since
	until    time.Duration // down: no trial before
	trying   bool          // a trial is under way
	well     time.Duration // when it last came back, or was first listed
	suspect  time.Duration // a connection over it has owed answers since; 0: none
}

// NewAddressSet returns a set without addresses. Prefer orders networks; those that it leaves out follow in their own
// order. The spread of back-offs follows from seed.
func NewAddressSet(seed uint64, prefer ...Network) *AddressSet {
	s := &AddressSet{seed: seed}
	s.Prefer(prefer...)
	return s
}

// Prefer replaces the order of networks.
func (s *AddressSet) Prefer(prefer ...Network) {
	s.prefer = nil
	for _, n := range prefer {
		if !slices.Contains(s.prefer, n) {
			s.prefer = append(s.prefer, n)
		}
	}
	for n := range networks {
		if !slices.Contains(s.prefer, n) {
			s.prefer = append(s.prefer, n)
		}
	}
	s.arrange()
}

// Update replaces the addresses, in the order of preference within each network. Those that were there keep what is
// known of them; what is beyond MaxAddresses is left out.
func (s *AddressSet) Update(now time.Duration, list []Addr) {
	old := s.list
	s.list = nil
	for _, a := range list {
		if len(s.list) >= MaxAddresses || s.find(a) != nil {
			continue
		}
		st := &state{Addr: a, well: now}
		for _, o := range old {
			if o.Addr == a {
				st = o
			}
		}
		s.list = append(s.list, st)
	}
	s.arrange()
}

// arrange orders the addresses: by network, but IPv6 and IPv4 in turn, so that a broken one of the two does not
// take the time of all its addresses (RFC 8305, section 4).
func (s *AddressSet) arrange() {
	by := map[Network][]*state{}
	for _, st := range s.list {
		by[st.Network] = append(by[st.Network], st)
	}
	var out []*state
	for i, n := range s.prefer {
		if n == Unix {
			out = append(out, by[Unix]...)
			continue
		}
		other := TCP4 + TCP6 - n
		if slices.Index(s.prefer, other) < i {
			continue // they went in turn with the other ones
		}
		a, b := by[n], by[other]
		for len(a)+len(b) > 0 {
			if len(a) > 0 {
				out, a = append(out, a[0]), a[1:]
			}
			if len(b) > 0 {
				out, b = append(out, b[0]), b[1:]
			}
		}
	}
	s.list = out
}

func (s *AddressSet) find(a Addr) *state {
	for _, st := range s.list {
		if st.Addr == a {
			return st
		}
	}
	return nil
}

// Has tells whether an address is in the set.
func (s *AddressSet) Has(a Addr) bool { return s.find(a) != nil }

// Len is how many addresses there are.
func (s *AddressSet) Len() int { return len(s.list) }

// Candidates are the addresses that a connection for calls may be tried over, the first one first. Those that are
// down are none; where all are, nothing is lost by trying, the one that has been down for longest first.
// Addresses over which a connection owes answers come after those that are well.
func (s *AddressSet) Candidates() (list []Addr) {
	var doubtful []Addr
	for _, st := range s.list {
		switch {
		case st.down:
		case st.suspect > 0:
			doubtful = append(doubtful, st.Addr)
		default:
			list = append(list, st.Addr)
		}
	}
	if list = append(list, doubtful...); len(list) > 0 {
		return list
	}
	all := slices.Clone(s.list)
	slices.SortStableFunc(all, func(a, b *state) int { return int(a.until - b.until) })
	for _, st := range all {
		list = append(list, st.Addr)
	}
	return list
}

// Failed says that a dial over an address failed, or that a connection over it was of no use. It counts for
// nothing until a trial comes up, which is held off for longer with each failure.
func (s *AddressSet) Failed(now time.Duration, a Addr) {
	st := s.find(a)
	if st == nil || st.down && !st.trying && now < st.until {
		return // one failure, however many dials and connections it ended
	}
	if !st.down && now-st.well > forgetAfter {
		st.failures = 0
	}
	st.failures++
	wait := firstBackoff << min(st.failures-1, 10)
	wait = min(wait, mostBackoff)
	st.down, st.trying, st.suspect = true, false, 0
	st.until = now + wait*3/4 + time.Duration(s.draw(st)%uint64(wait/2))
}

// draw spreads back-offs: a number that follows from the seed, the address and its failures.
func (s *AddressSet) draw(st *state) uint64 {
	x := s.seed ^ uint64(st.failures)*0x9e3779b97f4a7c15
	for _, c := range []byte(st.Addr.Addr) {
		x = (x ^ uint64(c)) * 0x100000001b3
	}
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

// Succeeded says that a connection over an address came up.
func (s *AddressSet) Succeeded(now time.Duration, a Addr) {
	if st := s.find(a); st != nil && st.down {
		st.down, st.trying, st.well = false, false, now
	}
}

// Suspect says that a connection over an address owes answers and is silent, and Heard that a whole answer came
// over it.
func (s *AddressSet) Suspect(now time.Duration, a Addr) {
	if st := s.find(a); st != nil && st.suspect == 0 {
		st.suspect = now
	}
}

// Responded ends a suspicion.
func (s *AddressSet) Responded(a Addr) {
	if st := s.find(a); st != nil {
		st.suspect = 0
	}
}

// NextRecoveryDial returns an address that is down and may be tried by a connection that carries nothing. Its end is told by
// Up or Failed. A single address has no trials: its calls are.
func (s *AddressSet) NextRecoveryDial(now time.Duration) (Addr, bool) {
	if len(s.list) > 1 {
		for _, st := range s.list {
			if st.down && !st.trying && now >= st.until {
				st.trying = true
				return st.Addr, true
			}
		}
	}
	return Addr{}, false
}

// RecoveryInconclusive says that a trial ended without telling of its address: there was no descriptor for it, say.
func (s *AddressSet) RecoveryInconclusive(now time.Duration, a Addr) {
	if st := s.find(a); st != nil && st.trying {
		st.trying, st.until = false, now+firstBackoff
	}
}

// HasBetter tells whether calls should go back from an address to a better one, which has been well for long enough
// that a flapping one does not draw them to and fro.
func (s *AddressSet) HasBetter(now time.Duration, than Addr) bool {
	for _, st := range s.list {
		if st.Addr == than {
			return false
		}
		if !st.down && st.suspect == 0 && now-st.well >= steadyFor {
			return true
		}
	}
	return true // it is no longer listed
}

// String words the set with what is known of each address.
func (s *AddressSet) String() string {
	var parts []string
	for _, st := range s.list {
		part := st.Addr.String()
		if st.down {
			part += fmt.Sprintf(" down until %v after %d", st.until, st.failures)
		}
		if st.trying {
			part += " on trial"
		}
		if st.suspect > 0 {
			part += fmt.Sprintf(" silent since %v", st.suspect)
		}
		parts = append(parts, fmt.Sprintf("%s, well since %v", part, st.well))
	}
	return strings.Join(parts, "; ")
}

// Unavailable is how many addresses count as failed.
func (s *AddressSet) Unavailable() (n int) {
	for _, st := range s.list {
		if st.down {
			n++
		}
	}
	return n
}

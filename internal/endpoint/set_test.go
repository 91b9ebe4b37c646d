package endpoint

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestCandidatesAreInOrderOfPreference(t *testing.T) {
	for _, c := range []struct {
		prefer []Network
		want   []Addr
	}{
		{nil, []Addr{unixSocket, ipv6, ipv4, otherIPv6, otherIPv4}},
		{[]Network{TCP4}, []Addr{ipv4, ipv6, otherIPv4, otherIPv6, unixSocket}},
		{[]Network{TCP6, TCP4, Unix}, []Addr{ipv6, ipv4, otherIPv6, otherIPv4, unixSocket}},
		{[]Network{TCP4, Unix, TCP4}, []Addr{ipv4, ipv6, otherIPv4, otherIPv6, unixSocket}},
	} {
		s := NewAddressSet(1, c.prefer...)
		s.Update(0, []Addr{ipv4, otherIPv4, ipv6, otherIPv6, unixSocket, ipv4})
		if got := s.Candidates(); !slices.Equal(got, c.want) {
			t.Errorf("%v: %v, want %v", c.prefer, got, c.want)
		}
	}
	s := NewAddressSet(1)
	var many []Addr
	for i := range 20 {
		many = append(many, Addr{TCP4, fmt.Sprintf("127.0.0.%d:80", i+1)})
	}
	if s.Update(0, many); s.Len() != MaxAddresses {
		t.Errorf("%d addresses of one worker, want %d", s.Len(), MaxAddresses)
	}
}

// Requests return to a better address after it has been available for stablePeriod, so that they don't follow an
// address that flaps. An address with a silent connection comes last and is not better.
func TestRequestsReturnToAStableAddress(t *testing.T) {
	s := NewAddressSet(1)
	s.Update(0, []Addr{unixSocket, ipv4})
	if s.HasBetter(time.Hour, unixSocket) || !s.HasBetter(time.Hour, ipv4) {
		t.Error("the first address does not count as the better one")
	}
	now := time.Hour
	for range 200 { // the address fails every 100 ms
		now += 100 * ms
		s.RecordFailure(now, unixSocket)
		if a, ok := s.NextRecoveryDial(now + 50*ms); ok {
			s.RecordSuccess(now+50*ms, a)
		}
		if s.HasBetter(now+60*ms, ipv4) {
			t.Fatal("requests return to a flapping address")
		}
	}
	if s.find(unixSocket).failures < 4 {
		t.Errorf("%d failures counted in 20 s of flapping", s.find(unixSocket).failures)
	}
	s.RecordSuccess(now, unixSocket)
	if s.HasBetter(now+4*time.Second, ipv4) || !s.HasBetter(now+6*time.Second, ipv4) {
		t.Error("requests don't return after the address has been available for 5 s")
	}
	s.RecordSilence(now+6*time.Second, unixSocket)
	if s.HasBetter(now+7*time.Second, ipv4) || s.Candidates()[0] != ipv4 {
		t.Error("an address with a silent connection is better or comes first")
	}
	if s.RecordResponse(unixSocket); s.Candidates()[0] != unixSocket {
		t.Error("an address that has responded is still suspect")
	}
	s.Update(now, []Addr{unixSocket})
	if !s.HasBetter(now+time.Minute, ipv4) {
		t.Error("requests stay at an address that is no longer listed")
	}
}

// An address keeps its state when a new list contains it. An address that was left out and is listed again starts
// without state.
func TestStateBelongsToTheAddress(t *testing.T) {
	s := NewAddressSet(1)
	s.Update(0, []Addr{unixSocket, ipv4})
	s.RecordFailure(0, unixSocket)
	s.Update(0, []Addr{ipv4, unixSocket, ipv6})
	if s.UnavailableCount() != 1 {
		t.Error("an update of the list clears a failure")
	}
	s.Update(0, []Addr{ipv4})
	s.Update(0, []Addr{ipv4, unixSocket})
	if s.UnavailableCount() != 0 {
		t.Error("an address that is listed again still has its failure")
	}
}

package endpoint

import (
	"slices"
	"testing"
	"time"
)

// A failed address is not a candidate until a recovery dial succeeds. If all addresses have failed, all are candidates.
func TestFailedAddressRecoversAfterARecoveryDial(t *testing.T) {
	s := NewAddressSet(1)
	s.Update(0, []Addr{unixSocket, ipv4})
	s.RecordFailure(0, unixSocket)
	if got := s.Candidates(); !slices.Equal(got, []Addr{ipv4}) {
		t.Fatalf("candidates %v after a failed dial", got)
	}
	if a, ok := s.NextRecoveryDial(100 * ms); ok {
		t.Fatalf("recovery dial of %v during the backoff", a)
	}
	if a, ok := s.NextRecoveryDial(700 * ms); !ok || a != unixSocket {
		t.Fatalf("no recovery dial of the failed address after its backoff, got %v", a)
	}
	if _, ok := s.NextRecoveryDial(700 * ms); ok {
		t.Fatal("two concurrent recovery dials of one address")
	}
	if got := s.Candidates(); !slices.Equal(got, []Addr{ipv4}) {
		t.Fatalf("candidates %v during a recovery dial", got)
	}
	s.RecordSuccess(720*ms, unixSocket)
	if got := s.Candidates(); !slices.Equal(got, []Addr{unixSocket, ipv4}) || s.UnavailableCount() != 0 {
		t.Fatalf("candidates %v after a successful recovery dial", got)
	}
	s.RecordFailure(time.Second, ipv4)
	s.RecordFailure(2*time.Second, unixSocket)
	if got := s.Candidates(); !slices.Equal(got, []Addr{ipv4, unixSocket}) {
		t.Errorf("all addresses are unavailable: candidates %v, want first the one whose backoff ends first", got)
	}
	one := NewAddressSet(1)
	one.Update(0, []Addr{ipv4})
	one.RecordFailure(0, ipv4)
	if _, ok := one.NextRecoveryDial(time.Hour); ok || len(one.Candidates()) != 1 {
		t.Error("the only address of a worker gets a recovery dial, or is not a candidate")
	}
}

// The backoff doubles with each failure up to its maximum, with a jitter of a quarter either way. Failures no longer
// count after the address has been available for failureResetPeriod. Connections that fail together count as one
// failure.
func TestBackoff(t *testing.T) {
	s := NewAddressSet(7)
	s.Update(0, []Addr{unixSocket, ipv4})
	now := time.Duration(0)
	spread := map[time.Duration]bool{}
	for i := range 9 {
		for range 5 {
			s.RecordFailure(now, unixSocket)
		}
		wait := min(firstBackoff<<i, maxBackoff)
		if _, ok := s.NextRecoveryDial(now + wait*3/4 - ms); ok {
			t.Fatalf("failure %d: recovery dial before the backoff ended", i+1)
		}
		if _, ok := s.NextRecoveryDial(now + wait*5/4 + ms); !ok {
			t.Fatalf("failure %d: no recovery dial after %v", i+1, wait*5/4)
		}
		spread[s.find(unixSocket).retryAt-now-wait] = true
		now += wait * 5 / 4
		s.RecordSuccess(now, unixSocket)
	}
	if len(spread) < 6 {
		t.Errorf("%d different jitters of 9", len(spread))
	}
	now += failureResetPeriod + time.Second
	s.RecordFailure(now, unixSocket)
	if _, ok := s.NextRecoveryDial(now + time.Second); !ok {
		t.Error("earlier failures still count")
	}
	s.RecordInconclusiveRecovery(now+time.Second, unixSocket)
	if _, ok := s.NextRecoveryDial(now + time.Second + firstBackoff); !ok {
		t.Error("an inconclusive recovery dial is not repeated")
	}
}

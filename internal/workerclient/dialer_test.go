package workerclient

import (
	"errors"
	"slices"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/policy"
)

// After a refused dial the next address is dialed at once. A request that is queued behind the dial was not sent, and
// is written once.
func TestRefusedDialFallsBack(t *testing.T) {
	p := newTestPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	p.transports[0].handler.DialCompleted(errors.New("connection refused"))
	if !slices.Equal(p.dialed, []string{"/run/w.sock", "127.0.0.1:1"}) || len(p.recorder.outcomes) != 0 {
		t.Fatalf("dialed %v, outcomes %v", p.dialed, p.recorder.outcomes)
	}
	p.transports[1].handler.DialCompleted(nil)
	if indices := transportsWithRun(p.transports, requestID); !slices.Equal(indices, []int{1}) {
		t.Errorf("written over %v", indices)
	}
	p.StartAttempt(7, router.Attempt{Request: 2}, newRequest("00000000000000ff"), time.Second)
	if len(p.dialed) != 2 {
		t.Errorf("dialed %v although a connection is up", p.dialed)
	}
}

// While a dial hangs, the next address is dialed as well. The dial that succeeds second is closed, and nothing is sent
// over it.
func TestHangingDialIsRaced(t *testing.T) {
	p := newTestPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), 2*time.Second)
	p.Maintain(100 * time.Millisecond)
	if len(p.dialed) != 1 {
		t.Fatalf("dialed %v too soon", p.dialed)
	}
	p.Maintain(300 * time.Millisecond)
	if len(p.dialed) != 2 || p.dialsInProgress != 2 {
		t.Fatalf("dialed %v, %d in progress", p.dialed, p.dialsInProgress)
	}
	p.transports[1].handler.DialCompleted(nil)
	if !p.transports[0].Closed || p.dialsInProgress != 0 {
		t.Error("the dial that lost the race is still in progress")
	}
	p.transports[0].handler.DialCompleted(nil) // it succeeds although it was canceled
	if indices := transportsWithRun(p.transports, requestID); !slices.Equal(indices, []int{1}) {
		t.Errorf("written over %v", indices)
	}
}

// If the dials to all addresses fail, the worker is unreachable. This is reported once, and proves that nothing ran.
func TestAllAddressesFail(t *testing.T) {
	p := newTestPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	p.transports[0].handler.DialCompleted(errors.New("refused"))
	p.transports[1].handler.DialCompleted(errors.New("no route"))
	if got := p.recorder.outcomes[attempt]; !slices.Equal(got, []policy.Outcome{policy.Unreachable}) || len(p.workers[7].connections) != 0 || p.dialsInProgress != 0 {
		t.Errorf("outcomes %v, %d connections, %d dials", got, len(p.workers[7].connections), p.dialsInProgress)
	}
}

// If this program is out of descriptors, a failed dial says nothing about the address or the worker. The outcome
// Unreachable would eject the worker.
func TestDescriptorExhaustionIsNotTheWorkersFault(t *testing.T) {
	p := newTestPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	p.transports[0].handler.DialCompleted(syscall.EMFILE)
	p.transports[1].handler.DialCompleted(syscall.EMFILE)
	if p.workers[7].addresses.UnavailableCount() != 0 || !slices.Equal(p.recorder.outcomes[attempt], []policy.Outcome{policy.NotSent}) {
		t.Errorf("%d addresses are unavailable, outcomes %v", p.workers[7].addresses.UnavailableCount(), p.recorder.outcomes[attempt])
	}
}

// A failed dial makes an address unavailable, unless it failed because this program is out of descriptors.
func TestDescriptorExhaustionKeepsTheAddressAvailable(t *testing.T) {
	for _, err := range []error{syscall.EMFILE, errors.New("refused")} {
		p := newTestPool()
		p.StartAttempt(1, router.Attempt{Request: 1}, newRequest("0123456789abcdef"), time.Second)
		p.transports[0].handler.DialCompleted(err)
		if unavailable := p.workers[1].addresses.UnavailableCount(); (unavailable == 0) != eventloop.IsDescriptorExhausted(err) {
			t.Errorf("%v: %d addresses are unavailable", err, unavailable)
		}
	}
}

package workerclient

import (
	"errors"
	"slices"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/policy"
)

var twoAddresses = []endpoint.Addr{{Network: endpoint.Unix, Addr: "/run/w.sock"}, {Network: endpoint.TCP4, Addr: "127.0.0.1:1"}}

// newPoolWithTwoAddresses is a pool with a worker of two addresses; dialled keeps where each line goes.
func newPoolWithTwoAddresses() (p *Pool, s *resultRecorder, lines *[]*fakeTransport, dialled *[]string) {
	p, s, lines = newPool()
	dialled = new([]string)
	p.cfg.Dial = func(_, addr string, _ time.Duration, h eventloop.DialHandler) Transport {
		*dialled = append(*dialled, addr)
		*lines = append(*lines, &fakeTransport{handler: h})
		return (*lines)[len(*lines)-1]
	}
	p.SetWorker(7, twoAddresses, policy.Ready)
	return p, s, lines, dialled
}

var attempt = router.Attempt{Request: 1}

const requestID = "0123456789abcdef"

// A refused dial goes on to the next address at once; a call behind it never left, and is written once.
func TestRefusedDialFallsBack(t *testing.T) {
	p, s, lines, dialled := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	(*lines)[0].handler.DialCompleted(errors.New("connection refused"))
	if !slices.Equal(*dialled, []string{"/run/w.sock", "127.0.0.1:1"}) || len(s.outcomes) != 0 {
		t.Fatalf("dialled %v, ended %v", *dialled, s.outcomes)
	}
	(*lines)[1].handler.DialCompleted(nil)
	if on := transportsWithRun(*lines, requestID); !slices.Equal(on, []int{1}) {
		t.Errorf("written over %v", on)
	}
	p.StartAttempt(7, router.Attempt{Request: 2}, newRequest("00000000000000ff"), time.Second)
	if len(*dialled) != 2 {
		t.Errorf("dialled %v with a connection up", *dialled)
	}
}

// A dial that hangs has the next address tried beside it; the one that comes second is closed, and nothing is sent
// over it.
func TestHangingDialIsRaced(t *testing.T) {
	p, _, lines, dialled := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), 2*time.Second)
	p.Maintain(100 * time.Millisecond)
	if len(*dialled) != 1 {
		t.Fatalf("dialled %v too soon", *dialled)
	}
	p.Maintain(300 * time.Millisecond)
	if len(*dialled) != 2 || p.dialsInProgress != 2 {
		t.Fatalf("dialled %v, %d under way", *dialled, p.dialsInProgress)
	}
	(*lines)[1].handler.DialCompleted(nil)
	if !(*lines)[0].HasClosed || p.dialsInProgress != 0 {
		t.Error("the dial that lost goes on")
	}
	(*lines)[0].handler.DialCompleted(nil) // it came up all the same
	if on := transportsWithRun(*lines, requestID); !slices.Equal(on, []int{1}) {
		t.Errorf("written over %v", on)
	}
}

// All addresses failed: the worker is out of reach, which is told once and proves that nothing ran.
func TestAllAddressesFail(t *testing.T) {
	p, s, lines, _ := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	(*lines)[0].handler.DialCompleted(errors.New("refused"))
	(*lines)[1].handler.DialCompleted(errors.New("no route"))
	if got := s.outcomes[attempt]; !slices.Equal(got, []policy.Outcome{policy.Unreachable}) || len(p.workers[7].connections) != 0 || p.dialsInProgress != 0 {
		t.Errorf("ended %v, %d connections, %d dials", got, len(p.workers[7].connections), p.dialsInProgress)
	}
}

// What an end proves depends on whether the call left whole: one of which a byte is still here never ran and goes to
// another connection of the same worker, as the same attempt; one that was handed on whole may have run.
func TestOnlyWhatNeverLeftIsMoved(t *testing.T) {
	for name, c := range map[string]struct {
		left int
		ends []policy.Outcome
		on   []int
	}{
		"whole":             {0, []policy.Outcome{policy.ConnectionReset}, []int{0}},
		"but its last byte": {1, nil, []int{0, 1}},
		"not at all":        {100, nil, []int{0, 1}},
	} {
		p, s, lines, _ := newPoolWithTwoAddresses()
		p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
		(*lines)[0].handler.DialCompleted(nil)
		(*lines)[0].Unsent = c.left
		(*lines)[0].handler.Closed(errors.New("reset"))
		if len(*lines) > 1 {
			(*lines)[1].handler.DialCompleted(nil)
		}
		if on := transportsWithRun(*lines, requestID); !slices.Equal(on, c.on) || !slices.Equal(s.outcomes[attempt], c.ends) {
			t.Errorf("%s: written over %v, ended %v", name, on, s.outcomes[attempt])
		}
	}
	// It is not moved for ever, and not to a worker that drains.
	p, s, lines, _ := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	for i := 0; i < len(*lines) && i < 20; i++ {
		(*lines)[i].handler.DialCompleted(nil)
		(*lines)[i].Unsent = 1
		(*lines)[i].handler.Closed(errors.New("reset"))
	}
	if got := s.outcomes[attempt]; !slices.Equal(got, []policy.Outcome{policy.Unreachable}) || p.Counters.CallsResent != maxResends {
		t.Errorf("ended %v after %d moves", got, p.Counters.CallsResent)
	}
	p, s, lines, _ = newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	(*lines)[0].handler.DialCompleted(nil)
	p.SetWorker(7, nil, policy.Draining)
	(*lines)[0].Unsent = 1
	(*lines)[0].handler.Closed(errors.New("reset"))
	if got := s.outcomes[attempt]; !slices.Equal(got, []policy.Outcome{policy.Unreachable}) || len(*lines) != 1 {
		t.Errorf("at a draining worker: ended %v on %d connections", got, len(*lines))
	}
}

// A drain stops all addresses at once: what waits behind their dials, trials under way.
func TestDrainStopsAllAddresses(t *testing.T) {
	p, s, lines, _ := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	p.Load(7, 5, 1, 9)
	p.Maintain(300 * time.Millisecond)
	p.SetWorker(7, nil, policy.Draining)
	for _, l := range *lines {
		if !l.HasClosed {
			l.handler.DialCompleted(nil)
		}
	}
	for i, l := range *lines {
		if l.Wrote.Len() > 0 {
			t.Errorf("connection %d: wrote %q", i, l.Wrote.String())
		}
	}
	if !slices.Equal(s.outcomes[attempt], []policy.Outcome{policy.Unreachable}) || !slices.Equal(s.commandOutcomes[9], []policy.Outcome{policy.Overloaded}) {
		t.Errorf("ended %v and %v", s.outcomes, s.commandOutcomes)
	}
}

// An address that fails is tried by a connection that carries nothing but a NOOP, and takes calls again once that is
// answered; one that accepts and says nothing has not come back.
func TestTrial(t *testing.T) {
	p, _, lines, dialled := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	(*lines)[0].handler.DialCompleted(errors.New("refused"))
	(*lines)[1].handler.DialCompleted(nil)
	now := time.Duration(0)
	until := func(n int) {
		t.Helper()
		for len(*lines) < n && now < time.Minute {
			now += MaintenanceInterval
			p.Maintain(now)
		}
		if len(*lines) < n {
			t.Fatalf("no trial: dialled %v", *dialled)
		}
	}
	until(3)
	mute := (*lines)[2]
	mute.handler.DialCompleted(nil)
	if got := mute.Wrote.String(); got != string(encodeArray("NOOP", "t")) {
		t.Fatalf("wrote %q", got)
	}
	until(4) // it said nothing
	if !mute.HasClosed || p.Counters.RecoveryDialsFailed != 1 || p.workers[7].addresses.Unavailable() != 1 {
		t.Fatalf("%+v, closed %v", p.Counters, mute.HasClosed)
	}
	(*lines)[3].handler.DialCompleted(nil)
	(*lines)[3].handler.Data([]byte("*4\r\n$1\r\nt\r\n$4\r\nPONG\r\n$1\r\n-\r\n$0\r\n\r\n"))
	if p.workers[7].addresses.Unavailable() != 0 || !(*lines)[3].HasClosed || p.dialsInProgress != 0 {
		t.Error("the trial was answered and the address is still down")
	}
	// Calls go back to the better address, after a time; the old connection ends once its call has.
	for end := now + 7*time.Second; now < end; now += MaintenanceInterval {
		p.Maintain(now)
		(*lines)[1].handler.Data(encodeResponse("n1", "PONG", "")) // a sign of life, where it is asked for one
	}
	p.StartAttempt(7, router.Attempt{Request: 2}, newRequest("00000000000000ff"), time.Second)
	if (*dialled)[len(*dialled)-1] != "/run/w.sock" || (*lines)[1].HasClosed {
		t.Errorf("dialled %v, the old connection closed: %v", *dialled, (*lines)[1].HasClosed)
	}
	(*lines)[1].handler.Data(encodeResponse(requestID, "HIT", ""))
	if p.Maintain(now); !(*lines)[1].HasClosed {
		t.Error("the old connection stays")
	}
}

// Out of descriptors nothing is learned about an address.
func TestNoDescriptorIsNobodysFault(t *testing.T) {
	p, s, lines, _ := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	(*lines)[0].handler.DialCompleted(syscall.EMFILE)
	(*lines)[1].handler.DialCompleted(syscall.EMFILE)
	if p.workers[7].addresses.Unavailable() != 0 || !slices.Equal(s.outcomes[attempt], []policy.Outcome{policy.Unreachable}) {
		t.Errorf("%d addresses are down, ended %v", p.workers[7].addresses.Unavailable(), s.outcomes[attempt])
	}
}

// A silent connection has calls go to another address; one that is answered there ends it, and no probe is needed.
func TestSilentAddressIsLeft(t *testing.T) {
	p, _, lines, dialled := newPoolWithTwoAddresses()
	p.SetNow(time.Hour)
	p.StartAttempt(7, attempt, newRequest(requestID), 2*time.Second)
	(*lines)[0].handler.DialCompleted(nil)
	p.Maintain(time.Hour + 200*time.Millisecond)
	p.StartAttempt(7, router.Attempt{Request: 2}, newRequest("00000000000000ff"), 2*time.Second)
	if (*dialled)[len(*dialled)-1] != "127.0.0.1:1" {
		t.Fatalf("dialled %v", *dialled)
	}
	(*lines)[1].handler.DialCompleted(nil)
	p.SetNow(time.Hour + 250*time.Millisecond)
	(*lines)[1].handler.Data(encodeResponse("00000000000000ff", "HIT", ""))
	p.StartAttempt(7, router.Attempt{Request: 3}, newRequest("00000000000000fe"), 2*time.Second)
	p.SetNow(time.Hour + 300*time.Millisecond)
	(*lines)[1].handler.Data(encodeResponse("00000000000000fe", "HIT", ""))
	if p.Maintain(time.Hour + 500*time.Millisecond); !(*lines)[0].HasClosed || p.workers[7].addresses.Unavailable() != 1 {
		t.Errorf("the silent connection is closed: %v, %d addresses down", (*lines)[0].HasClosed, p.workers[7].addresses.Unavailable())
	}
}

// Two workers swap their addresses in one update: connections and dials go with the addresses, not with the ids.
func TestSwappedAddresses(t *testing.T) {
	p, _, lines, dialled := newPoolWithTwoAddresses()
	one, two := tcp4("127.0.0.1:11"), tcp4("127.0.0.1:12")
	p.SetWorker(8, one, policy.Ready)
	p.SetWorker(9, two, policy.Ready)
	p.StartAttempt(8, attempt, newRequest(requestID), time.Second)
	p.StartAttempt(9, router.Attempt{Request: 2}, newRequest("00000000000000ff"), time.Second)
	(*lines)[0].handler.DialCompleted(nil) // the other one is still being dialled
	p.SetWorker(8, two, policy.Ready)
	p.SetWorker(9, one, policy.Ready)
	if !(*lines)[1].HasClosed || (*dialled)[2] != "127.0.0.1:11" {
		t.Fatalf("dialled %v, the old dial closed: %v", *dialled, (*lines)[1].HasClosed)
	}
	(*lines)[2].handler.DialCompleted(nil)
	p.StartAttempt(8, router.Attempt{Request: 3}, newRequest("00000000000000fe"), time.Second)
	if (*dialled)[3] != "127.0.0.1:12" {
		t.Errorf("dialled %v", *dialled)
	}
	if on := transportsWithRun(*lines, "00000000000000ff"); !slices.Equal(on, []int{2}) {
		t.Errorf("the call that waited is written over %v", on)
	}
}

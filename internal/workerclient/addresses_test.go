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
func newPoolWithTwoAddresses() (p *Pool, s *resultRecorder, transports *[]*fakeTransport, dialled *[]string) {
	p, s, transports = newPool()
	dialled = new([]string)
	p.cfg.Dial = func(_, addr string, _ time.Duration, h eventloop.DialHandler) Transport {
		*dialled = append(*dialled, addr)
		*transports = append(*transports, &fakeTransport{handler: h})
		return (*transports)[len(*transports)-1]
	}
	p.SetWorker(7, twoAddresses, policy.Ready)
	return p, s, transports, dialled
}

var attempt = router.Attempt{Request: 1}

const requestID = "0123456789abcdef"

// A refused dial goes on to the next address at once; a request behind it never left, and is written once.
func TestRefusedDialFallsBack(t *testing.T) {
	p, s, transports, dialled := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	(*transports)[0].handler.DialCompleted(errors.New("connection refused"))
	if !slices.Equal(*dialled, []string{"/run/w.sock", "127.0.0.1:1"}) || len(s.outcomes) != 0 {
		t.Fatalf("dialled %v, ended %v", *dialled, s.outcomes)
	}
	(*transports)[1].handler.DialCompleted(nil)
	if on := transportsWithRun(*transports, requestID); !slices.Equal(on, []int{1}) {
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
	p, _, transports, dialled := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), 2*time.Second)
	p.Maintain(100 * time.Millisecond)
	if len(*dialled) != 1 {
		t.Fatalf("dialled %v too soon", *dialled)
	}
	p.Maintain(300 * time.Millisecond)
	if len(*dialled) != 2 || p.dialsInProgress != 2 {
		t.Fatalf("dialled %v, %d under way", *dialled, p.dialsInProgress)
	}
	(*transports)[1].handler.DialCompleted(nil)
	if !(*transports)[0].Closed || p.dialsInProgress != 0 {
		t.Error("the dial that lost goes on")
	}
	(*transports)[0].handler.DialCompleted(nil) // it came up all the same
	if on := transportsWithRun(*transports, requestID); !slices.Equal(on, []int{1}) {
		t.Errorf("written over %v", on)
	}
}

// All addresses failed: the worker is unreachable, which is told once and proves that nothing ran.
func TestAllAddressesFail(t *testing.T) {
	p, s, transports, _ := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	(*transports)[0].handler.DialCompleted(errors.New("refused"))
	(*transports)[1].handler.DialCompleted(errors.New("no route"))
	if got := s.outcomes[attempt]; !slices.Equal(got, []policy.Outcome{policy.Unreachable}) || len(p.workers[7].connections) != 0 || p.dialsInProgress != 0 {
		t.Errorf("ended %v, %d connections, %d dials", got, len(p.workers[7].connections), p.dialsInProgress)
	}
}

// What an end proves depends on whether the request left whole: one of which a byte is still here never ran and goes to
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
		p, s, transports, _ := newPoolWithTwoAddresses()
		p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
		(*transports)[0].handler.DialCompleted(nil)
		(*transports)[0].Unsent = c.left
		(*transports)[0].handler.Closed(errors.New("reset"))
		if len(*transports) > 1 {
			(*transports)[1].handler.DialCompleted(nil)
		}
		if on := transportsWithRun(*transports, requestID); !slices.Equal(on, c.on) || !slices.Equal(s.outcomes[attempt], c.ends) {
			t.Errorf("%s: written over %v, ended %v", name, on, s.outcomes[attempt])
		}
	}
	// It is not moved for ever, and not to a draining worker.
	p, s, transports, _ := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	for i := 0; i < len(*transports) && i < 20; i++ {
		(*transports)[i].handler.DialCompleted(nil)
		(*transports)[i].Unsent = 1
		(*transports)[i].handler.Closed(errors.New("reset"))
	}
	if got := s.outcomes[attempt]; !slices.Equal(got, []policy.Outcome{policy.Unreachable}) || p.Counters.RequestsResent != maxResends {
		t.Errorf("ended %v after %d moves", got, p.Counters.RequestsResent)
	}
	p, s, transports, _ = newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	(*transports)[0].handler.DialCompleted(nil)
	p.SetWorker(7, nil, policy.Draining)
	(*transports)[0].Unsent = 1
	(*transports)[0].handler.Closed(errors.New("reset"))
	if got := s.outcomes[attempt]; !slices.Equal(got, []policy.Outcome{policy.Unreachable}) || len(*transports) != 1 {
		t.Errorf("at a draining worker: ended %v on %d connections", got, len(*transports))
	}
}

// A drain stops all addresses at once: what waits behind their dials, recovery dials under way.
func TestDrainStopsAllAddresses(t *testing.T) {
	p, s, transports, _ := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	p.Load(7, 5, 1, 9)
	p.Maintain(300 * time.Millisecond)
	p.SetWorker(7, nil, policy.Draining)
	for _, l := range *transports {
		if !l.Closed {
			l.handler.DialCompleted(nil)
		}
	}
	for i, l := range *transports {
		if l.Written.Len() > 0 {
			t.Errorf("connection %d: wrote %q", i, l.Written.String())
		}
	}
	if !slices.Equal(s.outcomes[attempt], []policy.Outcome{policy.Unreachable}) || !slices.Equal(s.commandOutcomes[9], []policy.Outcome{policy.Overloaded}) {
		t.Errorf("ended %v and %v", s.outcomes, s.commandOutcomes)
	}
}

// An address that fails is tried by a connection that carries nothing but a NOOP, and takes requests again once that is
// answered; one that accepts and says nothing has not come back.
func TestRecoveryDial(t *testing.T) {
	p, _, transports, dialled := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	(*transports)[0].handler.DialCompleted(errors.New("refused"))
	(*transports)[1].handler.DialCompleted(nil)
	now := time.Duration(0)
	until := func(n int) {
		t.Helper()
		for len(*transports) < n && now < time.Minute {
			now += MaintenanceInterval
			p.Maintain(now)
		}
		if len(*transports) < n {
			t.Fatalf("no trial: dialled %v", *dialled)
		}
	}
	until(3)
	mute := (*transports)[2]
	mute.handler.DialCompleted(nil)
	if got := mute.Written.String(); got != string(encodeArray("NOOP", "t")) {
		t.Fatalf("wrote %q", got)
	}
	until(4) // it said nothing
	if !mute.Closed || p.Counters.RecoveryDialsFailed != 1 || p.workers[7].addresses.Unavailable() != 1 {
		t.Fatalf("%+v, closed %v", p.Counters, mute.Closed)
	}
	(*transports)[3].handler.DialCompleted(nil)
	(*transports)[3].handler.Data([]byte("*4\r\n$1\r\nt\r\n$4\r\nPONG\r\n$1\r\n-\r\n$0\r\n\r\n"))
	if p.workers[7].addresses.Unavailable() != 0 || !(*transports)[3].Closed || p.dialsInProgress != 0 {
		t.Error("the trial was answered and the address is still down")
	}
	// Requests go back to the better address, after a time; the old connection ends once its request has.
	for end := now + 7*time.Second; now < end; now += MaintenanceInterval {
		p.Maintain(now)
		(*transports)[1].handler.Data(encodeResponse("n1", "PONG", "")) // to a keepalive ping, where one was sent
	}
	p.StartAttempt(7, router.Attempt{Request: 2}, newRequest("00000000000000ff"), time.Second)
	if (*dialled)[len(*dialled)-1] != "/run/w.sock" || (*transports)[1].Closed {
		t.Errorf("dialled %v, the old connection closed: %v", *dialled, (*transports)[1].Closed)
	}
	(*transports)[1].handler.Data(encodeResponse(requestID, "HIT", ""))
	if p.Maintain(now); !(*transports)[1].Closed {
		t.Error("the old connection stays")
	}
}

// Out of descriptors nothing is learned about an address, nor about its worker, which Unreachable would have ejected.
func TestDescriptorExhaustionIsNotTheWorkersFault(t *testing.T) {
	p, s, transports, _ := newPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	(*transports)[0].handler.DialCompleted(syscall.EMFILE)
	(*transports)[1].handler.DialCompleted(syscall.EMFILE)
	if p.workers[7].addresses.Unavailable() != 0 || !slices.Equal(s.outcomes[attempt], []policy.Outcome{policy.NotSent}) {
		t.Errorf("%d addresses are down, ended %v", p.workers[7].addresses.Unavailable(), s.outcomes[attempt])
	}
}

// A silent connection has requests go to another address; a response there ends it, and no health check is needed.
func TestSilentAddressIsLeft(t *testing.T) {
	p, _, transports, dialled := newPoolWithTwoAddresses()
	p.SetNow(time.Hour)
	p.StartAttempt(7, attempt, newRequest(requestID), 2*time.Second)
	(*transports)[0].handler.DialCompleted(nil)
	p.Maintain(time.Hour + 200*time.Millisecond)
	p.StartAttempt(7, router.Attempt{Request: 2}, newRequest("00000000000000ff"), 2*time.Second)
	if (*dialled)[len(*dialled)-1] != "127.0.0.1:1" {
		t.Fatalf("dialled %v", *dialled)
	}
	(*transports)[1].handler.DialCompleted(nil)
	p.SetNow(time.Hour + 250*time.Millisecond)
	(*transports)[1].handler.Data(encodeResponse("00000000000000ff", "HIT", ""))
	p.StartAttempt(7, router.Attempt{Request: 3}, newRequest("00000000000000fe"), 2*time.Second)
	p.SetNow(time.Hour + 300*time.Millisecond)
	(*transports)[1].handler.Data(encodeResponse("00000000000000fe", "HIT", ""))
	if p.Maintain(time.Hour + 500*time.Millisecond); !(*transports)[0].Closed || p.workers[7].addresses.Unavailable() != 1 {
		t.Errorf("the silent connection is closed: %v, %d addresses down", (*transports)[0].Closed, p.workers[7].addresses.Unavailable())
	}
}

// Two workers swap their addresses in one update: connections and dials go with the addresses, not with the ids.
func TestSwappedAddresses(t *testing.T) {
	p, _, transports, dialled := newPoolWithTwoAddresses()
	one, two := tcp4("127.0.0.1:11"), tcp4("127.0.0.1:12")
	p.SetWorker(8, one, policy.Ready)
	p.SetWorker(9, two, policy.Ready)
	p.StartAttempt(8, attempt, newRequest(requestID), time.Second)
	p.StartAttempt(9, router.Attempt{Request: 2}, newRequest("00000000000000ff"), time.Second)
	(*transports)[0].handler.DialCompleted(nil) // the other one is still being dialled
	p.SetWorker(8, two, policy.Ready)
	p.SetWorker(9, one, policy.Ready)
	if !(*transports)[1].Closed || (*dialled)[2] != "127.0.0.1:11" {
		t.Fatalf("dialled %v, the old dial closed: %v", *dialled, (*transports)[1].Closed)
	}
	(*transports)[2].handler.DialCompleted(nil)
	p.StartAttempt(8, router.Attempt{Request: 3}, newRequest("00000000000000fe"), time.Second)
	if (*dialled)[3] != "127.0.0.1:12" {
		t.Errorf("dialled %v", *dialled)
	}
	if on := transportsWithRun(*transports, "00000000000000ff"); !slices.Equal(on, []int{2}) {
		t.Errorf("the call that waited is written over %v", on)
	}
}

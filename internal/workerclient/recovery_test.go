package workerclient

import (
	"errors"
	"strings"
	"testing"
	"time"

	"crankhold/internal/router"
)

// An address that failed counts again once it connects, where no health check may be sent to it.
func TestAddressRecoversWithoutAHealthCheck(t *testing.T) {
	p := newTestPoolWithTwoAddresses(func(cfg *Config) { cfg.HealthChecksAllowed = false })
	p.StartAttempt(7, attempt, newRequest(requestID), time.Minute)
	p.transports[0].handler.DialCompleted(errors.New("refused"))
	p.transports[1].handler.DialCompleted(nil)
	for at := time.Duration(0); at < 20*time.Second; at += MaintenanceInterval {
		p.Maintain(at)
		for _, transport := range p.transports[2:] {
			if !transport.Closed {
				transport.handler.DialCompleted(nil)
			}
		}
	}
	if p.Counters.RecoveryDials == 0 || p.workers[7].addresses.Unavailable() > 0 {
		t.Errorf("%d recovery dials, %d addresses are down", p.Counters.RecoveryDials, p.workers[7].addresses.Unavailable())
	}
	for i, transport := range p.transports {
		if strings.Contains(transport.Written.String(), "NOOP") {
			t.Errorf("connection %d was pinged: %q", i, transport.Written.String())
		}
	}
}

// An address that fails is tried by a connection that carries nothing but a NOOP, and takes requests again once that is
// answered; one that accepts and says nothing has not come back.
func TestRecoveryDial(t *testing.T) {
	p := newTestPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	p.transports[0].handler.DialCompleted(errors.New("refused"))
	p.transports[1].handler.DialCompleted(nil)
	now := time.Duration(0)
	waitForDials := func(n int) {
		t.Helper()
		for len(p.transports) < n && now < time.Minute {
			now += MaintenanceInterval
			p.Maintain(now)
		}
		if len(p.transports) < n {
			t.Fatalf("no recovery dial: dialled %v", p.dialed)
		}
	}
	waitForDials(3)
	unresponsive := p.transports[2]
	unresponsive.handler.DialCompleted(nil)
	if got := unresponsive.Written.String(); got != string(encodeArray("NOOP", "t")) {
		t.Fatalf("wrote %q", got)
	}
	waitForDials(4) // it said nothing
	if !unresponsive.Closed || p.Counters.RecoveryDialsFailed != 1 || p.workers[7].addresses.Unavailable() != 1 {
		t.Fatalf("%+v, closed %v", p.Counters, unresponsive.Closed)
	}
	p.transports[3].handler.DialCompleted(nil)
	p.transports[3].handler.Data([]byte("*4\r\n$1\r\nt\r\n$4\r\nPONG\r\n$1\r\n-\r\n$0\r\n\r\n"))
	if p.workers[7].addresses.Unavailable() != 0 || !p.transports[3].Closed || p.dialsInProgress != 0 {
		t.Error("the recovery dial succeeded and the address is still unavailable")
	}
	// Requests go back to the better address, after a time; the old connection ends once its request has.
	for end := now + 7*time.Second; now < end; now += MaintenanceInterval {
		p.Maintain(now)
		p.transports[1].handler.Data(encodeResponse("n1", "PONG", "")) // to a keepalive ping, where one was sent
	}
	p.StartAttempt(7, router.Attempt{Request: 2}, newRequest("00000000000000ff"), time.Second)
	if p.dialed[len(p.dialed)-1] != "/run/w.sock" || p.transports[1].Closed {
		t.Errorf("dialled %v, the old connection closed: %v", p.dialed, p.transports[1].Closed)
	}
	p.transports[1].handler.Data(encodeResponse(requestID, "HIT", ""))
	if p.Maintain(now); !p.transports[1].Closed {
		t.Error("the old connection is kept")
	}
}

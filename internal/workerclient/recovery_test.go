package workerclient

import (
	"errors"
	"strings"
	"testing"
	"time"

	"crankhold/internal/router"
)

// If no health check may be sent, an address that failed counts as available again once a dial to it succeeds.
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
	if p.Counters.RecoveryDials == 0 || p.workers[7].addresses.UnavailableCount() > 0 {
		t.Errorf("%d recovery dials, %d addresses are unavailable", p.Counters.RecoveryDials, p.workers[7].addresses.UnavailableCount())
	}
	for i, transport := range p.transports {
		if strings.Contains(transport.Written.String(), "NOOP") {
			t.Errorf("connection %d: a keepalive ping was written: %q", i, transport.Written.String())
		}
	}
}

// An address that failed is dialed by a connection that carries only a NOOP. It is used for requests again once the
// NOOP has a response. An address that accepts the connection and does not respond has not recovered.
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
			t.Fatalf("no recovery dial: dialed %v", p.dialed)
		}
	}
	waitForDials(3)
	unresponsive := p.transports[2]
	unresponsive.handler.DialCompleted(nil)
	if got := unresponsive.Written.String(); got != string(encodeArray("NOOP", "t")) {
		t.Fatalf("wrote %q", got)
	}
	waitForDials(4) // the recovery dial got no response
	if !unresponsive.Closed || p.Counters.RecoveryDialsFailed != 1 || p.workers[7].addresses.UnavailableCount() != 1 {
		t.Fatalf("counters %+v, closed %v", p.Counters, unresponsive.Closed)
	}
	p.transports[3].handler.DialCompleted(nil)
	p.transports[3].handler.Data([]byte("*4\r\n$1\r\nt\r\n$4\r\nPONG\r\n$1\r\n-\r\n$0\r\n\r\n"))
	if p.workers[7].addresses.UnavailableCount() != 0 || !p.transports[3].Closed || p.dialsInProgress != 0 {
		t.Error("the recovery dial succeeded and the address is still unavailable")
	}
	// After a time, requests go back to the better address. The old connection is closed once its request is complete.
	for end := now + 7*time.Second; now < end; now += MaintenanceInterval {
		p.Maintain(now)
		p.transports[1].handler.Data(encodeResponse("n1", "PONG", "")) // to a keepalive ping, if one was sent
	}
	p.StartAttempt(7, router.Attempt{Request: 2}, newRequest("00000000000000ff"), time.Second)
	if p.dialed[len(p.dialed)-1] != "/run/w.sock" || p.transports[1].Closed {
		t.Errorf("dialed %v, the old connection closed: %v", p.dialed, p.transports[1].Closed)
	}
	p.transports[1].handler.Data(encodeResponse(requestID, "HIT", ""))
	if p.Maintain(now); !p.transports[1].Closed {
		t.Error("the old connection is still open")
	}
}

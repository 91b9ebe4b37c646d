package workerclient

import (
	"strings"
	"testing"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// A connection that was cut off stays open and silent while its worker still responds on others. It gets no new
// commands and is closed, and the requests on it complete with ConnectionReset. If the worker is silent on all
// connections, they stay open, because the decision module decides whether it has failed.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, responds := range []bool{true, false} {
		p := newTestPool()
		now := time.Hour
		p.Maintain(now)
		a, b := router.Attempt{Request: 1}, router.Attempt{Request: 2}
		p.StartAttempt(1, a, newRequest("00000000000000a1"), time.Second)
		p.transports[0].handler.DialCompleted(nil)
		advance := func(d time.Duration) {
			for end := now + d; now < end; {
				now += MaintenanceInterval
				p.Maintain(now)
			}
		}
		advance(minSilenceBeforePing + MaintenanceInterval)
		if got := p.transports[0].Written.String(); strings.Count(got, "NOOP") != 1 {
			t.Fatalf("no keepalive ping was written: %q", got)
		}
		advance(MaintenanceInterval)
		p.StartAttempt(1, b, newRequest("00000000000000b2"), time.Second)
		if indices := transportsWithRun(p.transports, "00000000000000b2"); len(p.transports) != 2 || len(indices) != 0 {
			t.Fatalf("the silent connection got a request, %d connections", len(p.transports))
		}
		p.transports[1].handler.DialCompleted(nil)
		if advance(MaintenanceInterval); responds {
			p.transports[1].handler.Data(encodeResponse("00000000000000b2", "HIT", ""))
		}
		if p.transports[0].Closed {
			t.Fatal("closed before its keepalive ping timed out")
		}
		advance(pingTimeout + MaintenanceInterval)
		if p.transports[0].Closed != responds {
			t.Errorf("worker responds: %v, silent connection closed: %v", responds, p.transports[0].Closed)
		}
		if p.transports[0].handler.Closed(nil); len(p.recorder.outcomes[a]) != 1 || p.recorder.outcomes[a][0] != policy.ConnectionReset {
			t.Errorf("outcomes %v", p.recorder.outcomes[a])
		}
	}
	p := newTestPool() // after a response to its ping, a connection is used again
	p.StartAttempt(1, router.Attempt{Request: 1}, newRequest("00000000000000a1"), time.Second)
	p.transports[0].handler.DialCompleted(nil)
	p.Maintain(minSilenceBeforePing + MaintenanceInterval)
	p.transports[0].handler.Data(encodeResponse("n1", "PONG", ""))
	if p.StartAttempt(1, router.Attempt{Request: 2}, newRequest("00000000000000b2"), time.Second); len(p.transports) != 1 || p.transports[0].Closed {
		t.Error("a connection that responded to its ping got no further request")
	}
}

// If the settings do not allow health checks, a silent connection is not sent a keepalive ping, but still gets no new
// request until it responds.
func TestNoPingIsSentIfHealthChecksAreNotAllowed(t *testing.T) {
	p := newTestPool(func(cfg *Config) { cfg.HealthChecksAllowed = false })
	p.StartAttempt(1, router.Attempt{Request: 1}, newRequest("0123456789abcdef"), time.Minute)
	silent := p.transports[0]
	silent.handler.DialCompleted(nil)
	for at := time.Duration(0); at < 5*time.Second; at += MaintenanceInterval {
		p.Maintain(at)
	}
	p.StartAttempt(1, router.Attempt{Request: 2}, newRequest("0123456789abcdee"), time.Minute)
	if len(p.transports) < 2 || strings.Contains(silent.Written.String(), "0123456789abcdee") {
		t.Error("the silent connection got a further request")
	}
	if strings.Contains(silent.Written.String(), "NOOP") {
		t.Errorf("a keepalive ping was written: %q", silent.Written.String())
	}
	silent.handler.Data(encodeResponse("0123456789abcdef", "HIT", ""))
	p.StartAttempt(1, router.Attempt{Request: 3}, newRequest("0123456789abcded"), time.Minute)
	if !strings.Contains(silent.Written.String(), "0123456789abcded") {
		t.Error("a connection that has responded got no further request")
	}
}

// If a connection is silent, requests go to another address. Responses there show that the silent connection is cut
// off, and it is closed without a health check.
func TestRequestsAvoidASilentAddress(t *testing.T) {
	p := newTestPoolWithTwoAddresses()
	p.SetNow(time.Hour)
	p.StartAttempt(7, attempt, newRequest(requestID), 2*time.Second)
	p.transports[0].handler.DialCompleted(nil)
	p.Maintain(time.Hour + 200*time.Millisecond)
	p.StartAttempt(7, router.Attempt{Request: 2}, newRequest("00000000000000ff"), 2*time.Second)
	if p.dialed[len(p.dialed)-1] != "127.0.0.1:1" {
		t.Fatalf("dialed %v", p.dialed)
	}
	p.transports[1].handler.DialCompleted(nil)
	p.SetNow(time.Hour + 250*time.Millisecond)
	p.transports[1].handler.Data(encodeResponse("00000000000000ff", "HIT", ""))
	p.StartAttempt(7, router.Attempt{Request: 3}, newRequest("00000000000000fe"), 2*time.Second)
	p.SetNow(time.Hour + 300*time.Millisecond)
	p.transports[1].handler.Data(encodeResponse("00000000000000fe", "HIT", ""))
	if p.Maintain(time.Hour + 500*time.Millisecond); !p.transports[0].Closed || p.workers[7].addresses.UnavailableCount() != 1 {
		t.Errorf("the silent connection is closed: %v, %d addresses are unavailable", p.transports[0].Closed, p.workers[7].addresses.UnavailableCount())
	}
}

func TestLivenessMonitorJudgesSilence(t *testing.T) {
	const now = time.Hour
	for _, test := range []struct {
		name     string
		silence  time.Duration
		expected time.Duration
		pingedAt time.Duration
		want     livenessState
	}{
		{"short", minSilenceBeforePing, 0, 0, connectionAlive},
		{"long", minSilenceBeforePing + 1, 0, 0, pingDue},
		{"long but expected", time.Second, time.Second, 0, connectionAlive},
		{"pinged a moment ago", time.Second, 0, now - pingTimeout, connectionAlive},
		{"pinged long ago", time.Second, 0, now - pingTimeout - 1, pingWithoutResponse},
	} {
		monitor := livenessMonitor{pingedAt: test.pingedAt}
		if got := monitor.check(now, test.silence, test.expected); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
		monitor.recordResponse(now)
		if monitor.awaitsPingResponse() || monitor.lastResponse != now {
			t.Errorf("%s: %+v after a response", test.name, monitor)
		}
	}
}

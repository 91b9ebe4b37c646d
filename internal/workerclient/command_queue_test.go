package workerclient

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// Guards against a second copy of a response: of a miss, say, which would have the next attempt of the
// same request count as one that never ran, and an order be sent once more.
func TestSecondCopyEndsNoLaterAttempt(t *testing.T) {
	p, s, transports := newPool()
	const id = "0123456789abcdef"
	first, second := router.Attempt{Request: 1}, router.Attempt{Request: 1, Number: 1}
	p.StartAttempt(1, first, newRequest(id), time.Second)
	l := (*transports)[0]
	l.handler.DialCompleted(nil)
	l.handler.Data(encodeResponse(id, "NONE", ""))
	p.StartAttempt(1, second, newRequest(id), time.Second)
	l.handler.Data(encodeResponse(id, "NONE", ""))
	l.handler.Data(encodeResponse("unknown", "HIT", "ahead"))
	if len(s.outcomes[second]) != 0 || l.Closed || len(*transports) != 2 {
		t.Fatalf("second attempt ended %v on %d connections", s.outcomes[second], len(*transports))
	}
	(*transports)[1].handler.DialCompleted(nil)
	(*transports)[1].handler.Data(encodeResponse(id, "HIT", "done"))
	if len(s.outcomes[second]) != 1 || string(s.results[second].Body) != "done" || len(transportsWithRun(*transports, id)) != 2 {
		t.Errorf("second attempt ended %v with %q", s.outcomes[second], s.results[second].Body)
	}
	for now := time.Duration(0); now <= 3*idHistoryPeriod; now += MaintenanceInterval {
		p.Maintain(now)
	}
	for _, c := range p.workers[1].connections {
		if len(c.commands.recentIDs.current)+len(c.commands.recentIDs.previous)+len(c.commands.inFlight) != 0 {
			t.Errorf("a connection still remembers %d ids", len(c.commands.recentIDs.current)+len(c.commands.recentIDs.previous))
		}
	}
}

// Guards against a flood of cancelled requests: the ids that a connection remembers are bounded, and one that is
// full gives way to another without a reset for the requests that are open on it.
func TestCanceledRequestsCostNoOtherClientAConnection(t *testing.T) {
	p, s, transports := newPool()
	stays := router.Attempt{Request: 9999}
	p.StartAttempt(1, stays, newRequest("00000000000000ff"), time.Second)
	(*transports)[0].handler.DialCompleted(nil)
	for i := range maxRememberedIDs + 10 {
		a := router.Attempt{Request: policy.RequestID(i)}
		p.StartAttempt(1, a, newRequest(fmt.Sprintf("%016x", 1<<20+i)), time.Second)
		p.CancelAttempt(1, a)
	}
	if (*transports)[0].Closed || len(s.outcomes[stays]) != 0 || len(*transports) != 2 {
		t.Errorf("closed %v, ended %v, %d connections", (*transports)[0].Closed, s.outcomes[stays], len(*transports))
	}
	if n := len(p.workers[1].connections[0].commands.recentIDs.current); n != maxRememberedIDs {
		t.Errorf("%d ids are remembered", n)
	}
}

// Guards a busy worker: a connection that has as many ids to remember as it may gives its place to a fresh one, so
// that thousands of requests a second go on over a bounded number of connections.
func TestFullConnectionsAreReplaced(t *testing.T) {
	p, s, transports := newPool()
	p.cfg.MaxRequestsPerConnection = 32
	now, n := time.Hour, 0
	for range 600 { // 30 s at 2,000 requests/s
		for range 100 {
			n++
			id := fmt.Sprintf("%016x", n)
			a := router.Attempt{Request: policy.RequestID(n)}
			p.StartAttempt(1, a, newRequest(id), time.Second)
			for _, l := range *transports {
				if l.handler != nil && l.Written.Len() == 0 && !l.Closed {
					l.handler.DialCompleted(nil)
				}
			}
			for _, l := range *transports {
				if l.handler != nil && !l.Closed && strings.Contains(l.Written.String(), id) {
					l.handler.Data(encodeResponse(id, "HIT", ""))
					l.Written.Reset()
					l.Written.WriteString("-")
				}
			}
			if len(s.outcomes[a]) != 1 || s.outcomes[a][0] != policy.Served {
				t.Fatalf("call %d at %v ended %v on %d connections", n, now-time.Hour, s.outcomes[a], len(p.workers[1].connections))
			}
		}
		now += MaintenanceInterval
		p.Maintain(now)
		for _, l := range *transports {
			if l.Closed && l.handler != nil {
				l.handler.Closed(nil)
				l.handler = nil
			}
		}
	}
}

package workerclient

import (
	"fmt"
	"testing"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// The number of connections to all workers together is limited, so that descriptors do not run out. At the limit an
// idle connection is closed for a new one.
func TestConnectionsAreBoundedTogether(t *testing.T) {
	p := newTestPool(func(cfg *Config) { cfg.MaxConnections = 3 })
	for w := range policy.WorkerID(5) {
		p.SetWorker(w+1, tcp4(fmt.Sprintf("127.0.0.1:%d", w+1)), policy.Ready)
		p.StartAttempt(w+1, router.Attempt{Request: policy.RequestID(w)}, newRequest(fmt.Sprintf("%016x", w)), time.Second)
	}
	if len(p.transports) != 3 || p.recorder.outcomes[router.Attempt{Request: 4}][0] != policy.Saturated {
		t.Fatalf("%d connections, outcomes %v", len(p.transports), p.recorder.outcomes)
	}
	p.transports[0].handler.DialCompleted(nil)
	p.transports[0].handler.Data(encodeResponse(fmt.Sprintf("%016x", 0), "HIT", ""))
	p.StartAttempt(5, router.Attempt{Request: 9}, newRequest("00000000000000ff"), time.Second)
	if len(p.transports) != 4 || !p.transports[0].Closed {
		t.Errorf("%d connections, idle one closed: %v", len(p.transports), p.transports[0].Closed)
	}
}

// Maintenance at the limit of connections closes no idle connection, and counts none, unless a recovery dial is due.
// Guards against connections that are closed for nothing, and against maintenance whose time grows with the square of
// the number of workers: each worker counted the connections of all, every 50 ms.
func TestMaintenanceMakesNoRoomForDialsThatAreNotDue(t *testing.T) {
	p := newTestPool(func(cfg *Config) { cfg.MaxConnections = 1 })
	p.SetWorker(1, tcp4("127.0.0.1:1"), policy.Ready)
	p.StartAttempt(1, router.Attempt{Request: 1}, newRequest("0000000000000001"), time.Second)
	p.transports[0].handler.DialCompleted(nil)
	p.transports[0].handler.Data(encodeResponse("0000000000000001", "HIT", ""))
	p.Maintain(p.now + MaintenanceInterval)
	if p.transports[0].Closed {
		t.Error("the idle connection was closed, and nothing was to be dialed")
	}
}

// The same holds while a dial is under way whose worker has no further address.
func TestDialUnderWayMakesNoRoomForAnotherThatIsNotDue(t *testing.T) {
	p := newTestPool(func(cfg *Config) { cfg.MaxConnections = 2 })
	p.SetWorker(1, tcp4("127.0.0.1:1"), policy.Ready)
	p.SetWorker(2, tcp4("127.0.0.1:2"), policy.Ready)
	p.StartAttempt(1, router.Attempt{Request: 1}, newRequest("0000000000000001"), time.Second)
	p.transports[0].handler.DialCompleted(nil)
	p.transports[0].handler.Data(encodeResponse("0000000000000001", "HIT", ""))
	p.StartAttempt(2, router.Attempt{Request: 2}, newRequest("0000000000000002"), time.Second)
	p.Maintain(p.now + MaintenanceInterval)
	if len(p.transports) != 2 || p.transports[0].Closed {
		t.Errorf("%d dials, idle connection closed: %v", len(p.transports), p.transports[0].Closed)
	}
}

package workerclient

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// A new worker may listen at the address of one that is gone. It must not get the connection of the old one.
func TestNewWorkerAtAnOldAddressGetsItsOwnConnection(t *testing.T) {
	p := newTestPool()
	p.CheckHealth(1, 1)
	p.RetainWorkers(map[policy.WorkerID]bool{2: true})
	p.SetWorker(2, tcp4("127.0.0.1:1"), policy.Ready)
	p.StartAttempt(2, router.Attempt{Request: 1}, newRequest("0123456789abcdef"), time.Second)
	if len(p.transports) != 2 {
		t.Errorf("%d connections", len(p.transports))
	}
}

// State must not accumulate over a long time: generations of workers are added and removed, some of them at the address
// of an earlier worker, and no state of removed workers is kept.
func TestGoneWorkersLeaveNoState(t *testing.T) {
	p := newTestPool()
	now := time.Duration(0)
	for generation := range 200 {
		w := policy.WorkerID(generation + 2)
		p.RetainWorkers(map[policy.WorkerID]bool{w: true})
		p.SetWorker(w, tcp4("127.0.0.1:1"), policy.Ready)
		a := router.Attempt{Request: policy.RequestID(generation)}
		p.StartAttempt(w, a, newRequest(fmt.Sprintf("%016x", generation)), time.Second)
		p.Load(w, 7, 1, uint64(generation))
		transport := p.transports[len(p.transports)-1]
		if transport.handler.DialCompleted(nil); generation%2 == 0 {
			transport.handler.Data(encodeResponse(fmt.Sprintf("%016x", generation), "HIT", ""))
		} else {
			p.CancelAttempt(w, a)
		}
		p.CancelCommand(w, uint64(generation))
		p.RetainWorkers(nil)
		for range 3 {
			now += MaintenanceInterval
			p.Maintain(now)
			for _, transport := range p.transports {
				if transport.Closed && transport.handler != nil {
					transport.handler.Closed(nil)
					transport.handler = nil
				}
			}
		}
	}
	if len(p.workers)+len(p.attempts) != 0 {
		t.Errorf("%d workers and %d attempts are kept", len(p.workers), len(p.attempts))
	}
}

// A drain affects all addresses at once: commands that are queued behind dials fail, and recovery dials are canceled.
func TestDrainStopsAllAddresses(t *testing.T) {
	p := newTestPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	p.Load(7, 5, 1, 9)
	p.Maintain(300 * time.Millisecond)
	p.SetWorker(7, nil, policy.Draining)
	for _, transport := range p.transports {
		if !transport.Closed {
			transport.handler.DialCompleted(nil)
		}
	}
	for i, transport := range p.transports {
		if transport.Written.Len() > 0 {
			t.Errorf("connection %d: wrote %q", i, transport.Written.String())
		}
	}
	if !slices.Equal(p.recorder.outcomes[attempt], []policy.Outcome{policy.Unreachable}) || !slices.Equal(p.recorder.commandOutcomes[9], []policy.Outcome{policy.Overloaded}) {
		t.Errorf("outcomes %v and %v", p.recorder.outcomes, p.recorder.commandOutcomes)
	}
}

// Two workers swap their addresses in one update. Connections and dials belong to the addresses, not to the worker ids.
func TestSwappedAddresses(t *testing.T) {
	p := newTestPoolWithTwoAddresses()
	one, two := tcp4("127.0.0.1:11"), tcp4("127.0.0.1:12")
	p.SetWorker(8, one, policy.Ready)
	p.SetWorker(9, two, policy.Ready)
	p.StartAttempt(8, attempt, newRequest(requestID), time.Second)
	p.StartAttempt(9, router.Attempt{Request: 2}, newRequest("00000000000000ff"), time.Second)
	p.transports[0].handler.DialCompleted(nil) // the other dial is still in progress
	p.SetWorker(8, two, policy.Ready)
	p.SetWorker(9, one, policy.Ready)
	if !p.transports[1].Closed || p.dialed[2] != "127.0.0.1:11" {
		t.Fatalf("dialed %v, the old dial closed: %v", p.dialed, p.transports[1].Closed)
	}
	p.transports[2].handler.DialCompleted(nil)
	p.StartAttempt(8, router.Attempt{Request: 3}, newRequest("00000000000000fe"), time.Second)
	if p.dialed[3] != "127.0.0.1:12" {
		t.Errorf("dialed %v", p.dialed)
	}
	if indices := transportsWithRun(p.transports, "00000000000000ff"); !slices.Equal(indices, []int{2}) {
		t.Errorf("the queued request is written over %v", indices)
	}
}

package workerclient

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/router"
	"crankhold/policy"
)

// establish has a request sent to a worker over a new connection, and returns the connection.
func (p *testPool) establish(t *testing.T, id policy.WorkerID, a router.Attempt, requestID string) *fakeTransport {
	t.Helper()
	before := len(p.transports)
	p.StartAttempt(id, a, newRequest(requestID), time.Second)
	if len(p.transports) != before+1 {
		t.Fatal("no connection was dialed")
	}
	transport := p.transports[before]
	transport.handler.DialCompleted(nil)
	return transport
}

// Guards against work for a new process that goes to the one that had its place: connections of the former one are
// closed, what was in flight ends as possibly run, and the next request goes over a new connection.
func TestNewProcessGetsNothingOverConnectionsOfTheFormerOne(t *testing.T) {
	const started = 10 * time.Second
	for _, test := range []struct {
		name        string
		established time.Duration
		responded   time.Duration // 0: never
		closed      bool
	}{
		{"established before and silent", started - time.Second, 0, true},
		{"established and responded before", started - time.Second, started - time.Second/2, true},
		{"established before, responded since", started - time.Second, started + time.Second, false},
		{"established after", started + time.Second, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool()
			p.SetNow(test.established)
			transport := p.establish(t, 1, attempt, requestID)
			if test.responded > 0 {
				p.SetNow(test.responded)
				transport.handler.Data(encodeResponse(requestID, "HIT", "done"))
				p.StartAttempt(1, router.Attempt{Request: 2}, newRequest("1123456789abcdef"), time.Second)
			}
			p.SetNow(started + 2*time.Second)
			p.SetProcess(1, started)
			if transport.Closed != test.closed {
				t.Fatalf("closed: %v", transport.Closed)
			}
			p.StartAttempt(1, router.Attempt{Request: 3}, newRequest("2123456789abcdef"), time.Second)
			if sent := len(transportsWithRun(p.transports[:1], "2123456789abcdef")) == 1; sent == test.closed {
				t.Errorf("the next request went over the connection: %v", sent)
			}
			if !test.closed {
				return
			}
			transport.handler.Closed(nil)
			inFlight := attempt
			if test.responded > 0 {
				inFlight = router.Attempt{Request: 2}
			}
			if got := p.recorder.outcomes[inFlight]; len(got) != 1 || got[0] != policy.ProcessReplaced {
				t.Errorf("the attempt in flight ended as %v", got)
			}
		})
	}
}

// Guards against a dial that began while the former process listened, and against the backoff that its failures caused.
func TestNewProcessIsDialedAnew(t *testing.T) {
	p := newTestPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	p.transports[0].handler.DialCompleted(fmt.Errorf("refused"))
	dials := len(p.transports)
	p.SetNow(time.Second / 2)
	p.SetProcess(7, time.Second/2)
	if !p.transports[dials-1].Closed || len(p.transports) != dials+1 || p.workers[7].addresses.UnavailableCount() != 0 {
		t.Errorf("closed: %v, %d dials, %d addresses in backoff", p.transports[dials-1].Closed, len(p.transports), p.workers[7].addresses.UnavailableCount())
	}
	p.transports[dials].handler.DialCompleted(nil)
	if got := transportsWithRun(p.transports, requestID); len(got) != 1 || got[0] != dials {
		t.Errorf("the queued request was sent over %v", got)
	}
}

// Guards against attempts that wait for a process that is gone: a worker of another name has its address.
func TestProcessWhoseAddressAnotherHasTakenIsGone(t *testing.T) {
	p := newTestPool()
	transport := p.establish(t, 1, attempt, requestID)
	p.SetNow(2 * time.Second)
	p.RetainWorkers(nil)
	if transport.Closed {
		t.Fatal("an attempt in flight was given up although its worker may still end it")
	}
	p.SetWorker(2, tcp4("127.0.0.1:1"), policy.Ready)
	p.SetProcess(2, time.Second)
	p.RetainWorkers(map[policy.WorkerID]bool{2: true})
	if transport.handler.Closed(nil); !transport.Closed || fmt.Sprint(p.recorder.outcomes[attempt]) != "[process_replaced]" {
		t.Errorf("closed: %v, the attempt ended as %v", transport.Closed, p.recorder.outcomes[attempt])
	}
}

// Guards against any path by which a former process is taken for the present one: whatever the list tells, and in
// whatever order, no request is written to a connection that was established before its worker's process started.
func TestRequestsReachOnlyThePresentProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool()
		established := map[*fakeTransport]time.Duration{}
		owner := map[*fakeTransport]policy.WorkerID{}
		started := map[policy.WorkerID]time.Duration{}
		lastRequest := map[int]string{}
		responded := map[policy.WorkerID]time.Duration{}
		now := time.Second
		for step := range rapid.IntRange(20, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
			p.SetNow(now)
			id := policy.WorkerID(rapid.IntRange(1, 3).Draw(t, "worker"))
			switch rapid.SampledFrom([]int{0, 0, 1, 2, 2, 2, 3, 3, 4}).Draw(t, "step") {
			case 0: // the list
				addr := fmt.Sprintf("127.0.0.1:%d", int(id)+rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "port"))
				p.SetWorker(id, tcp4(addr), policy.Ready)
				if rapid.Bool().Draw(t, "restarted") {
					at := now - time.Duration(rapid.IntRange(0, 900).Draw(t, "age"))*time.Millisecond
					at = max(at, responded[id]+1) // a process that is gone does not respond
					p.SetProcess(id, at)
					started[id] = max(started[id], at)
				}
			case 1: // a worker leaves the list
				present := map[policy.WorkerID]bool{1: true, 2: true, 3: true}
				delete(present, id)
				p.RetainWorkers(present)
			case 2: // a request
				requestID := fmt.Sprintf("%016x", step)
				before := len(p.transports)
				p.StartAttempt(id, router.Attempt{Request: policy.RequestID(step)}, newRequest(requestID), time.Second)
				for _, transport := range p.transports[before:] {
					established[transport], owner[transport] = now, id
					transport.handler.DialCompleted(nil)
				}
				for _, i := range transportsWithRun(p.transports, requestID) {
					lastRequest[i] = requestID
					if transport := p.transports[i]; established[transport] < started[owner[transport]] {
						t.Fatalf("a request went over a connection of %v to a process of %v", established[transport], started[owner[transport]])
					}
				}
			case 3: // the present process responds
				for i, transport := range p.transports {
					if established[transport] >= started[owner[transport]] && !transport.Closed && transport.handler != nil {
						transport.handler.Data(encodeResponse(lastRequest[i], "HIT", "done"))
						responded[owner[transport]] = now
					}
				}
			case 4: // closed connections end
				for _, transport := range p.transports {
					if transport.Closed && transport.handler != nil {
						transport.handler.Closed(nil)
						transport.handler = nil
					}
				}
				p.Maintain(now)
			}
		}
	})
}

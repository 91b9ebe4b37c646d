package workerclient

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// A duplicate response must not complete the next attempt of the same request. A duplicate of a miss, for example,
// would make that attempt count as one that never ran, and cause another load command.
func TestDuplicateResponseCompletesNoLaterAttempt(t *testing.T) {
	p := newTestPool()
	const id = "0123456789abcdef"
	first, second := router.Attempt{Request: 1}, router.Attempt{Request: 1, Number: 1}
	p.StartAttempt(1, first, newRequest(id), time.Second)
	transport := p.transports[0]
	transport.handler.DialCompleted(nil)
	transport.handler.Data(encodeResponse(id, "NONE", ""))
	p.StartAttempt(1, second, newRequest(id), time.Second)
	transport.handler.Data(encodeResponse(id, "NONE", ""))
	transport.handler.Data(encodeResponse("unknown", "HIT", "ahead"))
	if len(p.recorder.outcomes[second]) != 0 || transport.Closed || len(p.transports) != 2 {
		t.Fatalf("second attempt: outcomes %v on %d connections", p.recorder.outcomes[second], len(p.transports))
	}
	p.transports[1].handler.DialCompleted(nil)
	p.transports[1].handler.Data(encodeResponse(id, "HIT", "done"))
	if len(p.recorder.outcomes[second]) != 1 || string(p.recorder.results[second].Body) != "done" || len(transportsWithRun(p.transports, id)) != 2 {
		t.Errorf("second attempt: outcomes %v, body %q", p.recorder.outcomes[second], p.recorder.results[second].Body)
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

// A flood of canceled requests must not fail others: the number of ids that a connection remembers is limited, and a
// connection at the limit is replaced by another one without a reset of the requests in flight on it.
func TestCanceledRequestsCloseNoConnection(t *testing.T) {
	p := newTestPool()
	other := router.Attempt{Request: 9999}
	p.StartAttempt(1, other, newRequest("00000000000000ff"), time.Second)
	p.transports[0].handler.DialCompleted(nil)
	for i := range maxRememberedIDs + 10 {
		a := router.Attempt{Request: policy.RequestID(i)}
		p.StartAttempt(1, a, newRequest(fmt.Sprintf("%016x", 1<<20+i)), time.Second)
		p.CancelAttempt(1, a)
	}
	if p.transports[0].Closed || len(p.recorder.outcomes[other]) != 0 || len(p.transports) != 2 {
		t.Errorf("closed %v, outcomes %v, %d connections", p.transports[0].Closed, p.recorder.outcomes[other], len(p.transports))
	}
	if n := len(p.workers[1].connections[0].commands.recentIDs.current); n != maxRememberedIDs {
		t.Errorf("%d ids are remembered", n)
	}
}

// A busy worker must stay reachable: a connection that remembers the maximum number of ids is replaced by a new one, so
// that thousands of requests a second are sent over a limited number of connections.
func TestFullConnectionsAreReplaced(t *testing.T) {
	p := newTestPool(func(cfg *Config) { cfg.MaxRequestsPerConnection = 32 })
	now, n := time.Hour, 0
	for range 600 { // 30 s at 2,000 requests/s
		for range 100 {
			n++
			id := fmt.Sprintf("%016x", n)
			a := router.Attempt{Request: policy.RequestID(n)}
			p.StartAttempt(1, a, newRequest(id), time.Second)
			for _, transport := range p.transports {
				if transport.handler != nil && transport.Written.Len() == 0 && !transport.Closed {
					transport.handler.DialCompleted(nil)
				}
			}
			for _, transport := range p.transports {
				if transport.handler != nil && !transport.Closed && strings.Contains(transport.Written.String(), id) {
					transport.handler.Data(encodeResponse(id, "HIT", ""))
					transport.Written.Reset()
					transport.Written.WriteString("-")
				}
			}
			if len(p.recorder.outcomes[a]) != 1 || p.recorder.outcomes[a][0] != policy.Served {
				t.Fatalf("request %d at %v: outcomes %v on %d connections", n, now-time.Hour, p.recorder.outcomes[a], len(p.workers[1].connections))
			}
		}
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

// newTestRequest returns a command that is a request.
func newTestRequest(id string) *command {
	return &command{id: id, kind: &requestCommand{}}
}

func TestCommandQueueCountsRequestsAndRemembersTheirIDs(t *testing.T) {
	queue := newCommandQueue()
	written := newTestRequest("a1")
	written.sendState.written = true
	waiting := newTestRequest("b2")
	ping := &command{id: "n1", kind: pingCommand{}}
	for _, cmd := range []*command{written, waiting, ping} {
		queue.add(cmd)
	}
	queue.enqueue(waiting)
	if queue.requestCount != 2 || queue.acceptsRequest("c3", 2) || !queue.acceptsRequest("c3", 3) {
		t.Errorf("%d requests in flight, want 2", queue.requestCount)
	}
	if order := queue.sortedInFlight(); !slices.Equal(order, []*command{written, waiting, ping}) {
		t.Errorf("commands in flight in order: %v", order)
	}
	queue.dequeue(written) // not queued: nothing changes
	if !queue.has("a1") {
		t.Error("a command that was written has been dequeued")
	}
	queue.dequeue(waiting)
	queue.remove(written)
	queue.remove(written)
	if queue.requestCount != 0 || queue.empty() || len(queue.takeQueued()) != 0 {
		t.Errorf("%d requests in flight, %d commands", queue.requestCount, len(queue.inFlight))
	}
	if queue.acceptsRequest("a1", 1) || !queue.acceptsRequest("b2", 1) {
		t.Error("only the id of the request that was written may not be used again")
	}
	queue.clear()
	if !queue.empty() {
		t.Error("a cleared queue is not empty")
	}
}

func TestOldestRequestIsTheOneWrittenFirst(t *testing.T) {
	queue := newCommandQueue()
	queue.add(newTestRequest("a0")) // not written yet
	if _, found := queue.oldestRequest(); found {
		t.Error("a request that was not written awaits a response")
	}
	for id, sentAt := range map[string]time.Duration{"a1": 3 * time.Second, "a2": 2 * time.Second} {
		cmd := newTestRequest(id)
		cmd.sendState = sendState{written: true, sentAt: sentAt}
		queue.add(cmd)
	}
	ping := &command{id: "n1", kind: pingCommand{}, sendState: sendState{written: true, sentAt: time.Second}}
	queue.add(ping)
	if sentAt, found := queue.oldestRequest(); !found || sentAt != 2*time.Second {
		t.Errorf("the oldest request was sent at %v, found %v", sentAt, found)
	}
}

// Guards against memory that grows with the connections to workers: all of them together remember a limited number of
// ids, and one that has reached its part is replaced.
func TestConnectionsShareTheBudgetOfRememberedIDs(t *testing.T) {
	const total = 1000
	const betweenMaintenance = 50 // requests; the budget is divided anew at each maintenance
	p := newTestPool(func(cfg *Config) {
		cfg.MaxRememberedIDs = total
		cfg.MaxRequestsPerConnection = 32
	})
	for id := policy.WorkerID(1); id <= 3; id++ {
		p.SetWorker(id, tcp4(fmt.Sprintf("127.0.0.1:%d", id)), policy.Ready)
	}
	peak := 0
	for i := range 20 * total {
		w := policy.WorkerID(1 + i%3)
		a := router.Attempt{Request: policy.RequestID(i)}
		before := len(p.transports)
		p.StartAttempt(w, a, newRequest(fmt.Sprintf("%016x", i)), time.Second)
		for _, transport := range p.transports[before:] {
			transport.handler.DialCompleted(nil)
		}
		p.CancelAttempt(w, a)
		if i%betweenMaintenance == 0 {
			p.Maintain(p.now + MaintenanceInterval/100)
			for _, transport := range p.transports {
				if transport.Closed && transport.handler != nil {
					transport.handler.Closed(nil)
					transport.handler = nil
				}
			}
		}
		remembered := 0
		for _, w := range p.workers {
			for _, c := range w.connections {
				remembered += len(c.commands.recentIDs.current) + len(c.commands.recentIDs.previous)
			}
		}
		peak = max(peak, remembered)
	}
	if limit := total + betweenMaintenance; peak > limit || peak < total/2 {
		t.Errorf("%d ids are remembered together, want at most %d", peak, limit)
	}
}

// Guards against a worker that counts as unreachable because its connections are full: a client that asks for functions
// nobody knows fills them, and usual clients lost the worker for seconds.
func TestRequestBeyondFullConnectionsIsNotUnreachable(t *testing.T) {
	p := newTestPool()
	perConnection := p.cfg.MaxRequestsPerConnection
	for i := range maxConnectionsPerWorker*perConnection + 1 {
		before := len(p.transports)
		p.StartAttempt(1, router.Attempt{Request: policy.RequestID(i)}, newRequest(fmt.Sprintf("%016x", i)), time.Second)
		for _, transport := range p.transports[before:] {
			transport.handler.DialCompleted(nil)
		}
	}
	last := router.Attempt{Request: policy.RequestID(maxConnectionsPerWorker * perConnection)}
	if got := p.recorder.outcomes[last]; len(got) != 1 || got[0] != policy.Saturated {
		t.Errorf("the request beyond %d connections ended as %v", maxConnectionsPerWorker, got)
	}
	p.StartAttempt(99, attempt, newRequest(requestID), time.Second)
	if got := p.recorder.outcomes[attempt]; len(got) != 1 || got[0] != policy.Unreachable {
		t.Errorf("a request to a worker without connections ended as %v", got)
	}
}

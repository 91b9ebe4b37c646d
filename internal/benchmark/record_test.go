package benchmark

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// start is when the recorded requests of these tests begin.
var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func expectEqual(t *testing.T, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// add records a request that was sent some time after the start.
func (r *record) add(after time.Duration, request recordedRequest) *recordedRequest {
	request.sentAt = start.Add(after)
	r.requests = append(r.requests, &request)
	r.byID[fmt.Sprint(len(r.requests))] = &request
	return &request
}

func TestViolationsAreCounted(t *testing.T) {
	r := newRecord()
	r.add(0, recordedRequest{class: fake.DimLevel.Name, status: fake.Served, runs: 2})
	r.add(1, recordedRequest{class: fake.DimLevel.Name, status: fake.Rejected, late: true})
	r.add(2, recordedRequest{class: fake.DimLevel.Name})
	r.add(3, recordedRequest{class: fake.RepairOrder.Name, status: statusLost, late: true})
	r.add(4, recordedRequest{class: fake.RepairOrder.Name, status: fake.Failed, runs: 2})
	expectEqual(t, r.violations(fake.RepairOrder.Name), violations{lost: 2, late: 1, notIdempotent: 2, doubled: 1})
	expectEqual(t, r.tally(fake.DimLevel.Name, start, start.Add(2)), tally{sent: 2, served: 1, rejected: 1})
	expectEqual(t, r.tally("", start, start.Add(time.Second)), tally{sent: 5, served: 1, rejected: 1, failed: 1})
}

// Four load commands are allowed, 15 in 100 of them and one more for what is under way: the sixth is a breach, unless it comes
// after the window or with enough requests.
func TestLoadCommandsBeyondTheBudgetAreBreaches(t *testing.T) {
	commands := func(n int, interval time.Duration) (times []time.Time) {
		for i := range n {
			times = append(times, start.Add(time.Duration(i)*interval))
		}
		return times
	}
	requests := make([]time.Time, 100)
	for i := range requests {
		requests[i] = start
	}
	for _, tt := range []struct {
		name     string
		commands []time.Time
		requests []time.Time
		want     int
	}{
		{"five at once", commands(5, 0), nil, 0},
		{"six at once", commands(6, 0), nil, 6},
		{"six in a window", commands(6, time.Second), nil, 1},
		{"six in more than a window", commands(6, 3*time.Second), nil, 0},
		{"six at once, with requests", commands(6, 0), requests, 0},
	} {
		t.Run(tt.name, func(t *testing.T) { expectEqual(t, loadBudgetBreaches(tt.commands, tt.requests), tt.want) })
	}
}

// runAt has the watch see a request run at a worker of a kind.
func (p *poolWatch) runAt(kind string, request *recordedRequest) {
	worker := &fake.Worker{WorkerConfig: fake.WorkerConfig{Kind: kind}}
	p.event(fake.Event{At: request.sentAt, Worker: worker, Kind: fake.EventStarted, ID: "1"}, request)
}

func TestRunsOutsideThePoolAreCounted(t *testing.T) {
	settled := time.Second
	for _, tt := range []struct {
		name  string
		class string
		kind  string
		after time.Duration // since the reload to routesA
		want  int
	}{
		{"in the pool", fake.FaultCheck.Name, kindSmall, settled, 0},
		{"in the pool of the file before", fake.FaultCheck.Name, kindSpare, settled, 1},
		{"in the pool of the file before, just after a reload", fake.FaultCheck.Name, kindSpare, 0, 0},
		{"in no pool, just after a reload", fake.FaultCheck.Name, kindLarge, 0, 1},
		{"at a spare worker", fake.DimLevel.Name, kindSpare, settled, 0},
		{"an order at a spare worker", fake.RepairOrder.Name, kindSpare, settled, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPoolWatch()
			p.reloaded = start
			p.runAt(tt.kind, &recordedRequest{class: tt.class, sentAt: start.Add(tt.after)})
			expectEqual(t, p.outsidePool, tt.want)
		})
	}
}

func TestRequestsOverTheCapAreCounted(t *testing.T) {
	p := newPoolWatch()
	p.reloadBegins(1)
	p.reloaded = start
	request := &recordedRequest{class: fake.DimLevel.Name, sentAt: start.Add(time.Second)}
	for range routesBCap + 1 {
		p.runAt(kindLarge, request)
	}
	expectEqual(t, p.overCap, 1)
	p.reloadBegins(1) // while a reload is under way, the larger cap of both counts
	p.runAt(kindLarge, request)
	expectEqual(t, p.overCap, 1)
	expectEqual(t, p.maxInFlight, routesBCap+2)
}

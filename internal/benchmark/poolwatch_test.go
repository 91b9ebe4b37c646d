package benchmark

import (
	"testing"
	"time"

	"crankhold/internal/fake"
)

// runAt passes to p the event of a request that starts at a worker of a kind.
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
		{"in the pool of the previous file", fake.FaultCheck.Name, kindSpare, settled, 1},
		{"in the pool of the previous file, just after a reload", fake.FaultCheck.Name, kindSpare, 0, 0},
		{"in no pool, just after a reload", fake.FaultCheck.Name, kindLarge, 0, 1},
		{"at a spare worker", fake.DimLevel.Name, kindSpare, settled, 0},
		{"an order at a spare worker", fake.RepairOrder.Name, kindSpare, settled, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPoolWatch()
			p.reloadedAt = start
			p.runAt(tt.kind, &recordedRequest{class: tt.class, sentAt: start.Add(tt.after)})
			expectEqual(t, p.outsidePool, tt.want)
		})
	}
}

func TestRequestsOverTheCapAreCounted(t *testing.T) {
	p := newPoolWatch()
	p.reloadStarted(1)
	p.reloadedAt = start
	request := &recordedRequest{class: fake.DimLevel.Name, sentAt: start.Add(time.Second)}
	for range routesBCap + 1 {
		p.runAt(kindLarge, request)
	}
	expectEqual(t, p.overCap, 1)
	p.reloadStarted(1) // the larger of the two caps applies while a reload is in progress
	p.runAt(kindLarge, request)
	expectEqual(t, p.overCap, 1)
	expectEqual(t, p.maxInFlight, routesBCap+2)
}

package policy

import (
	"testing"
	"time"
)

// A group that isn't known is the same as no group, itself included: it is the zero value, which an entry without a
// zone or a cell has.
func TestUnknownGroupIsTheSameAsNone(t *testing.T) {
	var unknown Group
	for _, test := range []struct {
		a, b Group
		want bool
	}{
		{unknown, unknown, false},
		{unknown, KnownGroup(0), false},
		{KnownGroup(0), unknown, false},
		{KnownGroup(0), KnownGroup(0), true},
		{KnownGroup(0), KnownGroup(1), false},
	} {
		if got := test.a.Same(test.b); got != test.want {
			t.Errorf("%v and %v: same: %v, want %v", test.a, test.b, got, test.want)
		}
	}
}

// A request with a key that may have run is repeated in the group in which it ran, also when the entry of its worker
// has got another zone or cell meanwhile. A worker whose group isn't known gets no repeat, and none is waited for.
func TestKeyedRequestStaysInTheGroupWhereItRan(t *testing.T) {
	zoneOf := func(g Group) func(*Endpoint) { return func(e *Endpoint) { e.Zone = g } }
	cellOf := func(g Group) func(*Endpoint) { return func(e *Endpoint) { e.Cell = g } }
	for _, test := range []struct {
		name           string
		scope          DeduplicationScope
		label1, label2 func(*Endpoint)
		relabeled      func(*Endpoint) // of the first worker while the request is at it; nil: unchanged
		repeated       bool
	}{
		{"same zone", DeduplicatedInZone, zoneOf(KnownGroup(1)), zoneOf(KnownGroup(1)), nil, true},
		{"other zone", DeduplicatedInZone, zoneOf(KnownGroup(1)), zoneOf(KnownGroup(0)), nil, false},
		{"unknown zones", DeduplicatedInZone, zoneOf(Group{}), zoneOf(Group{}), nil, false},
		{"unknown and first zone", DeduplicatedInZone, zoneOf(Group{}), zoneOf(KnownGroup(0)), nil, false},
		{"same cell", DeduplicatedInCell, cellOf(KnownGroup(3)), cellOf(KnownGroup(3)), nil, true},
		{"unknown cells", DeduplicatedInCell, cellOf(Group{}), cellOf(Group{}), nil, false},
		{"relabeled to the second's zone", DeduplicatedInZone, zoneOf(KnownGroup(1)), zoneOf(KnownGroup(0)), zoneOf(KnownGroup(0)), false},
		{"everywhere", DeduplicatedEverywhere, zoneOf(Group{}), zoneOf(Group{}), nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := config()
			cfg.Classes[1].DeduplicationScope = test.scope
			h := newHarness(t, cfg, 0)
			worker1 := Endpoint{Worker: 1, State: Ready, Weight: 1}
			worker2 := Endpoint{Worker: 2, State: Ready, Weight: 1}
			test.label1(&worker1)
			test.label2(&worker2)
			h.handle(EndpointList{Kind: EndpointSnapshot, Workers: []Endpoint{worker1}})
			id, _ := h.arrive(1, 7)
			if test.relabeled != nil {
				test.relabeled(&worker1)
			}
			h.handle(EndpointList{Kind: EndpointSnapshot, Workers: []Endpoint{worker1, worker2}})
			worker1.State = Gone
			h.handle(EndpointList{Kind: EndpointDelta, Workers: []Endpoint{worker1}})
			actions := h.handle(AttemptCompleted{Request: id, Worker: 1, Outcome: ConnectionReset, Took: ms})
			start, repeated := first[StartAttempt](actions)
			if repeated != test.repeated || repeated && start.Worker != 2 {
				t.Errorf("actions %v, repeated at the second worker: want %v", actions, test.repeated)
			}
			if !repeated && !has[FailRequest](actions) {
				t.Errorf("actions %v: a request that can't be repeated is not failed at once", actions)
			}
		})
	}
}

// An attempt with a key at a worker that does not respond to its health check is canceled for a retry only where its
// group is known. Guards against a request that fails at once because its attempt was canceled for a retry that no
// worker may get, while its worker would still have responded.
func TestAttemptOfAnUnknownGroupIsNotCanceledForARetry(t *testing.T) {
	for _, zone := range []Group{{}, KnownGroup(0)} {
		cfg := config()
		cfg.Classes[1].DeduplicationWindow = 4 * time.Second
		h := newHarness(t, cfg, 0)
		list := EndpointList{Kind: EndpointSnapshot}
		for w := range WorkerID(4) {
			list.Workers = append(list.Workers, Endpoint{Worker: w + 1, State: Ready, Weight: 1, Zone: zone})
		}
		h.handle(list)
		id, actions := h.arrive(1, 7)
		start, ok := first[StartAttempt](actions)
		if !ok {
			t.Fatalf("actions %v", actions)
		}
		canceled := h.failHealthChecks(start.Worker, 60)
		if canceled != zone.IsKnown() {
			t.Errorf("zone %v: canceled: %v", zone, canceled)
		}
		if canceled {
			continue
		}
		actions = h.handle(AttemptCompleted{Request: id, Worker: start.Worker, Outcome: Served, RequestClosed: true, Took: time.Second})
		if has[FailRequest](actions) || has[Reject](actions) {
			t.Errorf("a late response is not used: %v", actions)
		}
	}
}

// failHealthChecks does some rounds of housekeeping, in which only the health checks of one worker fail. It reports
// whether an attempt was canceled, and stops then.
func (h *harness) failHealthChecks(w WorkerID, rounds int) (canceled bool) {
	for range rounds {
		h.now += housekeepingInterval
		for _, a := range h.handle(TimerFired{Token: housekeepingToken}) {
			check, ok := a.(CheckHealth)
			if !ok {
				continue
			}
			outcome := Served
			if check.Worker == w {
				outcome = TimedOut
			}
			if has[CancelAttempt](h.handle(HealthCheckCompleted{Worker: check.Worker, Outcome: outcome})) {
				return true
			}
		}
	}
	return false
}

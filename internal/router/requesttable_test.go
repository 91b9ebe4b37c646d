package router

import (
	"slices"
	"testing"

	"crankhold/policy"
)

// A request counts against the limits until its capacity is freed. It stays in the table until its attempts have
// completed.
func TestRequestTableKeepsRequestsUntilTheirAttemptsEnd(t *testing.T) {
	table := newRequestTable()
	limits := Limits{MaxConcurrentRequests: 1, MaxBytes: 10}
	if !table.hasCapacity(&limits, 10) || table.hasCapacity(&limits, 11) {
		t.Error("an empty table has capacity for 10 bytes and no more")
	}
	tracked := table.add(Request{ID: "a", Body: make([]byte, 4)})
	attempt := tracked.addAttempt(7, start)
	if table.hasCapacity(&limits, 0) || !table.isTracked("a") || table.getOpen(tracked.id) != tracked {
		t.Fatal("the request does not count as open")
	}

	tracked.completed = true
	table.freeCapacity(tracked)
	if !table.hasCapacity(&limits, 10) || table.getOpen(tracked.id) != nil {
		t.Error("a completed request still counts as open")
	}
	if table.removeIfCompleted(tracked) || !table.isTracked("a") {
		t.Error("a request left the table while its attempt was in flight")
	}

	_, inFlight := table.attemptInFlight(attempt)
	tracked.completeAttempt(inFlight, AttemptResult{Outcome: policy.Failed})
	if !tracked.mayHaveRun || !table.removeIfCompleted(tracked) || table.isTracked("a") {
		t.Error("a request whose attempts have completed stays in the table")
	}
	if table.removeIfCompleted(tracked) {
		t.Error("a request left the table twice")
	}
}

// An attempt in flight is found by its request's identifier and its number.
func TestRequestTableFindsAttemptsInFlight(t *testing.T) {
	table := newRequestTable()
	first, second := table.add(Request{ID: "a"}), table.add(Request{ID: "b"})
	attempt := first.addAttempt(7, start)
	if tracked, found := table.attemptInFlight(attempt); tracked != first || found.worker != 7 {
		t.Errorf("found %+v of %+v", found, tracked)
	}
	for _, absent := range []Attempt{{Request: first.id, Number: 1}, {Request: second.id}, {Request: 99}} {
		if _, found := table.attemptInFlight(absent); found != nil {
			t.Errorf("found attempt %+v, which was never added", absent)
		}
	}
	if ids := table.ids(); !slices.Equal(ids, []policy.RequestID{1, 2}) {
		t.Errorf("identifiers %v, want 1 and 2", ids)
	}
}

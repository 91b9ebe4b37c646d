package benchmark

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// start is the time from which the times in these tests count.
var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func expectEqual(t *testing.T, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// add records a request that was sent the given time after start.
func (r *record) add(after time.Duration, request recordedRequest) *recordedRequest {
	request.sentAt = start.Add(after)
	r.requests = append(r.requests, &request)
	r.byID[fmt.Sprint(len(r.requests))] = &request
	return &request
}

func TestViolationsAreCounted(t *testing.T) {
	r := newRecord(nil)
	r.add(0, recordedRequest{class: fake.DimLevel.Name, status: fake.Served, runs: 2})
	r.add(1, recordedRequest{class: fake.DimLevel.Name, status: fake.Rejected, late: true})
	r.add(2, recordedRequest{class: fake.DimLevel.Name})
	r.add(3, recordedRequest{class: fake.RepairOrder.Name, status: statusLost, late: true})
	r.add(4, recordedRequest{class: fake.RepairOrder.Name, status: fake.Failed, runs: 2})
	expectEqual(t, r.violations(fake.RepairOrder.Name), violations{lost: 2, late: 1, notIdempotent: 2, ranTwice: 1})
	expectEqual(t, r.tally(fake.DimLevel.Name, start, start.Add(2)), tally{sent: 2, served: 1, rejected: 1})
	expectEqual(t, r.tally("", start, start.Add(time.Second)), tally{sent: 5, served: 1, rejected: 1, failed: 1})
}

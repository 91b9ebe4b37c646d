package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The table must find exactly the entries in the maps of the workers, whatever is added, looked up and
// removed.
func TestReplicaTableMatchesTheEntriesOfTheWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table replicaTable
		var fleet []*worker
		for range 3 {
			fleet = append(fleet, &worker{replicas: map[FunctionID]*replica{}})
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			w := fleet[rapid.IntRange(0, 2).Draw(t, "worker")]
			f := FunctionID(rapid.IntRange(0, 3).Draw(t, "function"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				table.get(w, f)
			case 1:
				table.remove(f, w)
			case 2:
				table.removeWorker(w)
			}
			for _, other := range fleet {
				if got := table.lookUp(other, f); got != other.replicas[f] {
					t.Fatalf("function %d: found %p, the worker has %p", f, got, other.replicas[f])
				}
			}
		}
	})
}

func TestWorkersLeaveTheTableWhenNothingIsInFlight(t *testing.T) {
	table := workerTable{byID: map[WorkerID]*worker{}}
	busy, loading, idle, ready := table.add(1), table.add(2), table.add(3), table.add(4)
	busy.inFlight = []*attempt{{}}
	loading.pendingLoads = 1
	ready.setEndpoint(Endpoint{Worker: 4, State: Ready, Weight: 3})
	idle.Worker = 3
	table.markUnlistedGone(map[WorkerID]bool{4: true})
	table.recount()
	if table.ready != 1 || table.meanSize != 0.75 {
		t.Errorf("%d ready workers of mean size %v", table.ready, table.meanSize)
	}
	var removed []*worker
	table.removeGone(func(w *worker) { removed = append(removed, w) })
	if len(removed) != 1 || removed[0] != idle || len(table.fleet) != 3 || table.get(3) != nil {
		t.Errorf("removed %d workers, %d are left", len(removed), len(table.fleet))
	}
}

func TestRequestsLeaveTheTableWhenCompleteAndNothingIsInFlight(t *testing.T) {
	table := requestTable{byID: map[RequestID]*request{}}
	r := &request{RequestArrived: RequestArrived{Request: 5}, attempts: []*attempt{{completed: true}, {}}, inFlight: 1, function: &function{openRequests: 1}}
	table.add(r)
	if table.findAttempt(5, 0) != nil || table.findAttempt(5, 1) != r.attempts[1] || table.findAttempt(5, 2) != nil {
		t.Error("a completed attempt is found, or one in flight is not")
	}
	r.complete = true
	if table.removeIfComplete(r); table.get(5) == nil || r.function.openRequests != 1 {
		t.Error("a request is removed while an attempt is in flight")
	}
	r.inFlight = 0
	table.removeIfComplete(r)
	if table.removeIfComplete(r); table.get(5) != nil || r.function.openRequests != 0 {
		t.Error("a completed request without attempts in flight is not removed, or is removed twice")
	}
	table.deferUntilHousekeeping(r)
	if got := table.takeDeferred(); len(got) != 1 || len(table.takeDeferred()) != 0 {
		t.Errorf("%d requests were deferred", len(got))
	}
}

func TestFunctionsDecayAndAreForgotten(t *testing.T) {
	table := newFunctionTable(&replicaTable{})
	class := &classState{Class: Class{LatencyObjective: 400 * ms}}
	now := time.Hour
	f := table.recordRequest(now, RequestArrived{Function: 7}, class)
	if f.loadTime != class.LatencyObjective {
		t.Errorf("an unknown load time counts as %v", f.loadTime)
	}
	f.recentRequests = 1
	if table.recordRequest(now+rateSpan, RequestArrived{Function: 7}, class); f.recentRequests > 0.37 || f.recentRequests < 0.36 {
		t.Errorf("after rateSpan the count of one request is %v", f.recentRequests)
	}
	table.forgetUnused(now + rateSpan + functionRetention)
	if table.get(7) == nil {
		t.Error("a function is removed too early")
	}
	if table.forgetUnused(now + rateSpan + functionRetention + 1); table.get(7) != nil {
		t.Error("an unused function is not removed")
	}
}

package router

import (
	"fmt"
	"testing"
	"time"

	"crankhold/policy"
)

// If the module has not completed a request by its deadline, the core does. It rejects the request if nothing was sent,
// and fails it otherwise.
func TestDeadlineCompletesRequestsThatTheModuleLeftOpen(t *testing.T) {
	for _, test := range []struct {
		name         string
		endpoints    policy.EndpointList
		wantAttempts int
		wantStatus   ResponseStatus
	}{
		{"never sent", policy.EndpointList{}, 0, Rejected},
		{"sent", readyWorkers(1), 1, Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, workers := newTestCore(t, 1)
			if len(test.endpoints.Workers) > 0 {
				core.SetEndpoints(test.endpoints)
			}
			responder := &recordingResponder{}
			id := core.Accept(start, Request{Responder: responder, Class: 1, Function: Function{ID: 7}, Deadline: start + 3*time.Second})
			core.Process(start)
			if len(workers.started[id]) != test.wantAttempts {
				t.Fatalf("%d attempts, want %d", len(workers.started[id]), test.wantAttempts)
			}

			deadline := core.requests.table.requests[id].deadline
			if deadline.Value.kind != requestDeadline || deadline.Due() != start+3*time.Second {
				t.Fatalf("deadline timer %+v", deadline)
			}
			fireBeforePolicyTimers(t, core, deadline)
			core.Process(core.timers.now)
			wantResponses(t, responder, 1)
			response := responder.responses[0]
			if response.Status != test.wantStatus || !response.DeadlineExceeded {
				t.Errorf("response %+v, want status %v", response, test.wantStatus)
			}
			if core.Counters.DeadlineExceeded != 1 || len(workers.inFlight) != 0 {
				t.Errorf("%d deadlines exceeded, %d attempts in flight", core.Counters.DeadlineExceeded, len(workers.inFlight))
			}
		})
	}
}

// fireBeforePolicyTimers fires a timer of the core before the timers of the module that are due earlier.
func fireBeforePolicyTimers(t *testing.T, core *Core, entry *timerEntry) {
	t.Helper()
	before := core.timers.heap.Len()
	core.timers.remove(entry)
	if core.timers.heap.Len() != before-1 {
		t.Fatal("the timer is not set")
	}
	core.timers.now = entry.Due()
	core.fire(entry)
}

// When a request completes, all its timers in the core and in the module are removed, even if its deadline is far away.
// Otherwise requests with long deadlines would use memory long after they have completed.
func TestCompletedRequestsLeaveNoTimers(t *testing.T) {
	core, workers := newTestCore(t, 1)
	core.SetEndpoints(readyWorkers(1))
	now := start
	core.Process(now)
	timersAtStart := core.timers.heap.Len()
	for i := range 500 {
		id := core.Accept(now, Request{Responder: &recordingResponder{}, ID: fmt.Sprint(i), Function: Function{ID: 7}, Deadline: now + 10*time.Minute})
		core.Process(now)
		if i%2 == 0 {
			core.AttemptCompleted(workers.started[id][0], AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded})
		} else {
			core.CancelRequest(now, id)
		}
		core.Process(now)
		for attempt := range workers.inFlight {
			core.AttemptCompleted(attempt, AttemptResult{Outcome: policy.Canceled})
			delete(workers.inFlight, attempt)
		}
		for commandID := range workers.healthChecks {
			core.HealthCheckCompleted(commandID, policy.Served, nil)
			delete(workers.healthChecks, commandID)
		}
		now += ms
		core.Process(now)
	}
	if core.timers.heap.Len() > timersAtStart+2 || len(core.timers.policyTimers) > timersAtStart+2 || len(core.requests.table.requests) > 0 {
		t.Errorf("%d timers, %d of them the module's, and %d requests remain; there were %d timers at the start",
			core.timers.heap.Len(), len(core.timers.policyTimers), len(core.requests.table.requests), timersAtStart)
	}
}

// If the module sets two timers with the same token, clearing the token removes only the last one. The first one fires.
func TestTimerQueueClearsTheLastTimerUnderAToken(t *testing.T) {
	queue := newTimerQueue()
	queue.setNow(start)
	queue.setNow(start - time.Second)
	if queue.now != start {
		t.Fatalf("the clock went back to %v", queue.now)
	}
	queue.setPolicyTimer(policy.SetTimer{Token: 1, After: -ms})
	queue.setPolicyTimer(policy.SetTimer{Token: 1, After: ms})
	queue.clearPolicyTimer(policy.ClearTimer{Token: 1})
	if due, ok := queue.next(); !ok || due != start {
		t.Errorf("the next timer is due at %v (%v), want %v", due, ok, start)
	}
	fired, ok := queue.popDue()
	if !ok || fired.Value.token != 1 {
		t.Fatalf("the first timer did not fire: %+v, %v", fired, ok)
	}
	if _, ok := queue.popDue(); ok || len(queue.policyTimers) != 0 {
		t.Error("a cleared timer is still set")
	}
}

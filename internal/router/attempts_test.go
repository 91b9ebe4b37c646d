package router

import (
	"fmt"
	"testing"
	"time"

	"crankhold/policy"
)

// An attempt that waits for a dial is withdrawn when its request is canceled or reaches its deadline, also if the
// settings do not let the module cancel attempts. Nothing is sent for it later.
func TestUnsentAttemptsAreWithdrawnWhenTheirRequestEnds(t *testing.T) {
	for _, test := range []struct {
		name            string
		cancelSupported bool
		complete        func(core *Core, id policy.RequestID) (now time.Duration)
		wantResponses   int
	}{
		{"canceled, cancel supported", true, cancelAfter10ms, 0},
		{"deadline exceeded, cancel supported", true, letDeadlinePass, 1},
		{"canceled, cancel not supported", false, cancelAfter10ms, 0},
		{"deadline exceeded, cancel not supported", false, letDeadlinePass, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := testPolicyConfig()
			config.CancelSupported = test.cancelSupported
			core, workers := newTestCoreWith(t, config, 1)
			core.SetEndpoints(readyWorkers(1))
			core.Process(start)
			workers.dialing = true
			responder := &recordingResponder{}
			id := core.Accept(start, Request{Responder: responder, ID: "a", Function: Function{Key: "00000000000000aa", ID: 0xaa},
				Deadline: start + 2*time.Second})
			core.Process(start)
			if len(workers.unsent) != 1 {
				t.Fatalf("%d attempts wait for a dial, want 1", len(workers.unsent))
			}

			now := test.complete(core, id)
			core.Process(now)
			if len(workers.unsent) != 0 || len(workers.inFlight) != 0 {
				t.Errorf("%d attempts wait for a dial and %d are in flight, want none", len(workers.unsent), len(workers.inFlight))
			}
			if core.OpenRequests() != 0 || len(core.requests.table.requests) != 0 || len(core.requests.table.clientIDs) != 0 {
				t.Errorf("%d requests open, %d tracked, %d IDs reserved, want none",
					core.OpenRequests(), len(core.requests.table.requests), len(core.requests.table.clientIDs))
			}
			wantResponses(t, responder, test.wantResponses)
			for _, response := range responder.responses {
				if response.Status != Rejected || response.MayHaveRun {
					t.Errorf("response %+v to a request that was never sent", response)
				}
			}
			for later := now; later < now+5*time.Second; later += 50 * ms {
				core.Process(later)
				if len(workers.started[id]) != 1 {
					t.Fatalf("%d attempts started, want 1", len(workers.started[id]))
				}
			}
		})
	}
}

// cancelAfter10ms cancels a request and returns the time.
func cancelAfter10ms(core *Core, id policy.RequestID) time.Duration {
	now := start + 10*ms
	core.CancelRequest(now, id)
	return now
}

// letDeadlinePass returns a time after the request's deadline.
func letDeadlinePass(*Core, policy.RequestID) time.Duration { return start + 3*time.Second }

// The load budget grows with the requests that are not canceled. Requests that are canceled while their attempts wait
// for a dial do not enlarge it.
func TestCanceledUnsentRequestsDoNotEnlargeTheLoadBudget(t *testing.T) {
	for _, canceledPerRequest := range []int{0, 3} {
		t.Run(fmt.Sprintf("%d canceled for each that is not", canceledPerRequest), func(t *testing.T) {
			core, workers := newTestCore(t, 1)
			core.SetEndpoints(readyWorkers(1, 2))
			now := start
			core.Process(now)
			sent := uint64(0)
			send := func() policy.RequestID {
				sent++
				id := core.Accept(now, Request{Responder: &recordingResponder{}, ID: hexID(sent), Function: Function{Key: hexID(sent), ID: policy.FunctionID(sent)},
					Deadline: now + 2*time.Second})
				core.Process(now)
				return id
			}
			for range 200 {
				workers.dialing = true
				for range canceledPerRequest {
					core.CancelRequest(now, send())
					core.Process(now)
				}
				workers.dialing = false
				respondNotLoadedThenServed(core, workers, now, send())
				now += 5 * ms
			}
			const wantLoads = 64 // LoadBudgetMinimum is 4, and LoadBudgetRatio allows 0.3 for each of 200 requests
			if core.Counters.LoadsSent != wantLoads {
				t.Errorf("%d load commands sent, want %d", core.Counters.LoadsSent, wantLoads)
			}
		})
	}
}

// respondNotLoadedThenServed completes the first attempt of a request as not loaded, and the following ones as served.
// All load commands succeed.
func respondNotLoadedThenServed(core *Core, workers *fakeWorkerClient, now time.Duration, id policy.RequestID) {
	for number := 0; number < len(workers.started[id]); number++ {
		attempt := workers.started[id][number]
		outcome := policy.Served
		if number == 0 {
			outcome = policy.NotLoaded
		}
		delete(workers.inFlight, attempt)
		core.AttemptCompleted(attempt, AttemptResult{Outcome: outcome})
		core.Process(now)
		for commandID := range workers.loads {
			delete(workers.loads, commandID)
			core.LoadCompleted(commandID, policy.Served, 1)
		}
		core.Process(now)
	}
}

// A request that is not idempotent fails after an attempt that may have run, and is not sent again.
func TestNonIdempotentRequestThatMayHaveRunFails(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome policy.Outcome
	}{
		{"connection reset", policy.ConnectionReset},
		{"failed", policy.Failed},
		{"timed out", policy.TimedOut},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, workers := newTestCore(t, 1)
			core.SetEndpoints(readyWorkers(1, 2))
			responder := &recordingResponder{}
			id := core.Accept(start, Request{Responder: responder, Class: 1, Function: Function{ID: 7}, Deadline: start + 3*time.Second})
			core.Process(start)
			if len(workers.started[id]) != 1 {
				t.Fatal("the request was not sent")
			}
			core.AttemptCompleted(workers.started[id][0], AttemptResult{Outcome: test.outcome})
			core.Process(start + ms)
			wantResponses(t, responder, 1)
			if len(workers.started[id]) != 1 || responder.responses[0].Status != Failed {
				t.Errorf("%d attempts, responses %+v", len(workers.started[id]), responder.responses)
			}
		})
	}
}

// A worker's response that arrives in the same turn as the client's cancellation, but after it, is dropped.
func TestResponseAfterCancellationIsDropped(t *testing.T) {
	core, workers := newTestCore(t, 1)
	core.SetEndpoints(readyWorkers(1))
	responder := &recordingResponder{}
	id := core.Accept(start, Request{Responder: responder, Class: 0, Function: Function{ID: 7}, Deadline: start + 2*time.Second})
	core.Process(start)
	core.CancelRequest(start+ms, id)
	core.AttemptCompleted(workers.started[id][0], AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded})
	core.Process(start + ms)
	wantResponses(t, responder, 0)
	if core.Counters.Canceled[Thrift] != 1 || core.Counters.Served[Thrift] != 0 {
		t.Errorf("counters %+v", core.Counters)
	}
	if len(core.requests.table.requests) != 0 {
		t.Errorf("%d requests tracked, want none", len(core.requests.table.requests))
	}
}

// sendTestRequest passes a request of class 0 to a core, which starts its first attempt.
func sendTestRequest(t *testing.T, core *Core, workers *fakeWorkerClient) (policy.RequestID, *recordingResponder) {
	t.Helper()
	core.SetEndpoints(readyWorkers(1, 2))
	responder := &recordingResponder{}
	id := core.Accept(start, Request{Responder: responder, ID: "a", Function: Function{ID: 7}, Deadline: start + 2*time.Second})
	core.Process(start)
	if len(workers.started[id]) != 1 {
		t.Fatalf("%d attempts, want 1", len(workers.started[id]))
	}
	return id, responder
}

// An attempt that the module starts too late, or after the last attempt that is allowed, completes as not sent.
func TestAttemptsThatMayNotStartAreNotSent(t *testing.T) {
	for _, test := range []struct {
		name         string
		prepare      func(core *Core, id policy.RequestID)
		wantAttempts int
	}{
		{"request canceled", func(core *Core, id policy.RequestID) { core.CancelRequest(start, id) }, 1},
		{"deadline reached", func(core *Core, _ policy.RequestID) { core.SetNow(start + 2*time.Second) }, 1},
		{"attempts used up", func(core *Core, id policy.RequestID) {
			core.execute(policy.StartAttempt{Request: id, Worker: 2})
			core.execute(policy.StartAttempt{Request: id, Worker: 2})
		}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, workers := newTestCore(t, 1)
			id, _ := sendTestRequest(t, core, workers)
			test.prepare(core, id)
			core.execute(policy.StartAttempt{Request: id, Worker: 2})
			if len(workers.started[id]) != test.wantAttempts || core.Counters.AttemptsStarted != uint64(test.wantAttempts) {
				t.Errorf("%d attempts, %d counted, want %d", len(workers.started[id]), core.Counters.AttemptsStarted, test.wantAttempts)
			}
			if core.Counters.AttemptsByOutcome[policy.NotSent] != 1 {
				t.Errorf("%d attempts not sent, want 1", core.Counters.AttemptsByOutcome[policy.NotSent])
			}
		})
	}
}

// An attempt with a time limit of its own times out at that limit, unless the request's deadline is earlier.
func TestAttemptTimesOutByItsOwnLimit(t *testing.T) {
	for _, test := range []struct {
		name         string
		limit        time.Duration
		wantTimedOut uint64
	}{
		{"limit before the deadline", 100 * ms, 1},
		{"limit after the deadline", time.Minute, 0},
		{"no limit", 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, workers := newTestCore(t, 1)
			id, _ := sendTestRequest(t, core, workers)
			core.execute(policy.StartAttempt{Request: id, Worker: 2, Timeout: test.limit})
			core.SetNow(start + 100*ms)
			core.fireDueTimers()
			if timedOut := core.Counters.AttemptsByOutcome[policy.TimedOut]; timedOut != test.wantTimedOut {
				t.Errorf("%d attempts timed out, want %d", timedOut, test.wantTimedOut)
			}
			if inFlight := uint64(len(workers.inFlight)); inFlight != 2-test.wantTimedOut {
				t.Errorf("%d attempts in flight", inFlight)
			}
		})
	}
}

// The timer of an attempt is removed when the attempt completes.
func TestCompletedAttemptLeavesNoTimer(t *testing.T) {
	core, workers := newTestCore(t, 1)
	id, _ := sendTestRequest(t, core, workers)
	timers := core.timers.heap.Len()
	core.execute(policy.StartAttempt{Request: id, Worker: 2, Timeout: 100 * ms})
	if core.timers.heap.Len() != timers+1 {
		t.Fatalf("%d timers, want %d", core.timers.heap.Len(), timers+1)
	}
	core.AttemptCompleted(workers.started[id][1], AttemptResult{Outcome: policy.Failed})
	if core.timers.heap.Len() != timers {
		t.Errorf("%d timers remain, want %d", core.timers.heap.Len(), timers)
	}
}

// A second result of an attempt has no effect.
func TestSecondCompletionOfAnAttemptIsIgnored(t *testing.T) {
	core, workers := newTestCore(t, 1)
	id, responder := sendTestRequest(t, core, workers)
	core.execute(policy.StartAttempt{Request: id, Worker: 2})
	for _, outcome := range []policy.Outcome{policy.Failed, policy.Failed, policy.Served} {
		core.AttemptCompleted(workers.started[id][0], AttemptResult{Outcome: outcome})
	}
	wantResponses(t, responder, 0)
	counted := core.Counters.AttemptsByOutcome
	if counted[policy.Failed] != 1 || counted[policy.Served] != 0 || core.requests.table.requests[id].inFlight != 1 {
		t.Errorf("outcomes %v, %d attempts in flight, want one failed and one in flight", counted, core.requests.table.requests[id].inFlight)
	}
}

// When a request gets its final response, its attempts that wait for a dial are withdrawn.
func TestResponseWithdrawsUnsentAttempts(t *testing.T) {
	for _, test := range []struct {
		name       string
		respond    func(core *Core, sent Attempt)
		wantStatus ResponseStatus
	}{
		{"served", func(core *Core, sent Attempt) {
			core.AttemptCompleted(sent, AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded})
		}, Served},
		{"rejected", func(core *Core, sent Attempt) { core.execute(policy.Reject{Request: sent.Request}) }, Rejected},
		{"failed", func(core *Core, sent Attempt) { core.execute(policy.FailRequest{Request: sent.Request}) }, Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, workers := newTestCore(t, 1)
			id, responder := sendTestRequest(t, core, workers)
			workers.dialing = true
			core.execute(policy.StartAttempt{Request: id, Worker: 2})
			if len(workers.unsent) != 1 {
				t.Fatalf("%d attempts wait for a dial, want 1", len(workers.unsent))
			}
			test.respond(core, workers.started[id][0])
			wantResponses(t, responder, 1)
			response := responder.responses[0]
			if response.Status != test.wantStatus || !response.MayHaveRun {
				t.Errorf("response %+v, want %v that may have run, because an attempt was sent", response, test.wantStatus)
			}
			if len(workers.unsent) != 0 || core.Counters.AttemptsByOutcome[policy.Canceled] != 1 {
				t.Errorf("%d attempts wait for a dial, %d canceled", len(workers.unsent), core.Counters.AttemptsByOutcome[policy.Canceled])
			}
		})
	}
}

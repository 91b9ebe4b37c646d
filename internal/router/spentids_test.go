package router

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/policy"
)

const notIdempotentClass = 1

// Guards against a request that runs twice because its client left and its ID came again: an ID whose request may have
// run fails where its class must run once, for as long as it is remembered.
func TestIDOfARequestThatMayHaveRunDoesNotRunAgain(t *testing.T) {
	for _, test := range []struct {
		name      string
		class     int
		end       func(core *Core, workers *fakeWorkerClient, id policy.RequestID)
		after     time.Duration // until the ID comes again
		runsAgain bool
	}{
		{"its client left", notIdempotentClass, cancelRequest, ms, false},
		{"its client left long ago", notIdempotentClass, cancelRequest, spentIDRetention + time.Second, true},
		{"its client left before it was sent", notIdempotentClass, cancelUnsent, ms, true},
		{"its client left, and it may run any number of times", 0, cancelRequest, ms, true},
		{"it was served", notIdempotentClass, completeWith(policy.Served), ms, false},
		{"its attempt failed", notIdempotentClass, completeWith(policy.Failed), ms, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, workers := newTestCore(t, 1)
			core.requests.runOnce = []bool{false, true}
			core.SetEndpoints(readyWorkers(1))
			send := func(now time.Duration) (policy.RequestID, *recordingResponder) {
				responder := &recordingResponder{}
				request := Request{Responder: responder, ID: "00000000000000aa", Class: test.class, Function: Function{ID: 7}, Deadline: now + 2*time.Second}
				id := core.Accept(now, request)
				core.Process(now)
				return id, responder
			}
			first, _ := send(start)
			if len(workers.started[first]) != 1 {
				t.Fatal("the request was not sent")
			}
			test.end(core, workers, first)
			core.Process(start)
			second, responder := send(start + test.after)
			if runsAgain := len(workers.started[second]) == 1; runsAgain != test.runsAgain {
				t.Fatalf("sent again: %v", runsAgain)
			}
			if !test.runsAgain && (len(responder.responses) != 1 || responder.responses[0].Status != Failed) {
				t.Errorf("responses %+v, want one failure", responder.responses)
			}
		})
	}
}

// cancelRequest cancels a request whose attempt has been sent.
func cancelRequest(core *Core, _ *fakeWorkerClient, id policy.RequestID) {
	core.CancelRequest(start, id)
}

// cancelUnsent cancels a request whose attempt still waits for a connection.
func cancelUnsent(core *Core, workers *fakeWorkerClient, id policy.RequestID) {
	workers.unsent[workers.started[id][0]] = true
	core.CancelRequest(start, id)
}

// completeWith returns a function that completes the first attempt of a request.
func completeWith(outcome policy.Outcome) func(*Core, *fakeWorkerClient, policy.RequestID) {
	return func(core *Core, workers *fakeWorkerClient, id policy.RequestID) {
		core.AttemptCompleted(workers.started[id][0], AttemptResult{Outcome: outcome})
	}
}

// Guards against memory that grows with the IDs that clients choose.
func TestSpentIDsStayWithinTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		s := newSpentIDs(limit)
		now := time.Duration(0)
		var added []string
		for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * ms
			id := fmt.Sprint(step)
			s.add(now, id)
			added = append(added, id)
			if len(s.hashes) > limit || len(s.order)-s.first != len(s.hashes) || len(s.order) > 2*limit+1 {
				t.Fatalf("%d IDs in a set of %d and an order of %d, want at most %d", len(s.hashes), len(s.order)-s.first, len(s.order), limit)
			}
			if !s.has(now, added[len(added)-1]) {
				t.Fatal("the newest ID is not remembered")
			}
		}
	})
}

package router

import (
	"time"

	"crankhold/policy"
)

// requestTracker carries each request from its arrival to its completion, through its attempts. It gives each request
// one final response at most, and calls onCompleted once for each. It belongs to the core's goroutine.
type requestTracker struct {
	limits      Limits
	tenants     map[string]int // index in the module's configuration, by name
	onCompleted func(now time.Duration, r *Request, completion Completion)
	workers     WorkerClient
	routing     *routing
	timers      *timerQueue
	events      *eventQueue
	counters    *Counters

	table     requestTable
	rejectNew bool // the program is about to exit
}

// tenantIndexes returns the index of each tenant by name.
func tenantIndexes(names []string) map[string]int {
	indexes := make(map[string]int, len(names))
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}

// execute carries out an action of the decision module that concerns a request.
func (t *requestTracker) execute(action policy.Action) {
	switch a := action.(type) {
	case policy.StartAttempt:
		t.startAttempt(a)
	case policy.CancelAttempt:
		t.cancelAttempt(Attempt{Request: a.Request, Number: a.Attempt}, policy.Canceled)
	case policy.Reject:
		t.respondUnserved(a.Request, Response{Status: Rejected, RetryAfter: a.RetryAfter})
	case policy.FailRequest:
		t.respondUnserved(a.Request, Response{Status: Failed})
	}
}

// cancel ends a request whose client no longer waits for it, without a response.
func (t *requestTracker) cancel(id policy.RequestID) {
	tracked := t.table.getOpen(id)
	if tracked == nil {
		return
	}
	t.counters.Canceled[tracked.request.Front]++
	t.complete(tracked, CompletionCanceled)
	if t.events.withdraw(tracked.arrival) {
		// The module has not seen the request and never will. Nothing was asked of it, so nothing may grow by a client
		// that sends requests and cancels them, the load budget least of all.
		return
	}
	t.events.add(policy.RequestCanceled{Request: id})
	t.withdrawUnsentAttempts(tracked)
}

// complete ends a request that has its response, or that was canceled.
func (t *requestTracker) complete(tracked *trackedRequest, completion Completion) {
	tracked.completed = true
	t.notifyCompleted(&tracked.request, completion)
	t.table.freeCapacity(tracked)
	t.removeIfCompleted(tracked)
}

// notifyCompleted calls Config.OnCompleted, where one is set.
func (t *requestTracker) notifyCompleted(r *Request, completion Completion) {
	if t.onCompleted != nil {
		t.onCompleted(t.timers.now, r, completion)
	}
}

// removeIfCompleted removes a request from the table once it has completed and none of its attempts is in flight.
func (t *requestTracker) removeIfCompleted(tracked *trackedRequest) {
	if t.table.removeIfCompleted(tracked) {
		t.timers.remove(tracked.deadline)
	}
}

package router

import (
	"time"

	"crankhold/policy"
)

// requestTracker takes each request from its arrival through its attempts to its completion. It responds to each
// request at most once, and calls onCompleted once for each request. It belongs to the core's goroutine.
type requestTracker struct {
	limits      Limits
	tenants     map[string]int // index in policy.Config.Tenants, by name
	onCompleted func(now time.Duration, r *Request, completion Completion)
	workers     WorkerClient
	routing     *routing
	timers      *timerQueue
	events      *eventQueue
	counters    *Counters

	table     requestTable
	runOnce   []bool // by class: a request that may have run must not run again under its ID
	spent     spentIDs
	rejectNew bool // reject all further requests, because the process is about to exit
}

// tenantIndexes returns the index of each name in names.
func tenantIndexes(names []string) map[string]int {
	indexes := make(map[string]int, len(names))
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}

// execute executes an action of the decision module that belongs to a request.
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

// cancel completes a request without a response, because its client no longer waits for it.
func (t *requestTracker) cancel(id policy.RequestID) {
	tracked := t.table.getOpen(id)
	if tracked == nil {
		return
	}
	t.counters.Canceled[tracked.request.Front]++
	t.complete(tracked, CompletionCanceled)
	if t.events.withdraw(tracked.arrival) {
		// The module never sees the request. Otherwise a client that sends requests and cancels them at once
		// would enlarge the module's counts, above all the load budget.
		return
	}
	t.events.add(policy.RequestCanceled{Request: id})
	t.withdrawUnsentAttempts(tracked)
}

// complete marks a request as completed, after its response was given or its client canceled it.
func (t *requestTracker) complete(tracked *trackedRequest, completion Completion) {
	tracked.completed = true
	t.notifyCompleted(&tracked.request, completion)
	t.table.freeCapacity(tracked)
	t.releaseIfCompleted(tracked)
}

// notifyCompleted calls Config.OnCompleted, if it is set.
func (t *requestTracker) notifyCompleted(r *Request, completion Completion) {
	if t.onCompleted != nil {
		t.onCompleted(t.timers.now, r, completion)
	}
}

// releaseIfCompleted removes a request and its deadline timer if the request has completed and none of its attempts is
// in flight.
func (t *requestTracker) releaseIfCompleted(tracked *trackedRequest) {
	if !t.table.removeIfCompleted(tracked) {
		return
	}
	t.timers.remove(tracked.deadline)
	if tracked.reachedWorker && t.mustRunOnce(tracked.request.Class) {
		t.spent.add(t.timers.now, tracked.request.ID)
	}
}

// mustRunOnce reports whether a request of a class that may have run must not run again under its ID.
func (t *requestTracker) mustRunOnce(class int) bool {
	return class >= 0 && class < len(t.runOnce) && t.runOnce[class]
}

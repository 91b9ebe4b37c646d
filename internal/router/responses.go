package router

import (
	"time"

	"crankhold/policy"
)

// deadlineTolerance is how long before a request's deadline a response is already marked DeadlineExceeded. The module
// completes requests two of its ticks before their deadlines, which is 8 ms with this deployment's settings.
const deadlineTolerance = 10 * time.Millisecond

// respondServed completes a request with the response of its worker.
func (t *requestTracker) respondServed(tracked *trackedRequest, body []byte) {
	t.counters.Served[tracked.request.Front]++
	tracked.request.Responder.Respond(Response{Status: Served, Body: body, MayHaveRun: true})
	t.complete(tracked, CompletionServed)
}

// respondUnserved completes an open request with a response of status Rejected or Failed.
func (t *requestTracker) respondUnserved(id policy.RequestID, response Response) {
	tracked := t.table.getOpen(id)
	if tracked == nil {
		return
	}
	response.MayHaveRun = tracked.mayHaveRun || tracked.inFlight > 0
	response.DeadlineExceeded = t.timers.now >= tracked.request.Deadline-deadlineTolerance
	completion := t.counters.countUnserved(tracked.request.Front, response.Status)
	tracked.request.Responder.Respond(response)
	t.complete(tracked, completion)
	t.withdrawUnsentAttempts(tracked)
}

// completeOpenRequests completes each open request with the response that it would get at its deadline.
func (t *requestTracker) completeOpenRequests() {
	for _, id := range t.table.ids() {
		t.deadlineExceeded(id)
	}
}

// deadlineExceeded completes a request at its deadline. Usually the module completes each request before that. If it
// does not, the client still gets a response in time: Rejected if it is proven that no attempt ever ran, else Failed.
func (t *requestTracker) deadlineExceeded(id policy.RequestID) {
	tracked := t.table.get(id)
	if tracked == nil {
		return
	}
	for number := range tracked.attempts {
		t.cancelAttempt(Attempt{Request: id, Number: number}, policy.TimedOut)
	}
	if tracked.completed {
		return
	}
	t.counters.DeadlineExceeded++
	status := Failed
	if !tracked.mayHaveRun {
		status = Rejected
	}
	t.respondUnserved(id, Response{Status: status})
	t.events.add(policy.RequestCanceled{Request: id})
}

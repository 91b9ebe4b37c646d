package router

import (
	"time"

	"crankhold/policy"
)

// deadlineTolerance is how close to its deadline a request without a response counts as out of time. The module ends
// requests two of its ticks before, 8 ms with this deployment's settings.
const deadlineTolerance = 10 * time.Millisecond

// respondServed gives a request the response of its worker.
func (t *requestTracker) respondServed(tracked *trackedRequest, body []byte) {
	t.counters.Served[tracked.request.Front]++
	tracked.request.Responder.Respond(Response{Status: Served, Body: body, MayHaveRun: true})
	t.complete(tracked, CompletionServed)
}

// respondUnserved gives an open request a response that is not a worker's: it is rejected, or has failed.
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

// completeOpenRequests gives each open request its final response, as its deadline would.
func (t *requestTracker) completeOpenRequests() {
	for _, id := range t.table.sortedIDs() {
		t.deadlineExceeded(id)
	}
}

// deadlineExceeded ends a request whose time is over. The module ends each request before that; should it not, the
// client still gets its response in time, as failed unless it is proven that no attempt ever ran.
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

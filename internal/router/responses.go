package router

import (
	"maps"
	"slices"
	"time"

	"crankhold/policy"
)

// deadlineTolerance is how close to its deadline a request without a response counts as out of time. The module ends
// requests two of its ticks before, 8 ms with this deployment's settings.
const deadlineTolerance = 10 * time.Millisecond

// respondServed gives a request the response of its worker.
func (c *Core) respondServed(tracked *trackedRequest, body []byte) {
	c.Counters.Served[tracked.request.Front]++
	tracked.request.Responder.Respond(Response{Status: Served, Body: body, MayHaveRun: true})
	c.complete(tracked, CompletionServed)
}

// respondUnserved gives an open request a response that is not a worker's: it is rejected, or has failed.
func (c *Core) respondUnserved(id policy.RequestID, response Response) {
	tracked := c.openRequest(id)
	if tracked == nil {
		return
	}
	response.MayHaveRun = tracked.mayHaveRun || tracked.inFlight > 0
	response.DeadlineExceeded = c.timers.now >= tracked.request.Deadline-deadlineTolerance
	completion := c.countUnserved(tracked.request.Front, response.Status)
	tracked.request.Responder.Respond(response)
	c.complete(tracked, completion)
	c.withdrawUnsentAttempts(tracked)
}

// EndOpenRequests gives each open request its final response now, as its deadline would. It is for a program that is
// about to end.
func (c *Core) EndOpenRequests() {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		c.deadlineExceeded(id)
	}
}

// deadlineExceeded ends a request whose time is over. The module ends each request before that; should it not, the
// client still gets its response in time, as failed unless it is proven that no attempt ever ran.
func (c *Core) deadlineExceeded(id policy.RequestID) {
	tracked := c.requests[id]
	if tracked == nil {
		return
	}
	for number := range tracked.attempts {
		c.cancelAttempt(Attempt{Request: id, Number: number}, policy.TimedOut)
	}
	if tracked.completed {
		return
	}
	c.Counters.DeadlineExceeded++
	status := Failed
	if !tracked.mayHaveRun {
		status = Rejected
	}
	c.respondUnserved(id, Response{Status: status})
	c.events.add(policy.RequestCanceled{Request: id})
}

// countUnserved counts a response that is not a worker's, and returns the completion that it stands for.
func (c *Core) countUnserved(front Front, status ResponseStatus) Completion {
	if status == Rejected {
		c.Counters.Rejected[front]++
		return CompletionRejected
	}
	c.Counters.Failed[front]++
	return CompletionFailed
}

// respondUntracked responds to a request that never enters the table and that the module does not see.
func (c *Core) respondUntracked(r Request, completion Completion, response Response) {
	r.AcceptedAt = c.timers.now
	c.notifyCompleted(&r, completion)
	r.Responder.Respond(response)
}

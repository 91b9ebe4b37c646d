package router

import "crankhold/policy"

// accept adds a request to the table and returns its identifier, or responds to the request at once and returns 0.
func (t *requestTracker) accept(r Request) policy.RequestID {
	if t.rejectNew || !t.table.hasCapacity(&t.limits, len(r.Body)) {
		t.rejectAtCapacity(r)
		return 0
	}
	t.counters.Accepted[r.Front]++
	if t.table.isTracked(r.ID) || t.mustRunOnce(r.Class) && t.spent.has(t.timers.now, r.ID) {
		t.failDuplicate(r)
		return 0
	}
	requestPolicy, ok := t.routing.route(&r, t.timers.now)
	if !ok {
		t.counters.RejectedUnrouted[r.Front]++
		t.reject(r)
		return 0
	}
	r.AcceptedAt = t.timers.now
	tracked := t.table.add(r)
	t.queueArrival(tracked, requestPolicy)
	tracked.deadline = t.timers.addRequestDeadline(tracked.id, tracked.request.Deadline)
	return tracked.id
}

// rejectAtCapacity rejects a request because the core or its front has no capacity for it, or because the process is
// about to exit. The decision module does not see the request.
func (t *requestTracker) rejectAtCapacity(r Request) {
	t.counters.Accepted[r.Front]++
	t.counters.RejectedAtCapacity[r.Front]++
	t.reject(r)
}

// failDuplicate fails a request that has the ID of a tracked request, or of one that may have run and must not run
// again. Workers distinguish requests by ID, so they could return the response of one to the other. The core does not
// know which of the two the client means.
func (t *requestTracker) failDuplicate(r Request) {
	t.counters.Failed[r.Front]++
	t.respondUntracked(r, CompletionFailed, Response{Status: Failed})
}

// reject responds to an untracked request with status Rejected.
func (t *requestTracker) reject(r Request) {
	t.respondUntracked(r, CompletionRejected, Response{Status: Rejected, RetryAfter: t.limits.RetryAfter})
}

// respondUntracked completes a request that does not enter the table and that the decision module does not see.
func (t *requestTracker) respondUntracked(r Request, completion Completion, response Response) {
	r.AcceptedAt = t.timers.now
	t.notifyCompleted(&r, completion)
	r.Responder.Respond(response)
}

// queueArrival adds the policy.RequestArrived event of a tracked request to the event queue.
func (t *requestTracker) queueArrival(tracked *trackedRequest, requestPolicy *policy.RequestPolicy) {
	r := &tracked.request
	tracked.arrival = t.events.nextPosition()
	t.events.add(policy.RequestArrived{
		Request:   tracked.id,
		Class:     r.Class,
		Tenant:    t.tenantIndex(r.Tenant),
		Function:  r.Function.ID,
		Lanes:     r.Function.Lanes,
		MemoryMB:  r.Function.MemoryMB,
		LoadTime:  r.Function.LoadTime,
		Remaining: max(r.Deadline-t.timers.now, 0),
		Policy:    requestPolicy,
	})
}

// tenantIndex returns a tenant's index in policy.Config.Tenants, or policy.NoTenant if the name is not configured.
func (t *requestTracker) tenantIndex(name string) int {
	if index, ok := t.tenants[name]; ok {
		return index
	}
	return policy.NoTenant
}

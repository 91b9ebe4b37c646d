package router

import (
	"time"

	"crankhold/policy"
)

// Accept hands in a request and returns its identifier in the core, or 0 where the core responded at once and does
// not track it. The response may be given before Accept returns.
func (c *Core) Accept(now time.Duration, r Request) policy.RequestID {
	c.SetNow(now)
	if !c.hasCapacity(len(r.Body)) {
		c.RejectUnaccepted(now, r)
		return 0
	}
	c.Counters.Accepted[r.Front]++
	if c.isTracked(r.ID) {
		c.failDuplicate(r)
		return 0
	}
	requestPolicy, ok := c.routing.route(&r, c.timers.now)
	if !ok {
		c.Counters.RejectedUnrouted[r.Front]++
		c.reject(r)
		return 0
	}
	r.AcceptedAt = c.timers.now
	tracked := c.track(r)
	c.announce(tracked, requestPolicy)
	tracked.deadline = c.timers.addRequestDeadline(tracked.id, tracked.request.Deadline)
	return tracked.id
}

// RejectUnaccepted rejects a request for want of capacity, the front's or the core's; the decision module does not
// see it.
func (c *Core) RejectUnaccepted(now time.Duration, r Request) {
	c.SetNow(now)
	c.Counters.Accepted[r.Front]++
	c.Counters.RejectedUnaccepted[r.Front]++
	c.reject(r)
}

// CancelRequest tells the core that the client no longer waits for a request. It gets no response.
func (c *Core) CancelRequest(now time.Duration, id policy.RequestID) {
	c.SetNow(now)
	tracked := c.openRequest(id)
	if tracked == nil {
		return
	}
	c.Counters.Canceled[tracked.request.Front]++
	c.complete(tracked, CompletionCanceled)
	if c.events.withdraw(tracked.arrival) {
		// The module has not seen the request and never will. Nothing was asked of it, so nothing may grow by a client
		// that sends requests and cancels them, the load budget least of all.
		return
	}
	c.events.add(policy.RequestCanceled{Request: id})
	c.withdrawUnsentAttempts(tracked)
}

// hasCapacity reports whether a further request with a body of the given size may be accepted. It bounds the
// program's memory, and lets a draining program exit while clients go on sending.
func (c *Core) hasCapacity(bodySize int) bool {
	return !c.rejectsNew &&
		c.openRequests < c.limits.MaxConcurrentRequests &&
		c.openBytes+bodySize <= c.limits.MaxBytes
}

// failDuplicate fails a request under the ID of a tracked one. Workers tell requests apart by ID, so they could give
// the response of one to the other; it is not known which of the two the client means.
func (c *Core) failDuplicate(r Request) {
	c.Counters.Failed[r.Front]++
	c.respondUntracked(r, CompletionFailed, Response{Status: Failed})
}

// reject rejects a request that the core does not track.
func (c *Core) reject(r Request) {
	c.respondUntracked(r, CompletionRejected, Response{Status: Rejected, RetryAfter: c.limits.RetryAfter})
}

// announce hands the arrival of a tracked request to the decision module.
func (c *Core) announce(tracked *trackedRequest, requestPolicy *policy.RequestPolicy) {
	r := &tracked.request
	tracked.arrival = c.events.nextPosition()
	c.events.add(policy.RequestArrived{
		Request:   tracked.id,
		Class:     r.Class,
		Tenant:    c.tenantIndex(r.Tenant),
		Function:  r.Function,
		Lanes:     r.Lanes,
		MemoryMB:  r.MemoryMB,
		LoadTime:  r.LoadTime,
		Remaining: max(r.Deadline-c.timers.now, 0),
		Policy:    requestPolicy,
	})
}

// tenantIndex returns a tenant's index in the module's configuration, or policy.NoTenant.
func (c *Core) tenantIndex(name string) int {
	if index, ok := c.tenants[name]; ok {
		return index
	}
	return policy.NoTenant
}

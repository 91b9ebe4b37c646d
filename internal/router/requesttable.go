package router

import "crankhold/policy"

// trackedRequest is a request in the request table: it is owed a response, or attempts of it are in flight.
type trackedRequest struct {
	id         policy.RequestID
	request    Request
	arrival    eventPosition // of its policy.RequestArrived
	deadline   *timerEntry
	attempts   []trackedAttempt
	inFlight   int  // attempts that have not ended
	mayHaveRun bool // an attempt ended without proof that it never ran
	completed  bool // it has its response, or was canceled
}

// isTracked reports whether a request under the client's ID is in the table.
func (c *Core) isTracked(clientID string) bool {
	_, tracked := c.clientIDs[clientID]
	return tracked
}

// track puts a request into the table, under a new identifier.
func (c *Core) track(r Request) *trackedRequest {
	tracked := &trackedRequest{id: c.nextRequestID(), request: r}
	c.requests[tracked.id] = tracked
	c.clientIDs[r.ID] = struct{}{}
	c.openRequests++
	c.openBytes += len(r.Body)
	return tracked
}

// nextRequestID returns an identifier that no tracked request has. 0 stands for no request.
func (c *Core) nextRequestID() policy.RequestID {
	c.lastRequestID++
	for c.lastRequestID == 0 || c.requests[c.lastRequestID] != nil {
		c.lastRequestID++
	}
	return c.lastRequestID
}

// openRequest returns a tracked request that is owed a response, or nil.
func (c *Core) openRequest(id policy.RequestID) *trackedRequest {
	tracked := c.requests[id]
	if tracked == nil || tracked.completed {
		return nil
	}
	return tracked
}

// complete ends a request that has its response, or that was canceled.
func (c *Core) complete(tracked *trackedRequest, completion Completion) {
	tracked.completed = true
	c.notifyCompleted(&tracked.request, completion)
	c.openRequests--
	c.openBytes -= len(tracked.request.Body)
	tracked.request.Body = nil
	tracked.request.Responder = nil
	c.release(tracked)
}

// notifyCompleted calls Config.OnCompleted, where one is set.
func (c *Core) notifyCompleted(r *Request, completion Completion) {
	if c.onCompleted != nil {
		c.onCompleted(c.timers.now, r, completion)
	}
}

// release takes a request out of the table once it has completed and none of its attempts is in flight.
func (c *Core) release(tracked *trackedRequest) {
	if !tracked.completed || tracked.inFlight > 0 || c.requests[tracked.id] != tracked {
		return
	}
	c.timers.remove(tracked.deadline)
	delete(c.requests, tracked.id)
	delete(c.clientIDs, tracked.request.ID)
}

package router

import (
	"maps"
	"slices"
	"time"

	"crankhold/policy"
)

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

// trackedAttempt is the state of one attempt of a tracked request.
type trackedAttempt struct {
	worker    policy.WorkerID
	startedAt time.Duration
	completed bool
	timeout   *timerEntry // nil: only the request's deadline limits it
}

// addAttempt adds an attempt that is in flight from now on.
func (r *trackedRequest) addAttempt(worker policy.WorkerID, now time.Duration) Attempt {
	attempt := Attempt{Request: r.id, Number: len(r.attempts)}
	r.attempts = append(r.attempts, trackedAttempt{worker: worker, startedAt: now})
	r.inFlight++
	return attempt
}

// completeAttempt records the end of an attempt that is in flight.
func (r *trackedRequest) completeAttempt(attempt *trackedAttempt, outcome policy.Outcome) {
	attempt.completed = true
	r.inFlight--
	if !outcome.NeverRan() {
		r.mayHaveRun = true
	}
}

// requestTable owns the tracked requests. It has each of them under its identifier and, until it leaves the table, its
// client's ID, and counts those whose capacity has not been freed. It belongs to the core's goroutine.
type requestTable struct {
	requests  map[policy.RequestID]*trackedRequest
	clientIDs map[string]struct{} // Request.ID of each tracked request
	lastID    policy.RequestID
	openCount int // tracked requests that are owed a response
	openBytes int // bytes of their bodies
}

func newRequestTable() requestTable {
	return requestTable{
		requests:  map[policy.RequestID]*trackedRequest{},
		clientIDs: map[string]struct{}{},
	}
}

// hasCapacity reports whether a further request with a body of the given size stays within the limits.
func (t *requestTable) hasCapacity(limits *Limits, bodySize int) bool {
	return t.openCount < limits.MaxConcurrentRequests && t.openBytes+bodySize <= limits.MaxBytes
}

// isTracked reports whether a request under the client's ID is in the table.
func (t *requestTable) isTracked(clientID string) bool {
	_, tracked := t.clientIDs[clientID]
	return tracked
}

// add puts a request into the table, under a new identifier.
func (t *requestTable) add(r Request) *trackedRequest {
	tracked := &trackedRequest{id: t.nextID(), request: r}
	t.requests[tracked.id] = tracked
	t.clientIDs[r.ID] = struct{}{}
	t.openCount++
	t.openBytes += len(r.Body)
	return tracked
}

// nextID returns an identifier that no tracked request has. 0 stands for no request.
func (t *requestTable) nextID() policy.RequestID {
	t.lastID++
	for t.lastID == 0 || t.requests[t.lastID] != nil {
		t.lastID++
	}
	return t.lastID
}

// get returns a tracked request, or nil.
func (t *requestTable) get(id policy.RequestID) *trackedRequest { return t.requests[id] }

// getOpen returns a tracked request that is owed a response, or nil.
func (t *requestTable) getOpen(id policy.RequestID) *trackedRequest {
	tracked := t.requests[id]
	if tracked == nil || tracked.completed {
		return nil
	}
	return tracked
}

// attemptInFlight returns an attempt that has not ended, with its request, or nil for both.
func (t *requestTable) attemptInFlight(a Attempt) (*trackedRequest, *trackedAttempt) {
	tracked := t.requests[a.Request]
	if tracked == nil || a.Number >= len(tracked.attempts) {
		return nil, nil
	}
	attempt := &tracked.attempts[a.Number]
	if attempt.completed {
		return nil, nil
	}
	return tracked, attempt
}

// sortedIDs returns the identifiers of all tracked requests in ascending order.
func (t *requestTable) sortedIDs() []policy.RequestID { return slices.Sorted(maps.Keys(t.requests)) }

// freeCapacity frees the capacity of a request that has completed, and what it holds of its client. It is called once
// for each request.
func (t *requestTable) freeCapacity(tracked *trackedRequest) {
	t.openCount--
	t.openBytes -= len(tracked.request.Body)
	tracked.request.Body = nil
	tracked.request.Responder = nil
}

// removeIfCompleted removes a request that has completed and of which no attempt is in flight, and reports whether it did.
func (t *requestTable) removeIfCompleted(tracked *trackedRequest) bool {
	if !tracked.completed || tracked.inFlight > 0 || t.requests[tracked.id] != tracked {
		return false
	}
	delete(t.requests, tracked.id)
	delete(t.clientIDs, tracked.request.ID)
	return true
}

package router

import (
	"maps"
	"slices"
	"time"

	"crankhold/policy"
)

// maxTrackedPerOpen limits the requests in the table, as a multiple of those that may be open.
const maxTrackedPerOpen = 2

// trackedRequest is a request in the request table. It has no final response yet, or attempts of it are in flight.
type trackedRequest struct {
	id         policy.RequestID
	request    Request
	arrival    eventPosition // of its policy.RequestArrived event
	deadline   *timerEntry
	attempts   []trackedAttempt
	inFlight   int  // number of attempts that have not completed
	mayHaveRun bool // an attempt completed without proof that it never ran
	completed  bool // it got its final response, or its client canceled it

	reachedWorker bool // an attempt that left this router completed without proof that it never ran
}

// trackedAttempt is the state of one attempt of a tracked request.
type trackedAttempt struct {
	worker    policy.WorkerID
	startedAt time.Duration
	completed bool
	timeout   *timerEntry // nil if only the request's deadline limits the attempt
}

// addAttempt adds an attempt that is in flight, and returns its identifier.
func (r *trackedRequest) addAttempt(worker policy.WorkerID, now time.Duration) Attempt {
	attempt := Attempt{Request: r.id, Number: len(r.attempts)}
	r.attempts = append(r.attempts, trackedAttempt{worker: worker, startedAt: now})
	r.inFlight++
	return attempt
}

// completeAttempt marks an attempt that is in flight as completed.
func (r *trackedRequest) completeAttempt(attempt *trackedAttempt, result AttemptResult) {
	attempt.completed = true
	r.inFlight--
	if !result.Outcome.NeverRan() {
		r.mayHaveRun = true
		r.reachedWorker = r.reachedWorker || !result.Withdrawn
	}
}

// requestTable stores the tracked requests by identifier, and reserves the clients' IDs of these requests. It counts
// the open requests and the bytes of their bodies. It belongs to the core's goroutine.
type requestTable struct {
	requests  map[policy.RequestID]*trackedRequest
	clientIDs map[string]struct{} // Request.ID of each tracked request
	lastID    policy.RequestID
	openCount int // number of tracked requests that have not completed
	openBytes int // total size of their bodies
}

func newRequestTable() requestTable {
	return requestTable{
		requests:  map[policy.RequestID]*trackedRequest{},
		clientIDs: map[string]struct{}{},
	}
}

// hasCapacity reports whether the limits allow one more request with a body of the given size. Requests whose clients
// have canceled them stay in the table until their attempts have ended. They may be as many as the open ones.
func (t *requestTable) hasCapacity(limits *Limits, bodySize int) bool {
	if len(t.requests) >= maxTrackedPerOpen*limits.MaxConcurrentRequests {
		return false
	}
	return t.openCount < limits.MaxConcurrentRequests && t.openBytes+bodySize <= limits.MaxBytes
}

// isTracked reports whether the table has a request with this client's ID.
func (t *requestTable) isTracked(clientID string) bool {
	_, tracked := t.clientIDs[clientID]
	return tracked
}

// add adds a request to the table with a new identifier.
func (t *requestTable) add(r Request) *trackedRequest {
	tracked := &trackedRequest{id: t.nextID(), request: r}
	t.requests[tracked.id] = tracked
	t.clientIDs[r.ID] = struct{}{}
	t.openCount++
	t.openBytes += len(r.Body)
	return tracked
}

// nextID returns an identifier that no tracked request has. It is never 0, which stands for no request.
func (t *requestTable) nextID() policy.RequestID {
	t.lastID++
	for t.lastID == 0 || t.requests[t.lastID] != nil {
		t.lastID++
	}
	return t.lastID
}

// get returns a tracked request, or nil.
func (t *requestTable) get(id policy.RequestID) *trackedRequest { return t.requests[id] }

// getOpen returns a tracked request that has not completed, or nil.
func (t *requestTable) getOpen(id policy.RequestID) *trackedRequest {
	tracked := t.requests[id]
	if tracked == nil || tracked.completed {
		return nil
	}
	return tracked
}

// attemptInFlight returns an attempt that has not completed, with its request. It returns nil for both if there is
// none.
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

// ids returns the identifiers of all tracked requests in ascending order.
func (t *requestTable) ids() []policy.RequestID { return slices.Sorted(maps.Keys(t.requests)) }

// freeCapacity subtracts a completed request from the counts of open requests, and releases its body and its responder.
// It is called once for each request.
func (t *requestTable) freeCapacity(tracked *trackedRequest) {
	t.openCount--
	t.openBytes -= len(tracked.request.Body)
	tracked.request.Body = nil
	tracked.request.Responder = nil
}

// removeIfCompleted removes a request if it has completed and none of its attempts is in flight. It reports whether it
// removed the request.
func (t *requestTable) removeIfCompleted(tracked *trackedRequest) bool {
	if !tracked.completed || tracked.inFlight > 0 || t.requests[tracked.id] != tracked {
		return false
	}
	delete(t.requests, tracked.id)
	delete(t.clientIDs, tracked.request.ID)
	return true
}

package policy

import "time"

// request is a request from its arrival until it has its final response and no attempt is in flight.
type request struct {
	RequestArrived
	class                   *classState
	function                *function
	deadline                time.Duration
	pool                    Pool // the workers that it may go to now
	attempts                []*attempt
	inFlight                int       // attempts that have not ended
	firstPossibleRun        *attempt  // the first that may have run
	retriesAfterPossibleRun int       // attempts after that
	excluded                []*worker // that rejected or failed it

	overQuota bool // it was beyond its tenant's quota when it arrived
	hedging   bool // its hedged attempt is being started
	streaming bool // its response has begun
	complete  bool // it has its final response, or was canceled
}

// attempt is one forwarding of a request to a worker.
type attempt struct {
	request         *request
	worker          *worker
	pool            Pool
	number          int // from 0, in the order of their starts
	inFlightAtStart int // attempts that were in flight at the worker when it started
	startedAt       time.Duration
	expected        time.Duration // its predicted latency
	expectsLoad     bool          // no replica was known at the worker

	// likelyLoaded says that another router likely keeps a replica at the worker though none was known.
	likelyLoaded bool
	ended        bool
	canceled     bool
}

// requestTable holds the requests that are owed a response or have attempts in flight.
//
// Invariant: each request gets one final response, and leaves the table when it has that and nothing is in
// flight.
type requestTable struct {
	byID     map[RequestID]*request
	deferred []*request // no worker may take them now; they are scheduled again at the next housekeeping
}

// get returns a request, or nil where it is not known.
func (t *requestTable) get(id RequestID) *request { return t.byID[id] }

// add enters a request.
func (t *requestTable) add(r *request) { t.byID[r.Request] = r }

// removeIfComplete removes a request that is done and has no attempt in flight.
func (t *requestTable) removeIfComplete(r *request) {
	if r.complete && r.inFlight == 0 {
		delete(t.byID, r.Request)
	}
}

// deferUntilHousekeeping keeps a request until the next housekeeping.
func (t *requestTable) deferUntilHousekeeping(r *request) { t.deferred = append(t.deferred, r) }

// takeDeferred returns the deferred requests, which are deferred no longer.
func (t *requestTable) takeDeferred() []*request {
	deferred := t.deferred
	t.deferred = nil
	return deferred
}

// findAttempt returns an attempt in flight, or nil.
func (t *requestTable) findAttempt(id RequestID, number int) *attempt {
	r := t.byID[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return nil
	}
	return r.attempts[number]
}

package policy

import "time"

// request holds the state of a request from its arrival until it has its final response and no attempt is in
// flight.
type request struct {
	RequestArrived
	class                   *classState
	function                *function
	deadline                time.Duration
	pool                    Pool // the workers that it may be sent to now
	attempts                []*attempt
	inFlight                int       // attempts that have not completed
	firstPossibleRun        *attempt  // the first attempt that may have run
	retriesAfterPossibleRun int       // attempts that started after firstPossibleRun completed
	excluded                []*worker // workers that rejected or failed it

	overQuota bool // it was beyond its tenant's quota when it arrived
	hedging   bool // its hedged attempt is being started
	streaming bool // its response has started
	complete  bool // it has its final response, or was canceled
}

// attempt holds the state of one attempt to have a request served by a worker.
type attempt struct {
	request         *request
	worker          *worker
	pool            Pool
	number          int   // from 0, in the order in which the attempts start
	inFlightAtStart int   // attempts that were in flight at the worker when this one started
	group           Group // of the worker when it started: that of the class's DeduplicationScope
	startedAt       time.Duration
	expected        time.Duration // predicted latency
	expectsLoad     bool          // no replica was known at the worker

	// likelyLoaded means that another router likely keeps a replica at the worker although none was known.
	likelyLoaded bool
	completed    bool
	canceled     bool
}

// requestTable holds the requests that still need a response or have attempts in flight.
//
// Invariant: each request gets one final response. It is removed from the table when it has that response and
// no attempt is in flight.
type requestTable struct {
	byID     map[RequestID]*request
	deferred []*request // requests that no worker may take now, until the next housekeeping
}

// get returns a request, or nil if it is not in the table.
func (t *requestTable) get(id RequestID) *request { return t.byID[id] }

// add adds a request.
func (t *requestTable) add(r *request) { t.byID[r.Request] = r }

// removeIfComplete removes a request if it is complete and has no attempt in flight.
func (t *requestTable) removeIfComplete(r *request) {
	if r.complete && r.inFlight == 0 && t.byID[r.Request] == r {
		delete(t.byID, r.Request)
		r.function.openRequests--
	}
}

// deferUntilHousekeeping defers a request until the next housekeeping.
func (t *requestTable) deferUntilHousekeeping(r *request) { t.deferred = append(t.deferred, r) }

// takeDeferred returns the deferred requests and empties their list.
func (t *requestTable) takeDeferred() []*request {
	deferred := t.deferred
	t.deferred = nil
	return deferred
}

// findAttempt returns an attempt in flight, or nil if there is none with this number.
func (t *requestTable) findAttempt(id RequestID, number int) *attempt {
	r := t.byID[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].completed {
		return nil
	}
	return r.attempts[number]
}

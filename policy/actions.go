package policy

import "time"

// Action is an instruction for the router. Only types of this package implement it.
type Action interface{ action() }

// StartAttempt sends a request to a worker. The attempts of a request are numbered from 0 in the order in
// which they start.
type StartAttempt struct {
	Request RequestID
	Worker  WorkerID
	Timeout time.Duration // timeout of the attempt; 0: the request's deadline
	// SendWithin is the longest time that the attempt may wait before it is sent; 0: as long as Timeout
	// allows. It is set for a retry that workers deduplicate, because they do so for a limited time only.
	SendWithin time.Duration
}

// CancelAttempt cancels an attempt that is in flight.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// Reject gives the client the final response that its request was rejected and may safely be retried.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // how long the client should wait before a retry; 0: no advice
}

// FailRequest gives the client the final response that its request failed. The request may have run, so a
// retry may not be safe.
type FailRequest struct{ Request RequestID }

// Load is a load command: it asks a worker to have Count replicas of a function loaded. If Count is 0, it
// only queries how many are loaded.
type Load struct {
	Worker   WorkerID
	Function FunctionID
	Count    int
}

// Unload removes the idle replicas of a function at a worker.
type Unload struct {
	Worker   WorkerID
	Function FunctionID
}

// CheckHealth sends a health check to a worker. HealthCheckCompleted reports the result.
type CheckHealth struct{ Worker WorkerID }

// SendGossip sends a gossip message to another router, or to all other routers if To is below 0.
type SendGossip struct {
	To   int
	Data []byte
}

// SetTimer requests a TimerFired event with the same token after a time.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// ClearTimer cancels a timer that is no longer needed. The router may ignore it.
type ClearTimer struct{ Token uint64 }

// Subscribe starts the subscription to changes of the endpoint list, or ends it if On is false.
type Subscribe struct{ On bool }

// FetchEndpoints requests the whole endpoint list once.
type FetchEndpoints struct{}

// CloseIdleConnections closes the idle connections to a worker.
type CloseIdleConnections struct{ Worker WorkerID }

// Log writes a line to the log.
type Log struct{ Text string }

func (StartAttempt) action()         {}
func (CancelAttempt) action()        {}
func (Reject) action()               {}
func (FailRequest) action()          {}
func (Load) action()                 {}
func (Unload) action()               {}
func (CheckHealth) action()          {}
func (SendGossip) action()           {}
func (SetTimer) action()             {}
func (ClearTimer) action()           {}
func (Subscribe) action()            {}
func (FetchEndpoints) action()       {}
func (CloseIdleConnections) action() {}
func (Log) action()                  {}

package policy

import "time"

// Action is something that the router is to do. Only this package's types are actions.
type Action interface{ action() }

// StartAttempt starts an attempt; attempts of a request are numbered from 0 in the order of their starts.
type StartAttempt struct {
	Request RequestID
	Worker  WorkerID
	Limit   time.Duration // timeout of the attempt; 0: until the client gives up
	// SendWithin is how long it may wait before it is sent, 0 for as long as Limit allows: workers drop a
	// repeat only so long.
	SendWithin time.Duration
}

// CancelAttempt cancels an attempt.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// Reject is the final response that trying again is harmless.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // how long to stay away; 0: no advice
}

// FailRequest is the final response that promises nothing.
type FailRequest struct{ Request RequestID }

// Load orders a worker to have Count replicas of a function loaded; with Count 0 it only asks.
type Load struct {
	Worker   WorkerID
	Function FunctionID
	Count    int
}

// Unload drops the idle replicas of a function at a worker.
type Unload struct {
	Worker   WorkerID
	Function FunctionID
}

// CheckHealth checks a worker; HealthCheckCompleted is the result.
type CheckHealth struct{ Worker WorkerID }

// SendGossip sends bytes to another router, or to all with To below 0.
type SendGossip struct {
	To   int
	Data []byte
}

// SetTimer asks for a TimerFired after a time.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// ClearTimer drops a timer that no longer matters; hosts may ignore it.
type ClearTimer struct{ Token uint64 }

// Subscribe asks for changes of the endpoint list from now on, or no longer.
type Subscribe struct{ On bool }

// FetchEndpoints asks for the whole endpoint list once.
type FetchEndpoints struct{}

// CloseIdleConnections closes the idle connections to a worker.
type CloseIdleConnections struct{ Worker WorkerID }

// Log is a line for the operators.
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

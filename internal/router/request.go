package router

import (
	"net/netip"
	"time"

	"crankhold/policy"
)

// ResponseMargin is how long before a client's own deadline a front sets Request.Deadline. The way back takes a
// millisecond; the rest is for a machine that stalls: on an overcommitted one requests were seen to take 46 ms (99th
// percentile) to get through the program, and one response was late.
const ResponseMargin = 40 * time.Millisecond

// Front identifies the front that a request arrived by. Its values are those of route.Front.
type Front uint8

// The fronts.
const (
	Thrift  Front = iota // the platform's protocol
	Webhook              // signed webhook deliveries
	frontCount
)

// String returns the front's name in lower case.
func (f Front) String() string {
	switch f {
	case Thrift:
		return "thrift"
	case Webhook:
		return "webhook"
	default:
		return "unknown"
	}
}

// Request is a request as a front hands it in.
type Request struct {
	Front          Front
	Client         Client
	Responder      Responder // gets the final response
	ID             string    // the client's text; workers tell requests apart by it
	Tenant         string    // who sends it, where the front has proof of that; "" otherwise
	Class          int       // index in policy.Config.Classes
	Function       Function
	IdempotencyKey string // passed on to the worker unchanged; "" for none
	Body           []byte
	Deadline       time.Duration // the final response must have left by then

	AcceptedAt time.Duration // set by the core
	SendBy     time.Duration // set by the core: an attempt that starts now is not sent later; 0 for no such limit
}

// Function is the function that a request calls, as its client describes it.
type Function struct {
	Key      string            // the client's text
	ID       policy.FunctionID // the number that Key stands for
	MemoryMB float64           // memory of one replica
	Lanes    float64           // requests that one replica runs at a time
	LoadTime time.Duration     // usual time of a load; 0 for unknown
}

// Client is where a request comes from. The core passes it on, for flow records and notices.
type Client struct {
	Address   netip.AddrPort
	Reference string // the client's own name for the request, where that is not Request.ID
}

// Responder is owed the final response to a request.
type Responder interface {
	// Respond gives the final response. It is called at most once for a request.
	Respond(Response)
}

// Response is the final response to a request.
type Response struct {
	Status           ResponseStatus
	Body             []byte        // of the worker, where Status is Served
	RetryAfter       time.Duration // how long a rejected client should stay away; 0 for no advice
	MayHaveRun       bool          // it is not proven that no attempt ever ran
	DeadlineExceeded bool          // the request's time was over
}

// ResponseStatus is the kind of a final response.
type ResponseStatus uint8

// The response statuses.
const (
	Served   ResponseStatus = iota // with the body that a worker returned
	Rejected                       // trying again is harmless
	Failed                         // without a promise: an attempt may have run
)

// String returns the status in lower case.
func (s ResponseStatus) String() string {
	switch s {
	case Served:
		return "served"
	case Rejected:
		return "rejected"
	case Failed:
		return "failed"
	default:
		return "unknown"
	}
}

// Completion is how a request ended. Its text is part of the type of webhook notices ("repair-order.refused"), so it
// keeps the words of the operators' pages and must not change.
type Completion string

// The completions.
const (
	CompletionServed   Completion = "served"    // with a worker's response
	CompletionRejected Completion = "refused"   // with a response of status Rejected
	CompletionFailed   Completion = "failed"    // with a response of status Failed
	CompletionCanceled Completion = "abandoned" // by its client, without a response
)

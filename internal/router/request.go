package router

import (
	"net/netip"
	"time"

	"crankhold/policy"
)

// ResponseMargin is the time that a front subtracts from a client's deadline to get Request.Deadline. Returning the
// response to the client takes a millisecond. The rest is a reserve for machines that stall: on an overcommitted
// machine requests took 46 ms (99th percentile) to pass through the process, and one response was late.
const ResponseMargin = 40 * time.Millisecond

// Front identifies the front that received a request. Its values equal those of route.Front.
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

// Request is a request as a front passes it to the core.
type Request struct {
	Front          Front
	Client         Client
	Responder      Responder // gets the final response
	ID             string    // chosen by the client; workers distinguish requests by it
	Tenant         string    // the sender, if the front could verify it; "" otherwise
	Class          int       // index in policy.Config.Classes
	Function       Function
	IdempotencyKey string // forwarded to the worker unchanged; "" for none
	Body           []byte
	Deadline       time.Duration // when the final response must have been sent

	AcceptedAt time.Duration // set by the core
	SendBy     time.Duration // set by the core: latest time to send the attempt that is being started; 0 for no limit
}

// Function is the function that a request calls, as its client describes it.
type Function struct {
	Key      string            // function key, as the client wrote it
	ID       policy.FunctionID // Key as a number
	MemoryMB float64           // memory of one replica
	Lanes    float64           // requests that one replica runs at a time
	LoadTime time.Duration     // how long a load usually takes; 0 if unknown
}

// Client identifies the client of a request, for flow records and notices. The core only passes it on.
type Client struct {
	Address   netip.AddrPort
	Reference string // the client's own ID of the request, if it is not Request.ID
}

// Responder sends the final response to the client of a request.
type Responder interface {
	// Respond sends the final response. The core calls it at most once for each request.
	Respond(Response)
}

// Response is the final response to a request.
type Response struct {
	Status           ResponseStatus
	Body             []byte        // from the worker, if Status is Served
	RetryAfter       time.Duration // how long a rejected client should wait before it retries; 0 for no advice
	MayHaveRun       bool          // an attempt ran, or may have run
	DeadlineExceeded bool          // the request ran out of time; see deadlineTolerance
}

// ResponseStatus is the status of a final response.
type ResponseStatus uint8

// The response statuses.
const (
	Served   ResponseStatus = iota // with the body that a worker returned
	Rejected                       // a retry is safe
	Failed                         // a retry may be unsafe, because an attempt may have run
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

// Completion is how a request completed. Its text is part of the type of webhook notices ("repair-order.refused") and
// is documented for operators, so it must not change.
type Completion string

// The completions.
const (
	CompletionServed   Completion = "served"    // with a worker's response
	CompletionRejected Completion = "refused"   // with a response of status Rejected
	CompletionFailed   Completion = "failed"    // with a response of status Failed
	CompletionCanceled Completion = "abandoned" // by its client, without a response
)

package fake

import (
	"strconv"
	"time"
)

// Request is a request by a client.
type Request struct {
	Class       string
	ID          string // 16 hex digits
	FunctionKey string // 16 hex digits
	Timeout     time.Duration
	Properties  string // of the function, as name:value;name:value
	Body        []byte

	Tenant         string  // left out if empty
	IdempotencyKey string  // left out if empty
	ExtraFields    []Field // sent after all others
}

// Field is a field of a request, as it is sent.
type Field struct {
	Name  string
	Value string
}

// fields returns the fields of the request in the order in which they are sent.
func (r *Request) fields() []Field {
	fields := []Field{
		{"class", r.Class},
		{"id", r.ID},
		{"wait", strconv.FormatInt(r.Timeout.Milliseconds(), 10)},
		{"key", r.FunctionKey},
	}
	for _, optional := range []Field{{"props", r.Properties}, {"tenant", r.Tenant}, {"once", r.IdempotencyKey}} {
		if optional.Value != "" {
			fields = append(fields, optional)
		}
	}
	return append(fields, r.ExtraFields...)
}

// ResponseStatus is the outcome of a request in a router's response.
type ResponseStatus string

// Statuses of responses, in the words of the platform.
const (
	Served   ResponseStatus = "served"
	Rejected ResponseStatus = "refused" // it never ran: a retry is harmless
	Failed   ResponseStatus = "failed"  // it may have run
)

// Response is a router's response.
type Response struct {
	Status     ResponseStatus
	Body       []byte
	RetryAfter time.Duration // of a rejected request: how long to stay away
	Healthy    bool          // in response to a health check
}

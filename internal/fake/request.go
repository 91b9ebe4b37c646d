package fake

import (
	"strconv"
	"time"
)

// Request is a request that a client sends.
type Request struct {
	Class       string
	ID          string // 16 hex digits
	FunctionKey string // 16 hex digits
	Timeout     time.Duration
	Properties  string // properties of the function, as name:value;name:value
	Body        []byte

	Tenant         string  // omitted if empty
	IdempotencyKey string  // omitted if empty
	ExtraFields    []Field // sent after all other fields
}

// Field is a field of a request in the form in which it is sent.
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

// Statuses of responses. The platform defines their values.
const (
	Served   ResponseStatus = "served"
	Rejected ResponseStatus = "refused" // the request was not executed, so a retry is safe
	Failed   ResponseStatus = "failed"  // the request may have been executed
)

// Response is a router's response.
type Response struct {
	Status     ResponseStatus
	Body       []byte
	RetryAfter time.Duration // after a rejection: how long to wait before a retry
	Healthy    bool          // only set in the response to a health check
}

package workerclient

import (
	"errors"
	"fmt"

	"crankhold/internal/endpoint"
)

// The reasons for which the worker client closes a connection.
var (
	// ErrMalformedResponse means that a worker violated the protocol.
	ErrMalformedResponse = errors.New("malformed response")
	// ErrResponseStalled means that a response started to arrive and was not completed in time.
	ErrResponseStalled = errors.New("response was not completed in time")
	// ErrConnectionSilent means that a connection did not respond to a keepalive ping while others to the worker did.
	ErrConnectionSilent = errors.New("connection is silent while other connections to the worker respond")
	// ErrProcessReplaced means that discovery lists a new process in the place of the one that a connection leads to.
	ErrProcessReplaced = errors.New("another process has taken the worker's place")
)

// MalformedResponseError reports data of a worker that violates the protocol. It is an ErrMalformedResponse.
type MalformedResponseError struct {
	Violation Violation
	Data      string // the beginning of the response that can't be used
}

// Error returns the violation and the beginning of the data.
func (e *MalformedResponseError) Error() string {
	return fmt.Sprintf("%v: %v at %q", ErrMalformedResponse, e.Violation, e.Data)
}

// Unwrap returns ErrMalformedResponse, for errors.Is.
func (e *MalformedResponseError) Unwrap() error { return ErrMalformedResponse }

// ConnectionError is the reason for which the worker client closed a connection. Its message omits the address, which
// is a separate attribute of log events.
type ConnectionError struct {
	Addr   endpoint.Addr // the worker's address, to which the connection was dialed
	Reason error         // one of the sentinel errors of this package
}

// Error returns the reason.
func (e *ConnectionError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason, for errors.Is.
func (e *ConnectionError) Unwrap() error { return e.Reason }

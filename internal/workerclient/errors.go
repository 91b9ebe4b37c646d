package workerclient

import (
	"errors"

	"crankhold/internal/endpoint"
)

// The reasons for which the client closes a connection.
var (
	// ErrMalformedResponse is for a worker that broke the protocol.
	ErrMalformedResponse = errors.New("malformed answer")
	// ErrResponseStalled is for a response that began to arrive and was not completed in time.
	ErrResponseStalled = errors.New("answer does not go on")
	// ErrConnectionSilent is for a connection that did not respond to a keepalive ping while others to the worker did.
	ErrConnectionSilent = errors.New("connection is silent while others to the worker are not")
)

// ConnectionError is the reason for which the client closed a connection. Its message leaves out the address, which log
// events have as an attribute of its own.
type ConnectionError struct {
	Addr   endpoint.Addr // the worker's address that the connection led to
	Reason error         // one of the sentinel errors of this package
}

// Error returns the reason.
func (e *ConnectionError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason, for errors.Is.
func (e *ConnectionError) Unwrap() error { return e.Reason }

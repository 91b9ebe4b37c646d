package notice

import "errors"

// The reasons why an attempt to deliver a notice failed.
var (
	errTimeout           = errors.New("no response within the timeout")
	errMalformedResponse = errors.New("malformed response")
	errNoResponse        = errors.New("connection closed without a response")
)

package notice

import "errors"

// Why an attempt to deliver a notice failed.
var (
	errTimeout           = errors.New("no answer in time")
	errMalformedResponse = errors.New("malformed answer")
	errNoResponse        = errors.New("closed without an answer")
)

package notice

import "errors"

// Why an attempt to deliver a notice failed.
var (
	errNoticeTimeout           = errors.New("no answer in time")
	errNoticeResponseMalformed = errors.New("malformed answer")
	errNoticeUnanswered        = errors.New("closed without an answer")
)

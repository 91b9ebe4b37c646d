package notice

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"crankhold/internal/signature"
)

// maxNoticeResponse is how much of a receiver's response is read, in bytes.
const maxNoticeResponse = 8 << 10

// noticeAttempt is one attempt to deliver a notice, on a connection of its own.
type noticeAttempt struct {
	sender    *Sender
	notice    *notice
	transport Transport
	deadline  time.Duration
	response  []byte // received so far
	done      bool
}

// DialCompleted sends the notice, signed with the time of this attempt.
func (a *noticeAttempt) DialCompleted(err error) {
	if err != nil {
		a.fail(err)
		return
	}
	if a.done {
		return
	}
	a.transport.Write(a.requestHead(), a.notice.body)
}

// requestHead returns the request line and the headers.
func (a *noticeAttempt) requestHead() []byte {
	s, n := a.sender, a.notice
	timestamp := strconv.FormatInt(s.wallClock().Unix(), 10)
	var head []byte
	head = fmt.Appendf(head, "POST %s HTTP/1.1\r\n", s.url.RequestURI())
	head = fmt.Appendf(head, "Host: %s\r\n", s.url.Host)
	head = fmt.Appendf(head, "Content-Type: application/json\r\n")
	head = fmt.Appendf(head, "Content-Length: %d\r\n", len(n.body))
	head = fmt.Appendf(head, "%s: %s\r\n", signature.HeaderID, n.id)
	head = fmt.Appendf(head, "%s: %s\r\n", signature.HeaderTimestamp, timestamp)
	head = fmt.Appendf(head, "%s: %s\r\n", signature.HeaderSignature, signature.Sign(s.secret, n.id, timestamp, n.body))
	return fmt.Appendf(head, "Connection: close\r\n\r\n")
}

// Data reads the status line of the final response; nothing else of it matters.
func (a *noticeAttempt) Data(b []byte) {
	if a.done {
		return
	}
	a.response = append(a.response, b...)
	line, _, complete := bytes.Cut(a.response[:min(len(a.response), maxNoticeResponse)], lineEnd)
	if !complete {
		if len(a.response) >= maxNoticeResponse {
			a.fail(errNoticeResponseMalformed)
		}
		return
	}
	status := parseStatusLine(line)
	if status.isInformational() {
		a.skipInterimResponse()
		return
	}
	a.complete(status, nil)
}

// skipInterimResponse goes on with what follows an interim response, once that is complete.
func (a *noticeAttempt) skipInterimResponse() {
	end := bytes.Index(a.response, headEnd)
	if end < 0 {
		return
	}
	rest := a.response[end+len(headEnd):]
	a.response = nil
	a.Data(rest)
}

// Closed ends the attempt: a connection that closes without a response is a failure.
func (a *noticeAttempt) Closed(err error) {
	if err == nil {
		err = errNoticeUnanswered
	}
	a.fail(err)
}

// fail ends an attempt that got no response.
func (a *noticeAttempt) fail(err error) { a.complete(statusNone, err) }

// complete ends the attempt, unless it has ended already.
func (a *noticeAttempt) complete(status statusCode, err error) {
	if a.done {
		return
	}
	a.done = true
	a.transport.Close()
	a.sender.attemptCompleted(a.notice, status, err)
}

package notice

import (
	"bytes"
	"time"
)

// maxResponseHead is the largest part of a subscriber's response that is read, in bytes.
const maxResponseHead = 8 << 10

// attempt is one attempt to deliver a notice, on its own connection. It is the connection's handler on the event loop,
// and reports its result to the sender exactly once.
type attempt struct {
	sender    *Sender
	notice    *notice
	transport Transport
	deadline  time.Duration
	response  []byte // the bytes received so far
	done      bool   // the result was reported to the sender
}

// DialCompleted sends the notice if the dial succeeded. The signature covers the time of this attempt.
func (a *attempt) DialCompleted(err error) {
	if err != nil {
		a.fail(err)
		return
	}
	if a.done {
		return
	}
	head := a.sender.subscriber.requestHead(a.notice, a.sender.wallClock())
	a.transport.Write(head, a.notice.body)
}

// Data reads the status line of the final response. The rest of the response is not read.
func (a *attempt) Data(b []byte) {
	if a.done {
		return
	}
	a.response = append(a.response, b...)
	line, _, complete := bytes.Cut(a.response[:min(len(a.response), maxResponseHead)], lineEnd)
	if !complete {
		if len(a.response) >= maxResponseHead {
			a.fail(errMalformedResponse)
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

// skipInterimResponse drops a complete interim response and handles the bytes after it. While the interim response is
// incomplete, it does nothing.
func (a *attempt) skipInterimResponse() {
	end := bytes.Index(a.response, headEnd)
	if end < 0 {
		return
	}
	rest := a.response[end+len(headEnd):]
	a.response = nil
	a.Data(rest)
}

// Closed completes the attempt: if the connection closes without a response, the attempt has failed.
func (a *attempt) Closed(err error) {
	if err == nil {
		err = errNoResponse
	}
	a.fail(err)
}

// fail completes an attempt that got no valid response.
func (a *attempt) fail(err error) { a.complete(statusNone, err) }

// complete closes the connection and reports the result to the sender, unless the attempt is already complete.
func (a *attempt) complete(status statusCode, err error) {
	if a.done {
		return
	}
	a.done = true
	a.transport.Close()
	a.sender.attemptCompleted(a.notice, status, err)
}

package notice

import (
	"bytes"
	"time"
)

// maxResponseHead is how much of a subscriber's response is read, in bytes.
const maxResponseHead = 8 << 10

// attempt is one attempt to deliver a notice, on a connection of its own. It is the connection's handler on the event
// loop, and reports to the sender exactly once.
type attempt struct {
	sender    *Sender
	notice    *notice
	transport Transport
	deadline  time.Duration
	response  []byte // received so far
	done      bool   // it has reported
}

// DialCompleted sends the notice, signed with the time of this attempt.
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

// Data reads the status line of the final response; nothing else of it matters.
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

// skipInterimResponse reads what follows an interim response, once that is complete.
func (a *attempt) skipInterimResponse() {
	end := bytes.Index(a.response, headEnd)
	if end < 0 {
		return
	}
	rest := a.response[end+len(headEnd):]
	a.response = nil
	a.Data(rest)
}

// Closed ends the attempt: a connection that closes without a response is a failure.
func (a *attempt) Closed(err error) {
	if err == nil {
		err = errNoResponse
	}
	a.fail(err)
}

// fail ends an attempt that got no response.
func (a *attempt) fail(err error) { a.complete(statusNone, err) }

// complete ends the attempt, unless it has ended already.
func (a *attempt) complete(status statusCode, err error) {
	if a.done {
		return
	}
	a.done = true
	a.transport.Close()
	a.sender.attemptCompleted(a.notice, status, err)
}

package workerclient

import "errors"

// maxLoggedResponse is how much of a response that can't be used is logged, in bytes.
const maxLoggedResponse = 64

// Data handles data that arrived on the connection.
func (c *connection) Data(data []byte) {
	if c.state == closing {
		return
	}
	err := c.responses.feed(c.pool.now, data, c.decode)
	if err != nil {
		c.closeWithError(err)
	}
}

// decode is the framing.Decoder of responses.
func (c *connection) decode(unread []byte) (size int, err error) {
	r, size, err := decodeResponse(unread)
	if err == nil && size > 0 {
		err = c.handleResponse(&r, unread[size:])
	}
	if err != nil {
		return 0, c.pool.recordMalformedResponse(err, unread)
	}
	return size, nil
}

// recordMalformedResponse counts a violation at the start of data, and returns it with the beginning of data.
func (p *Pool) recordMalformedResponse(err error, data []byte) error {
	var violation Violation
	if !errors.As(err, &violation) {
		return err
	}
	p.Counters.MalformedResponses[violation]++
	return &MalformedResponseError{Violation: violation, Data: string(data[:min(len(data), maxLoggedResponse)])}
}

// handleResponse completes the command that a response belongs to. trailing is what arrived with the response, behind
// it. It returns an error for a response that violates the protocol.
func (c *connection) handleResponse(r *response, trailing []byte) error {
	cmd := c.commands.inFlight[string(r.id)]
	if cmd != nil {
		err := c.checkResponse(cmd, r, trailing)
		if err != nil {
			return err
		}
	}
	c.recordResponse(cmd, r.status)
	if cmd == nil {
		return nil // a duplicate, or the response to a canceled request
	}
	c.commands.remove(cmd)
	c.lastUsed = c.pool.now
	c.liveness.recordResponseTo(cmd.sendState.sentAt)
	c.pool.removeAttempt(cmd)
	cmd.kind.complete(c, *r)
	return nil
}

// checkResponse returns a Violation if a response can't be the one to a command. trailing is what arrived with the
// response, behind it.
func (c *connection) checkResponse(cmd *command, r *response, trailing []byte) error {
	switch {
	case cmd.kind.isHealthQuery() != r.status.respondsToHealthQuery():
		return MismatchedStatus
	case !cmd.sendState.written:
		return UnsolicitedResponse
	case !c.mayFollow(trailing, cmd):
		return TrailingData
	}
	return nil
}

// mayFollow reports whether data, which arrived with the response to a command and behind it, starts with another
// response or with a part of one. If it does not, the length of the response's body may have been wrong: a body holds
// any bytes, so one that is cut off at a line end looks whole. A response that belongs to another command in flight is
// the worker's next one even if it is malformed. One with an unknown id proves less: it may be a part of the body.
func (c *connection) mayFollow(data []byte, cmd *command) bool {
	for len(data) > 0 {
		id := decodeResponseID(data)
		if string(id) != cmd.id && c.commands.has(string(id)) {
			return true
		}
		_, size, err := decodeResponse(data)
		if err != nil {
			return false
		}
		if size == 0 {
			return true
		}
		data = data[size:]
	}
	return true
}

// reportedConcurrency returns how many requests for the function the worker had. An invalid number is ignored and
// logged; the rest of the response is still used.
func (c *connection) reportedConcurrency(fields responseFields) int {
	count, ok := fields.concurrency()
	if !ok {
		c.pool.ignoredFields.add(c.pool.now, c.addr, fieldConcurrency, fields.get(fieldConcurrency))
	}
	return count
}

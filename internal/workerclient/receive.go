package workerclient

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
	if err != nil || size == 0 {
		return 0, err
	}
	return size, c.handleResponse(&r)
}

// handleResponse completes the command that a response belongs to. It returns an error for a response that violates the
// protocol.
func (c *connection) handleResponse(r *response) error {
	cmd := c.commands.inFlight[string(r.id)]
	c.recordResponse(cmd, r.status)
	if cmd == nil {
		return nil // a duplicate, or the response to a canceled request
	}
	switch {
	case r.status == statusUnknown, cmd.kind.isHealthQuery() != r.status.respondsToHealthQuery():
		return ErrMalformedResponse
	case !cmd.sendState.written:
		return ErrMalformedResponse // a response to a command that was not sent
	}
	c.commands.remove(cmd)
	c.lastUsed = c.pool.now
	c.liveness.recordResponseTo(cmd.sendState.sentAt)
	c.pool.removeAttempt(cmd)
	cmd.kind.complete(c, *r)
	return nil
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

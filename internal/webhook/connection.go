package webhook

import "net/netip"

// maxDrainedBytes is how much is read and dropped behind a malformed request before its connection is closed.
const maxDrainedBytes = 256 << 10

// clientConn is what a connection writes to; an eventloop.Conn is one.
type clientConn interface {
	Write(bufs ...[]byte)
	Close()
	CloseAfterFlush()
}

// connection is a client's connection. It has one request in flight at a time; what follows it waits in buffer. It
// belongs to the event loop's goroutine.
type connection struct {
	receiver           *Receiver
	transport          clientConn
	peer               netip.AddrPort
	buffer             []byte       // received and not handled yet
	partialRequest     *httpRequest // a request whose head was received and whose body is not complete; nil: none
	closed             bool         // nothing more is handled
	responsePending    bool         // a request is in flight, to which no response was written yet
	closeAfterResponse bool
	requestCount       int // complete requests received
	drainedBytes       int // bytes read and dropped after closed
}

// Busy reports whether a request is in flight.
func (c *connection) Busy() bool { return c.responsePending }

// Messages returns how many complete requests were received, and whether the beginning of another was. What a client
// sends after the last response counts as the beginning of one.
func (c *connection) Messages() (complete int, partial bool) {
	return c.requestCount, c.closed || c.partialRequest != nil || len(c.buffer) > 0
}

// Data handles received bytes. They may split requests anywhere.
func (c *connection) Data(b []byte) {
	if c.closed {
		c.drain(len(b))
		return
	}
	c.buffer = append(c.buffer, b...)
	if c.responsePending && len(c.buffer) > maxHeadBytes+maxDeliveryBody {
		c.close() // the client goes on sending and does not wait for its response
		return
	}
	c.handleBuffered()
}

// drain counts bytes that are dropped, and closes the connection when there are too many.
func (c *connection) drain(size int) {
	c.drainedBytes += size
	if c.drainedBytes > maxDrainedBytes {
		c.transport.Close()
	}
}

// handleBuffered handles complete requests until one of them is in flight.
func (c *connection) handleBuffered() {
	for !c.responsePending && !c.closed && len(c.buffer) > 0 {
		if c.partialRequest == nil && !c.readHead() {
			return
		}
		if len(c.buffer) < c.partialRequest.bodyLength {
			return
		}
		request, body := c.takeRequest()
		c.closeAfterResponse = request.closeRequested
		c.responsePending = true
		c.requestCount++
		c.receiver.handle(c, request, body)
	}
}

// readHead reads a request's head from the buffer into partialRequest. It returns false where the head is not complete
// or was rejected.
func (c *connection) readHead() bool {
	request, size, status := parseHead(c.buffer)
	if status != statusNone {
		c.receiver.counters.Malformed++
		c.closeAfterResponse = true // where the request's body ends is unknown
		c.respond(httpResponse{status: status})
		return false
	}
	if size == 0 {
		return false
	}
	c.partialRequest = request
	c.buffer = c.buffer[size:]
	if request.expectsContinue && len(c.buffer) < request.bodyLength {
		c.transport.Write([]byte(continueResponse))
	}
	return true
}

// takeRequest removes the request whose head and body are complete from the buffer. What follows it is copied, so that
// it does not keep the request's bytes in memory.
func (c *connection) takeRequest() (request *httpRequest, body []byte) {
	request = c.partialRequest
	length := request.bodyLength
	body = c.buffer[:length:length]
	c.partialRequest = nil
	c.buffer = append([]byte(nil), c.buffer[length:]...)
	return request, body
}

// Closed ends the handling of a connection that is closed. A request in flight goes on: its sender may fetch the
// outcome with a redelivery.
func (c *connection) Closed(error) { c.stop() }

// close closes the connection at once, without a response to the request in flight.
func (c *connection) close() {
	c.stop()
	c.transport.Close()
}

// stop drops what is buffered, and all that is received from now on.
func (c *connection) stop() {
	c.closed = true
	c.buffer = nil
	c.partialRequest = nil
}

// respond writes the response to the request in flight, or to a request whose head was rejected.
func (c *connection) respond(response httpResponse) {
	requestComplete := c.responsePending
	c.responsePending = false
	if c.closed {
		return
	}
	disposition := keepConnection
	if c.closeAfterResponse {
		disposition = closeConnection
	}
	head := response.appendHead(make([]byte, 0, responseHeadCapacity), disposition)
	c.transport.Write(head, response.body)
	if !c.closeAfterResponse {
		return
	}
	c.stop()
	if requestComplete {
		c.transport.CloseAfterFlush()
	}
	// Else the client is still sending, and closing now would reset the connection and lose the response with it. It is
	// closed by the client, beyond maxDrainedBytes, or when it has been idle for too long.
}

package webhook

import (
	"bytes"
	"net/netip"
)

// maxDrainedBytes is how many bytes after a malformed request are read and discarded before its connection is closed.
const maxDrainedBytes = 256 << 10

// clientConn is the transport of a connection. *eventloop.Conn implements it.
type clientConn interface {
	Write(bufs ...[]byte)
	Close()
	CloseAfterFlush()
}

// connection is a client's connection. It has at most one request in flight; bytes received after that request wait in
// buffer. It must only be used on the event loop's goroutine.
type connection struct {
	receiver           *Receiver
	transport          clientConn
	peer               netip.AddrPort
	buffer             []byte       // bytes that were received and are not handled yet
	partialRequest     *httpRequest // the request at the start of buffer if its head is complete; nil otherwise
	headSize           int          // of partialRequest's head
	hasHandled         bool         // buffer shares its memory with requests that were handled
	closed             bool         // no more requests are handled
	responsePending    bool         // a request is in flight: no response to it was written yet
	closeAfterResponse bool
	requestCount       int // complete requests received
	drainedBytes       int // bytes discarded since closed was set
}

// Busy reports whether a request is in flight.
func (c *connection) Busy() bool { return c.responsePending }

// Messages returns how many complete requests were received, and whether part of another one was. Anything that a
// client sends after the last response on a connection counts as part of a request.
func (c *connection) Messages() (complete int, partial bool) {
	return c.requestCount, c.closed || c.partialRequest != nil || len(c.buffer) > 0
}

// Buffered returns the bytes of memory that the requests which are not handled yet take.
func (c *connection) Buffered() int { return cap(c.buffer) }

// Data handles received bytes. A request may be split over several calls at any byte.
func (c *connection) Data(b []byte) {
	if c.closed {
		c.drain(len(b))
		return
	}
	c.buffer = append(c.buffer, b...)
	if c.responsePending && len(c.buffer) > maxHeadBytes+maxDeliveryBody {
		c.close() // the client keeps sending without waiting for its response
		return
	}
	c.handleBuffered()
}

// drain counts bytes that are discarded, and closes the connection when they exceed maxDrainedBytes.
func (c *connection) drain(size int) {
	c.drainedBytes += size
	if c.drainedBytes > maxDrainedBytes {
		c.transport.Close()
	}
}

// handleBuffered handles the complete requests in the buffer, until one of them waits for its response.
func (c *connection) handleBuffered() {
	c.handleComplete()
	c.compact()
}

// handleComplete handles the complete requests in the buffer, until one of them waits for its response, and leaves the
// rest in the buffer.
func (c *connection) handleComplete() {
	for !c.responsePending && !c.closed && len(c.buffer) > 0 {
		if c.partialRequest == nil && !c.readHead() {
			return
		}
		if len(c.buffer) < c.headSize+c.partialRequest.bodyLength {
			return
		}
		request, body := c.takeRequest()
		c.closeAfterResponse = request.closeRequested
		c.responsePending = true
		c.requestCount++
		c.receiver.handle(c, request, body)
	}
}

// readHead reads a request's head from the buffer into partialRequest. It returns false if the head is not complete or
// was rejected.
func (c *connection) readHead() bool {
	request, size, status := parseHead(c.buffer)
	if status != statusNone {
		c.receiver.counters.Malformed++
		c.closeAfterResponse = true // it is unknown where the request's body ends
		c.respond(httpResponse{status: status})
		return false
	}
	if size == 0 {
		return false
	}
	c.partialRequest = request
	c.headSize = size
	if request.expectsContinue && len(c.buffer) < size+request.bodyLength {
		c.transport.Write([]byte(continueResponse))
	}
	return true
}

// takeRequest removes the complete request at the front of the buffer and returns it.
func (c *connection) takeRequest() (request *httpRequest, body []byte) {
	request = c.partialRequest
	end := c.headSize + request.bodyLength
	body = c.buffer[c.headSize:end:end]
	c.partialRequest = nil
	c.buffer = c.buffer[end:]
	c.hasHandled = true
	return request, body
}

// compact copies what is left in the buffer after requests were handled, so that it does not keep their bytes in
// memory. It is called once for all of them: a client may send hundreds of requests at once.
func (c *connection) compact() {
	if !c.hasHandled {
		return
	}
	c.hasHandled = false
	c.buffer = bytes.Clone(c.buffer)
	if c.partialRequest != nil {
		c.partialRequest, c.headSize, _ = parseHead(c.buffer) // its slices point into the copy
	}
}

// Closed is called when the connection has closed. A request in flight continues, since its sender can get the outcome
// with a redelivery.
func (c *connection) Closed(error) { c.stop() }

// close closes the connection immediately, without a response to the request in flight.
func (c *connection) close() {
	c.stop()
	c.transport.Close()
}

// stop discards the buffered bytes and all bytes that are received from now on.
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
	// Otherwise the client is still sending. Closing now would reset the connection, and the client could lose the
	// response. The connection is closed by the client, after maxDrainedBytes, or when it has been idle for too long.
}

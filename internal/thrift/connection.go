package thrift

import (
	"bytes"
	"encoding/binary"
	"math"
	"net/netip"

	"crankhold/internal/framing"
	"crankhold/internal/router"
)

// maxOpenRequests is the number of requests that may be open on one connection. Clients keep at most 32 open. The limit
// is higher, because a client may not have received a response yet. Requests over the limit are rejected, so that a
// client that sends hundreds at once leaves capacity for others.
const maxOpenRequests = 64

// Transport is a connection to a client. An eventloop.Conn implements it.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
}

// connection is a client's connection. It belongs to the event loop's goroutine and implements
// eventloop.AcceptedHandler.
type connection struct {
	front        *Front
	transport    Transport
	peer         netip.AddrPort
	partial      framing.Buffer          // the received part of an incomplete frame
	open         map[uint32]*openRequest // by sequence number
	lastSequence uint32                  // the sequence number of the latest execute, the highest one
	messageCount int                     // complete messages received
	closed       bool
}

// Busy reports whether requests are open.
func (c *connection) Busy() bool { return len(c.open) > 0 }

// Messages returns how many complete messages were received, and whether a part of another one was received.
func (c *connection) Messages() (complete int, inProgress bool) {
	return c.messageCount, c.partial.Len() > 0
}

// Buffered returns the bytes of memory that the incomplete frame takes.
func (c *connection) Buffered() int { return c.partial.Cap() }

// Data handles received bytes. A frame may be split over any number of calls.
func (c *connection) Data(b []byte) {
	if c.closed {
		return
	}
	frames, err := c.partial.Feed(b, c.handleFrame)
	switch {
	case err != nil:
		c.closeMalformed(err)
	case c.closed:
		c.partial.Reset() // one of the frames closed the connection: the bytes after it are ignored
	case frames > 0:
		c.partial.Compact() // many clients may be connected, so none may retain a buffer of its largest frame's size
	}
}

// handleFrame implements framing.Decoder: it handles the first frame of the unread bytes and returns its size, or 0 if
// the frame is incomplete. It handles nothing if an earlier frame has closed the connection.
func (c *connection) handleFrame(unread []byte) (size int, err error) {
	if c.closed || len(unread) < frameLengthBytes {
		return 0, nil
	}
	length := binary.BigEndian.Uint32(unread)
	if length > maxFrameBytes {
		return 0, errMalformedMessage
	}
	size = frameLengthBytes + int(length)
	if len(unread) < size {
		return 0, nil
	}
	c.messageCount++
	return size, c.handleMessage(unread[frameLengthBytes:size])
}

// closeMalformed closes the connection because its client has violated the protocol.
func (c *connection) closeMalformed(err error) {
	c.front.logClosedConnection(err)
	c.transport.Close()
	c.cancelAll()
}

// Closed cancels all open requests, because nobody waits for their responses any longer.
func (c *connection) Closed(error) { c.cancelAll() }

// cancelAll cancels all open requests and makes the connection ignore all bytes that are received later.
func (c *connection) cancelAll() {
	c.closed = true
	c.partial.Reset()
	for _, request := range c.open {
		request.cancel()
	}
}

// handleMessage handles a message. It returns an error if the client has violated the protocol.
func (c *connection) handleMessage(message []byte) error {
	d := decoder{remaining: message}
	header, err := d.messageHeader()
	if err != nil {
		return err
	}
	switch header.kind {
	case messageCall:
		return c.handleCall(&d, header)
	case messageOneway:
		return c.handleOneway(&d, header)
	}
	return errMalformedMessage
}

// handleCall handles a message of kind call. Each gets a reply, except for an interrupt.
func (c *connection) handleCall(d *decoder, header messageHeader) error {
	switch header.name {
	case methodExecute:
		return c.handleExecute(d, header.sequence)
	case methodInterrupt:
		return c.handleInterrupt(d)
	case methodCheck:
		return c.handleCheck(d, header.sequence)
	}
	c.transport.Write(encodeUnknownMethod(header.name, header.sequence))
	return nil
}

// handleOneway handles a message of kind oneway, which gets no reply. Methods other than interrupt are ignored, because
// their results could not be returned.
func (c *connection) handleOneway(d *decoder, header messageHeader) error {
	if header.name == methodInterrupt {
		return c.handleInterrupt(d)
	}
	return nil
}

// handleExecute passes a request to the core. If a field of the request is invalid, the reply is a Lost exception. A
// malformed message is an error.
func (c *connection) handleExecute(d *decoder, sequence uint32) error {
	fields, body, err := d.executeArguments()
	if err != nil {
		return err
	}
	// Sequence numbers must increase. If one were used again, a reply could be taken for that of the earlier request.
	if sequence <= c.lastSequence || sequence > math.MaxInt32 || len(body) > maxBodyBytes {
		return errMalformedMessage
	}
	c.lastSequence = sequence
	request, rejected := c.front.decodeRequest(fields)
	if rejected != nil {
		c.front.logRejectedRequest(rejected)
		c.transport.Write(encodeLost(sequence, detailReason, rejected.Field))
		return nil
	}
	request.Client.Address = c.peer
	c.acceptRequest(sequence, request, body)
	return nil
}

// acceptRequest passes a request to the core, which rejects it if maxOpenRequests requests are open already.
func (c *connection) acceptRequest(sequence uint32, request router.Request, body []byte) {
	front := c.front
	opened := &openRequest{connection: c, sequence: sequence}
	request.Responder = opened
	if len(c.open) >= maxOpenRequests {
		front.core.RejectAtCapacity(front.clock.Now(), request)
		return
	}
	request.Body = bytes.Clone(body) // body is a slice of the read buffer, which it would keep in memory
	c.open[sequence] = opened
	id := front.core.Accept(front.clock.Now(), request)
	if !opened.responseSettled {
		opened.id = id
	}
}

// handleInterrupt cancels the request whose sequence number the message contains, if it is open.
func (c *connection) handleInterrupt(d *decoder) error {
	var sequence uint32
	err := d.arguments(func(wireType byte, id uint16) bool {
		if id != interruptSequence || wireType != wireI32 {
			return false
		}
		sequence = d.uint32()
		return true
	})
	if err != nil {
		return err
	}
	if request := c.open[sequence]; request != nil {
		request.cancel()
	}
	return nil
}

// handleCheck replies whether the router is ready. Arguments are ignored.
func (c *connection) handleCheck(d *decoder, sequence uint32) error {
	skipField := func(byte, uint16) bool { return false }
	if err := d.arguments(skipField); err != nil {
		return err
	}
	head, tail := encodeAnswer(methodCheck, sequence, answer{ok: c.front.ready()})
	c.transport.Write(head, tail)
	return nil
}

package thrift

import (
	"bytes"
	"encoding/binary"
	"math"
	"net/netip"

	"crankhold/internal/framing"
	"crankhold/internal/router"
)

// maxOpenRequests is how many requests one connection may have open. Clients keep to 32, but may not have received
// a response yet. More are rejected, so that a client that sends hundreds at once leaves capacity to others.
const maxOpenRequests = 64

// Transport is a connection to a client; an eventloop.Conn is one.
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
	partial      framing.Buffer          // the beginning of an incomplete frame
	open         map[uint32]*openRequest // by sequence number
	lastSequence uint32                  // the highest sequence number of an execute
	messageCount int                     // complete messages received
	closed       bool
}

// Busy reports whether responses are owed.
func (c *connection) Busy() bool { return len(c.open) > 0 }

// Messages returns how many complete messages were received, and whether the beginning of another was.
func (c *connection) Messages() (complete int, inProgress bool) {
	return c.messageCount, c.partial.Len() > 0
}

// Data handles received bytes, in which frames may be split in any way.
func (c *connection) Data(b []byte) {
	if c.closed {
		return
	}
	frames, err := c.partial.Feed(b, c.handleFrame)
	switch {
	case err != nil:
		c.closeMalformed(err)
	case c.closed:
		c.partial.Reset() // one of the frames closed the connection: what follows it is ignored
	case frames > 0:
		c.partial.Compact() // many clients may be connected: none keeps the memory of its largest frame
	}
}

// handleFrame is the framing.Decoder of frames: it handles the first one of what was received and returns its size, or
// 0 while the frame is incomplete. Nothing is handled on a connection that handling an earlier frame has closed.
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

// closeMalformed closes the connection of a client that broke the protocol.
func (c *connection) closeMalformed(err error) {
	c.front.logClosedConnection(err)
	c.transport.Close()
	c.cancelAll()
}

// Closed cancels all open requests: nobody waits for their responses.
func (c *connection) Closed(error) { c.cancelAll() }

// cancelAll cancels all open requests and ignores whatever is received from now on.
func (c *connection) cancelAll() {
	c.closed = true
	c.partial.Reset()
	for _, request := range c.open {
		request.cancel()
	}
}

// handleMessage handles a message. An error says that the client broke the protocol.
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

// handleCall handles a message that is answered, except for an interrupt, which has no reply.
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

// handleOneway handles a message that has no reply. Methods other than interrupt are ignored, since their outcome could
// not be reported.
func (c *connection) handleOneway(d *decoder, header messageHeader) error {
	if header.name == methodInterrupt {
		return c.handleInterrupt(d)
	}
	return nil
}

// handleExecute hands a request to the core. A field that can't be used is answered with a failure; a message whose
// form is wrong is an error.
func (c *connection) handleExecute(d *decoder, sequence uint32) error {
	fields, body, err := d.executeArguments()
	if err != nil {
		return err
	}
	// Sequence numbers increase. Under one that was used before, a reply could be taken for the other request's.
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

// acceptRequest opens a request and hands it to the core, or has the core reject it where too many are open.
func (c *connection) acceptRequest(sequence uint32, request router.Request, body []byte) {
	front := c.front
	opened := &openRequest{connection: c, sequence: sequence}
	request.Responder = opened
	if len(c.open) >= maxOpenRequests {
		front.core.RejectUnaccepted(front.clock.Now(), request)
		return
	}
	request.Body = bytes.Clone(body) // a slice of the read would keep the whole read in memory
	c.open[sequence] = opened
	id := front.core.Accept(front.clock.Now(), request)
	if !opened.responseSettled {
		opened.id = id
	}
}

// handleInterrupt cancels the request that the message names, if it is open.
func (c *connection) handleInterrupt(d *decoder) error {
	var sequence uint32
	err := d.structFields(func(wireType byte, id uint16) bool {
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

// handleCheck answers whether the router is ready. Arguments are ignored.
func (c *connection) handleCheck(d *decoder, sequence uint32) error {
	skipField := func(byte, uint16) bool { return false }
	if err := d.structFields(skipField); err != nil {
		return err
	}
	head, tail := encodeAnswer(methodCheck, sequence, answer{ok: c.front.ready()})
	c.transport.Write(head, tail)
	return nil
}

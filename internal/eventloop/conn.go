package eventloop

import (
	"errors"
	"net"
	"net/netip"

	"github.com/lesismal/nbio"
)

// Conn is a connection as its handler sees it. Its methods run on the loop's goroutine, which owns its fields; only
// reader and writer say what they share with pollers.
type Conn struct {
	loop       *Loop
	socket     *nbio.Conn // nil until a dial has succeeded
	accept     acceptFunc // of an accepted connection; nil when no listener has its address
	isAccepted bool       // by a listener; otherwise this program opened it
	handler    Handler    // of an accepted connection: nil until the turn in which the loop accepts it
	state      connState
	activity   clientActivity // of an accepted connection
	reader     connReader
	writer     connWriter
}

// connState is how far a connection has come. The loop's goroutine owns it.
type connState struct {
	established       bool // the connection is open, and its handler knows
	closingAfterFlush bool // the sweep closes it once the peer has read what was written
	closed            bool // by this side: nothing more is written to it or handled of it
	closeReported     bool // the poller reported its end
	cause             EndCause
}

// newAcceptedConn returns a connection that a listener has accepted. accept is nil when no listener has its address. A
// listener's goroutine calls it.
func newAcceptedConn(loop *Loop, socket *nbio.Conn, accept acceptFunc) *Conn {
	c := &Conn{
		loop:       loop,
		socket:     socket,
		accept:     accept,
		isAccepted: true,
		writer:     connWriter{total: loop.unread},
	}
	c.reader = connReader{conn: c, queue: loop.queue, read: loop.read}
	return c
}

// newDialedConn returns a connection that this program is about to open.
func newDialedConn(loop *Loop, network string, handler DialHandler) *Conn {
	c := &Conn{
		loop:    loop,
		handler: handler,
		writer:  connWriter{total: loop.unread, isUnixSocket: network == "unix"},
	}
	c.reader = connReader{conn: c, queue: loop.queue, read: loop.read}
	return c
}

// RemoteAddr is the address of the peer. It is zero when the peer has no TCP address.
func (c *Conn) RemoteAddr() netip.AddrPort {
	addr, ok := c.socket.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// Write queues buffers for the end of the turn. The connection keeps them until then.
func (c *Conn) Write(bufs ...[]byte) {
	if c.state.closed {
		return
	}
	if c.writer.queue(bufs) {
		c.loop.flushes.add(c)
	}
	c.activity.recordResponse(c.loop.now)
}

// Close closes the connection and drops what this turn queued for it. Its handler's Closed is called in a later turn,
// if the connection was ever established.
func (c *Conn) Close() { c.closeFor(ClosedByHandler) }

// closeFor closes the connection for a cause, unless it is closed already.
func (c *Conn) closeFor(cause EndCause) {
	if !c.state.closed {
		c.state.cause = cause
		c.closeWithError(nil)
	}
}

// CloseAfterFlush writes what is queued, and closes the connection once the peer has read it.
func (c *Conn) CloseAfterFlush() {
	if !c.state.closed && c.state.established {
		err := c.writeQueued()
		if err != nil {
			c.closeWithError(err)
		}
		c.writer.clear()
		if err == nil && c.writer.hasUnread() {
			c.state.closingAfterFlush = true // the sweep also closes it when its peer reads nothing
			return
		}
	}
	c.Close()
}

// UnsentBytes is the number of bytes that never left this program, of those that were written last to a connection that
// has ended: the kernel did not accept them. The others may have reached the peer.
func (c *Conn) UnsentBytes() int { return c.writer.unsent() }

// flush writes what is queued, and reports whether nothing has to be written again.
func (c *Conn) flush() bool {
	switch {
	case c.state.closed || !c.state.established:
		c.writer.countQueuedAsUnsent()
	case c.writer.isUnixSocket:
		done, err := c.writeUnix()
		if err == nil && !done {
			return false
		}
		if err != nil {
			c.writer.countQueuedAsUnsent()
			c.closeWithError(err)
		}
	default:
		err := c.writeQueued()
		if err != nil {
			c.closeWithError(err)
		}
	}
	c.writer.clear()
	return true
}

// writeUnix writes what is queued for a Unix socket, and reports whether the kernel accepted it all.
func (c *Conn) writeUnix() (done bool, err error) {
	err = c.loop.descriptors.write(func() error {
		done, err = c.writer.writeUnix(c.socket)
		return err
	})
	return done, err
}

// writeQueued writes what is queued for a socket other than a Unix socket. It returns a SlowPeerError when the peer
// has bytes to read and all peers together leave too many unread.
func (c *Conn) writeQueued() error {
	err := c.loop.descriptors.write(func() error { return c.writer.write(c.socket) })
	if err != nil {
		return err
	}
	unread := c.writer.unreadBytes.Load()
	if unread > 0 && c.loop.unread.isExceeded() {
		return &SlowPeerError{Addr: c.RemoteAddr(), UnreadBytes: int(unread)}
	}
	return nil
}

// receive passes data to the handler.
func (c *Conn) receive(data []byte) {
	c.reader.recordHandled()
	if c.handler == nil || c.state.closed {
		return
	}
	c.handler.Data(data)
	c.recordMessages()
}

// recordMessages records what messages an accepted connection has sent.
func (c *Conn) recordMessages() {
	handler, ok := c.handler.(AcceptedHandler)
	if ok {
		messages, partial := handler.Messages()
		c.activity.recordMessages(c.loop.now, messages, partial)
	}
}

// dialCompleted records the result of a dial: a socket, or the error that it failed with.
func (c *Conn) dialCompleted(socket *nbio.Conn, err error) {
	c.socket = socket
	if c.state.closed { // the handler closed the connection during the dial
		if socket != nil {
			c.loop.descriptors.close(socket, nil)
		}
		return
	}
	if c.state.closeReported { // the connection ended before the loop handled the dial's success
		err = errors.Join(err, net.ErrClosed)
	}
	c.state.established = err == nil
	c.state.closed = err != nil
	c.handler.(DialHandler).DialCompleted(err)
}

// connectionClosed records that the poller reported the end, and reports whether it is the first report.
func (c *Conn) connectionClosed() (first bool) {
	c.writer.connectionClosed()
	first = !c.state.closeReported
	c.state.closeReported = true
	return first
}

// notifyClosed notifies the handler of the end, if it knows of the connection.
func (c *Conn) notifyClosed(err error) {
	if c.handler != nil && c.state.established {
		c.state.closed = true
		c.handler.Closed(err)
	}
}

// isBusy reports whether a response is due on an accepted connection.
func (c *Conn) isBusy() bool { return c.handler.(AcceptedHandler).Busy() }

// owesResponse reports whether a response on an accepted connection is due, or has yet to leave. Closing the connection
// would drop what is queued, and with it the only response to a request.
func (c *Conn) owesResponse() bool { return c.isBusy() || !c.writer.isEmpty() }

// closeIfIdle closes an accepted connection for a cause if no response is due on it and nothing has arrived, and
// reports whether it did.
func (c *Conn) closeIfIdle(cause EndCause) bool {
	if c.state.closed || c.owesResponse() {
		return false
	}
	return c.reader.stopIfDrained(c.socket, c.loop.clients.readBuffer, func() { c.closeFor(cause) })
}

// closeWithError closes the connection with the error that its handler's Closed receives in a later turn.
func (c *Conn) closeWithError(err error) {
	c.state.closed = true
	if err != nil && !isConnClosed(err) {
		c.state.cause = ClosedAfterFailure
	}
	if c.socket != nil {
		c.loop.descriptors.close(c.socket, err)
	}
}

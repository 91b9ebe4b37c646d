package eventloop

import (
	"errors"
	"net"
	"net/netip"
	"strings"

	"github.com/lesismal/nbio"
)

// Conn is a connection as its handler sees it. Its methods run on the loop's goroutine, which owns its fields. Only
// reader and writer share state with the polling goroutine, as their types describe.
type Conn struct {
	loop       *Loop
	socket     *nbio.Conn // nil until a dial succeeds
	accept     acceptFunc // of an accepted connection; nil if no listener has its address
	isAccepted bool       // a listener accepted it; otherwise this program dialed it
	handler    Handler    // of an accepted connection: nil until the loop has handled its accept
	state      connState
	activity   clientActivity // of an accepted connection

	partialBytes int // memory of an accepted connection's incomplete message; owned by partialMessages
	reader       connReader
	writer       connWriter
}

// connState is the state of a connection. The loop's goroutine owns it.
type connState struct {
	established       bool // the connection is open, and its handler has been notified
	closingAfterFlush bool // the sweep closes it once the peer has read all responses
	closed            bool // nothing more is written to it or passed to its handler's Data
	closeReported     bool // the poller has reported that the connection is closed
	cause             CloseCause
}

// newAcceptedConn returns a connection that a listener has accepted. accept is nil if no listener has its address. It
// is called on a listener's goroutine.
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

// newDialedConn returns a connection that this program is about to dial.
func newDialedConn(loop *Loop, network string, handler DialHandler) *Conn {
	c := &Conn{
		loop:    loop,
		handler: handler,
		writer:  connWriter{total: loop.unread, isUnixSocket: network == "unix"},
	}
	isDatagrams := strings.HasPrefix(network, "udp")
	c.reader = connReader{conn: c, queue: loop.queue, read: loop.read, isDatagrams: isDatagrams}
	return c
}

// RemoteAddr returns the address of the peer. It is zero if the peer has no TCP address.
func (c *Conn) RemoteAddr() netip.AddrPort {
	addr, ok := c.socket.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// Write queues buffers that are written at the end of the turn. The connection owns them until then.
func (c *Conn) Write(bufs ...[]byte) {
	if c.state.closed {
		return
	}
	if c.writer.queue(bufs) {
		c.loop.flushes.add(c)
	}
	c.activity.recordResponse(c.loop.now)
}

// Close closes the connection and drops what this turn has queued for it. If the connection was ever established, its
// handler's Closed is called in a later turn.
func (c *Conn) Close() { c.closeFor(ClosedByHandler) }

// closeFor closes the connection and records the cause, unless it is closed already.
func (c *Conn) closeFor(cause CloseCause) {
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
			c.state.closingAfterFlush = true // if the peer reads nothing, the sweep closes it after a timeout
			return
		}
	}
	c.Close()
}

// UnsentBytes returns the number of bytes that the kernel did not accept before the connection was closed. They are the
// last bytes that were written to it. The bytes before them may have reached the peer.
func (c *Conn) UnsentBytes() int { return c.writer.unsent() }

// flush writes what is queued. It returns false if the connection has to be flushed again in the next turn.
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

// writeUnix writes what is queued for a Unix socket, and reports whether nothing is left in the queue.
func (c *Conn) writeUnix() (done bool, err error) {
	err = c.loop.descriptors.write(func() error {
		done, err = c.writer.writeUnix(c.socket)
		return err
	})
	return done, err
}

// writeQueued writes what is queued for a socket other than a Unix socket. It returns a SlowPeerError if this peer has
// unread bytes while all peers together leave too many bytes unread.
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

// receive passes received data to the handler.
func (c *Conn) receive(data []byte) {
	if c.handler == nil || c.state.closed {
		return
	}
	c.handler.Data(data)
	c.recordMessages()
}

// recordMessages records how many messages an accepted connection has sent, and how much memory the next one takes.
func (c *Conn) recordMessages() {
	handler, ok := c.handler.(AcceptedHandler)
	if ok {
		messages, partial := handler.Messages()
		c.activity.recordMessages(c.loop.now, messages, partial)
		c.loop.clients.recordPartial(c, handler.Buffered())
	}
}

// dialCompleted records the result of a dial, which is either a socket or an error.
func (c *Conn) dialCompleted(socket *nbio.Conn, err error) {
	c.socket = socket
	if c.state.closed { // the handler closed the connection during the dial
		if socket != nil {
			c.loop.descriptors.close(socket, nil)
		}
		return
	}
	if c.state.closeReported { // the connection was closed before the loop handled the dial
		err = errors.Join(err, net.ErrClosed)
	}
	c.state.established = err == nil
	c.state.closed = err != nil
	c.handler.(DialHandler).DialCompleted(err)
}

// connectionClosed records a report by the poller that the connection is closed. It returns whether this is the first
// report.
func (c *Conn) connectionClosed() (first bool) {
	c.writer.connectionClosed()
	first = !c.state.closeReported
	c.state.closeReported = true
	return first
}

// notifyClosed notifies the handler that the connection is closed, if it was notified that the connection was
// established.
func (c *Conn) notifyClosed(err error) {
	if c.handler != nil && c.state.established {
		c.state.closed = true
		c.handler.Closed(err)
	}
}

// isBusy reports whether a response is due on an accepted connection.
func (c *Conn) isBusy() bool { return c.handler.(AcceptedHandler).Busy() }

// owesResponse reports whether a response on an accepted connection is due, or has not been accepted by the kernel yet.
// Closing the connection would drop queued bytes, which may be the only response to a request.
func (c *Conn) owesResponse() bool { return c.isBusy() || !c.writer.isEmpty() }

// closeIfIdle closes an accepted connection and records the cause, if no response is due on it and no unhandled data
// has arrived. It reports whether it closed the connection.
func (c *Conn) closeIfIdle(cause CloseCause) bool {
	if c.state.closed || c.owesResponse() {
		return false
	}
	return c.reader.stopIfDrained(c.socket, c.loop.clients.readBuffer, func() { c.closeFor(cause) })
}

// closeWithError closes the connection. Its handler's Closed receives err in a later turn.
func (c *Conn) closeWithError(err error) {
	c.state.closed = true
	if err != nil && !isConnClosed(err) {
		c.state.cause = ClosedAfterFailure
	}
	if c.socket != nil {
		c.loop.descriptors.close(c.socket, err)
	}
}

package eventloop

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// Conn is a connection as its handler sees it. Its methods are for the loop's goroutine.
type Conn struct {
	loop       *Loop
	socket     *nbio.Conn // nil until a dial has come up
	accept     acceptFunc // of an accepted connection; nil where no listener has its address
	isAccepted bool       // by a listener; else this program opened it
	handler    Handler    // of an accepted connection from the turn on in which it is accepted

	isUnix         bool // it is a Unix socket, which this program opened
	established    bool // it came up, and its handler knows
	closeOnceTaken bool // by sweep, once the peer has taken what was written
	closed         bool // by this side: nothing is written to it or taken from it any more
	ended          bool // the poller reported its end

	outgoing     [][]byte     // what this turn writes
	unreadByPeer atomic.Int64 // bytes that the peer has yet to take; the poller takes them off
	unsentBytes  int          // that had not left when it ended
	activity     clientActivity

	reading        sync.Mutex   // held while the connection is read
	readingStopped bool         // nothing more is read; guarded by reading
	queuedReads    atomic.Int32 // reads that wait for the loop
}

// RemoteAddr is the address at the other end.
func (c *Conn) RemoteAddr() netip.AddrPort {
	addr, ok := c.socket.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// receive hands data to the handler.
func (c *Conn) receive(data []byte) {
	c.queuedReads.Add(-1)
	if c.handler == nil || c.closed {
		return
	}
	c.handler.Data(data)
	c.noteMessages()
}

// Close ends the connection; what this turn queued for it is dropped. Its handler's Closed is called in a later turn,
// if it ever was up.
func (c *Conn) Close() {
	if !c.closed {
		c.fail(nil)
	}
}

// CloseAfterFlush writes what is queued and closes once the peer has taken it.
func (c *Conn) CloseAfterFlush() {
	if !c.closed && c.established {
		err := c.writeOutgoing()
		if err != nil {
			c.fail(err)
		}
		c.outgoing = c.outgoing[:0]
		if err == nil && c.unreadByPeer.Load() > 0 {
			c.closeOnceTaken = true // by sweep, which also ends one that takes nothing
			return
		}
	}
	c.Close()
}

// fail closes the connection for a reason; the handler hears of it in a later turn.
func (c *Conn) fail(err error) {
	c.closed = true
	if c.socket != nil {
		c.socket.CloseWithError(err)
	}
}

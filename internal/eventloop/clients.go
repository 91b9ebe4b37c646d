package eventloop

import (
	"log/slog"
	"time"
)

const (
	// sweepInterval is the minimum time between two sweeps for clients that have timed out.
	sweepInterval = 200 * time.Millisecond
	// rejectionLogInterval is the minimum time between two log lines about rejected connections. A flood of connections
	// would otherwise fill the log.
	rejectionLogInterval = time.Second
)

// acceptedClients holds the open accepted connections that the loop has handled. The loop's goroutine owns it, so it
// needs no lock.
type acceptedClients struct {
	conns      map[*Conn]struct{}
	readBuffer []byte        // for the read before an idle connection is closed
	isClosing  bool          // closeAll was called: each connection is closed once it is idle
	sweptAt    time.Duration // time of the last sweep
	partial    partialMessages
	rejections rejectionLog
	lost       lostLog
}

// newAcceptedClients returns an empty set of connections.
func newAcceptedClients(logger *slog.Logger) *acceptedClients {
	return &acceptedClients{
		conns:      map[*Conn]struct{}{},
		readBuffer: make([]byte, readBufferSize),
		rejections: rejectionLog{logger: logger},
		lost:       lostLog{logger: logger},
	}
}

// add adds a connection that a listener has admitted, and creates its handler.
func (a *acceptedClients) add(c *Conn, now time.Duration) {
	if c.accept == nil {
		c.Close()
		return
	}
	c.state.established = true
	c.activity.activeAt = now
	a.conns[c] = struct{}{}
	c.handler = c.accept(c)
}

// remove removes a closed connection. It does nothing for connections that are not in the set.
func (a *acceptedClients) remove(c *Conn) {
	a.partial.record(c, 0)
	delete(a.conns, c)
}

// unwrittenBytes returns the number of bytes for clients that the kernel has not accepted yet.
func (a *acceptedClients) unwrittenBytes() (sum int) {
	for c := range a.conns {
		sum += c.writer.pendingBytes()
	}
	return sum
}

// closeOneIdle closes one connection on which no response is due, to free its slot, and reports whether there was one.
// Silent connections are closed first, then those that have been idle for longest. Connections that have just been
// opened are closed last. This way, a flood of silent connections displaces only itself, and not clients that have sent
// requests or whose request is on its way.
func (a *acceptedClients) closeOneIdle(now time.Duration) bool {
	skipped := map[*Conn]bool{} // connections with data that the loop has not handled yet
	for {
		idle := a.firstToClose(now, skipped)
		if idle == nil {
			return false
		}
		if idle.closeIfIdle(ClosedForCapacity) {
			return true
		}
		skipped[idle] = true
	}
}

// firstToClose returns the idle connection that is to be closed first, ignoring those in skipped. It returns nil if
// there is none.
func (a *acceptedClients) firstToClose(now time.Duration, skipped map[*Conn]bool) *Conn {
	var first *Conn
	for c := range a.conns {
		if c.state.closed || skipped[c] || c.owesResponse() {
			continue
		}
		if first == nil || c.activity.closesBefore(&first.activity, now) {
			first = c
		}
	}
	return first
}

// closeAll makes endTurn close each connection as soon as it is idle.
func (a *acceptedClients) closeAll() { a.isClosing = true }

// endTurn closes idle connections if closeAll was called, and runs a sweep if one is due.
func (a *acceptedClients) endTurn(now time.Duration) {
	if a.isClosing {
		a.closeIfIdle()
	}
	if now-a.sweptAt > sweepInterval {
		a.sweep(now)
	}
}

// closeIfIdle closes each connection on which no response is due and no part of a message has arrived.
func (a *acceptedClients) closeIfIdle() {
	for c := range a.conns {
		if !c.activity.hasPartialMessage() {
			c.closeIfIdle(ClosedForShutdown)
		}
	}
}

// sweep closes the connections that have timed out, and logs how many connections were rejected.
func (a *acceptedClients) sweep(now time.Duration) {
	a.sweptAt = now
	for c := range a.conns {
		c.closeIfTimedOut(now)
	}
	a.rejections.log(now)
}

// closeIfTimedOut closes an accepted connection that has timed out. It also closes one that CloseAfterFlush left open,
// once its peer has read the last response.
func (c *Conn) closeIfTimedOut(now time.Duration) {
	hasUnread := c.writer.hasUnread()
	switch {
	case c.state.closingAfterFlush && !hasUnread:
		c.Close()
	case !c.activity.timedOut(now, hasUnread) || c.isBusy():
	case hasUnread || c.activity.hasPartialMessage(): // the peer reads or writes too slowly
		c.closeFor(ClosedForTimeout)
	default:
		c.closeIfIdle(ClosedForTimeout)
	}
}

// rejectionLog counts rejected connections and logs their number. The loop's goroutine owns it.
type rejectionLog struct {
	logger   *slog.Logger
	count    int // rejected since the last log line
	loggedAt time.Duration
}

// log writes a line with the number of connections rejected since the last line, at most once per rejectionLogInterval.
func (r *rejectionLog) log(now time.Duration) {
	if r.count == 0 || now-r.loggedAt <= rejectionLogInterval {
		return
	}
	r.logger.Warn("client_connections_rejected", slog.Int("count", r.count), slog.Any("err", ErrTooManyConnections))
	r.count = 0
	r.loggedAt = now
}

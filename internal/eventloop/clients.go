package eventloop

import (
	"log/slog"
	"time"
)

const (
	// sweepInterval is the time between two searches for clients that have timed out.
	sweepInterval = 200 * time.Millisecond
	// rejectionLogInterval is how often rejected connections are logged at most: a flood would fill the log.
	rejectionLogInterval = time.Second
)

// acceptedClients holds the accepted connections that the loop has seen and that have not ended. The loop's goroutine
// owns it, so that it needs no lock.
type acceptedClients struct {
	conns      map[*Conn]struct{}
	readBuffer []byte        // what is read into before a connection is closed
	isClosing  bool          // closeAll was called: each connection is closed once it is at rest
	sweptAt    time.Duration // when the last sweep was
	rejections rejectionLog
}

// newAcceptedClients returns a set without connections.
func newAcceptedClients(logger *slog.Logger) *acceptedClients {
	return &acceptedClients{
		conns:      map[*Conn]struct{}{},
		readBuffer: make([]byte, readBufferSize),
		rejections: rejectionLog{logger: logger},
	}
}

// add adds a connection, which a listener has admitted, and makes its handler.
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

// remove removes a connection that has ended. It does nothing for others.
func (a *acceptedClients) remove(c *Conn) { delete(a.conns, c) }

// unwrittenBytes is the number of bytes that have yet to leave this program.
func (a *acceptedClients) unwrittenBytes() (sum int) {
	for c := range a.conns {
		sum += c.writer.pendingBytes()
	}
	return sum
}

// closeOneIdle closes a connection on which no response is due to free its slot, and reports whether there was one. It
// closes a silent one first, then the one that has been idle for longest, and one that has only just connected if there
// is no other. A flood of silent connections so closes its own, and neither those of clients that sent requests nor
// those whose request is on the way.
func (a *acceptedClients) closeOneIdle(now time.Duration) bool {
	skipped := map[*Conn]bool{} // a request has arrived on them that the loop has not handled
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

// firstToClose returns the idle connection that is closed first, except those passed over. It returns nil when there is
// none.
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

// closeAll has endTurn close each connection as soon as it is at rest.
func (a *acceptedClients) closeAll() { a.isClosing = true }

// endTurn closes connections that are at rest after closeAll, and sweeps when a sweep is due.
func (a *acceptedClients) endTurn(now time.Duration) {
	if a.isClosing {
		a.closeIfIdle()
	}
	if now-a.sweptAt > sweepInterval {
		a.sweep(now)
	}
}

// closeIfIdle closes the connections on which no response is due and no part of a message has arrived.
func (a *acceptedClients) closeIfIdle() {
	for c := range a.conns {
		if !c.activity.hasPartialMessage() {
			c.closeIfIdle(ClosedForShutdown)
		}
	}
}

// sweep closes the connections that have timed out, and logs how many were rejected.
func (a *acceptedClients) sweep(now time.Duration) {
	a.sweptAt = now
	for c := range a.conns {
		c.closeIfTimedOut(now)
	}
	a.rejections.log(now)
}

// closeIfTimedOut closes an accepted connection that has timed out, or whose peer has read the last response.
func (c *Conn) closeIfTimedOut(now time.Duration) {
	hasUnread := c.writer.hasUnread()
	switch {
	case c.state.closingAfterFlush && !hasUnread:
		c.Close()
	case !c.activity.timedOut(now, hasUnread) || c.isBusy():
	case hasUnread || c.activity.hasPartialMessage(): // it reads or writes too slowly
		c.closeFor(ClosedForTimeout)
	default:
		c.closeIfIdle(ClosedForTimeout)
	}
}

// rejectionLog logs how many connections were rejected. The loop's goroutine owns it.
type rejectionLog struct {
	logger   *slog.Logger
	count    int // since the last line
	loggedAt time.Duration
}

// log writes one line for the connections that were rejected since the last line, when it is due.
func (r *rejectionLog) log(now time.Duration) {
	if r.count == 0 || now-r.loggedAt <= rejectionLogInterval {
		return
	}
	r.logger.Warn("client_connections_rejected", slog.Int("count", r.count), slog.Any("err", ErrTooManyConnections))
	r.count = 0
	r.loggedAt = now
}

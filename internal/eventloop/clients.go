package eventloop

import (
	"log/slog"
	"time"
)

const (
	// idleTimeout is how long an accepted connection on which no response is due may be silent.
	idleTimeout = 15 * time.Second
	// messageTimeout is how long a client has for its first message, and for the rest of one that has begun. Bytes
	// that trickle in don't count.
	messageTimeout = 2500 * time.Millisecond
	// requestGracePeriod is how long a client may take from its connect to its message before its connection counts as
	// one that says nothing and is the first to make room.
	requestGracePeriod = 250 * time.Millisecond
	// rejectionLogInterval is how often rejected connections are logged: a flood would fill the log otherwise.
	rejectionLogInterval = time.Second
	// closeIdleTimeout is how long the loop may take to close an idle client.
	closeIdleTimeout = time.Second
)

// clientActivity is what an accepted connection has sent, by which its time is limited.
type clientActivity struct {
	messages     int           // that have arrived whole
	activeAt     time.Duration // when the last of them arrived or was responded to, or the connection was accepted
	partialSince time.Duration // when the beginning of the next one arrived; 0: none has
}

// note takes in how many messages have arrived by now, and whether the beginning of another has.
func (a *clientActivity) note(now time.Duration, messages int, begun bool) {
	if messages > a.messages {
		a.messages = messages
		a.activeAt = now
		a.partialSince = 0
	}
	switch {
	case !begun:
		a.partialSince = 0
	case a.partialSince == 0:
		a.partialSince = now
	}
}

// noteResponse takes in that something is written to the client: it is idle from its last response on, however long
// that took.
func (a *clientActivity) noteResponse(now time.Duration) {
	if a.messages > 0 {
		a.activeAt = now
	}
}

// expired reports whether the client has had its time. unread is whether it has yet to take a response: it reads
// slowly, or not at all.
func (a *clientActivity) expired(now time.Duration, unread bool) bool {
	switch {
	case unread:
		return now-a.activeAt > idleTimeout
	case a.partialSince > 0:
		return now-a.partialSince > messageTimeout
	case a.messages == 0:
		return now-a.activeAt > messageTimeout
	}
	return now-a.activeAt > idleTimeout
}

// closeRank orders idle clients by which makes room first.
type closeRank int

const (
	rankSilent closeRank = iota // should have sent a message and did not
	rankIdle                    // sent messages, and has all responses
	rankNew                     // has only just connected
)

func (a *clientActivity) rank(now time.Duration) closeRank {
	switch {
	case a.messages > 0:
		return rankIdle
	case now-a.activeAt > requestGracePeriod:
		return rankSilent
	}
	return rankNew
}

// before reports whether a client makes room before another.
func (a *clientActivity) before(other *clientActivity, now time.Duration) bool {
	rank, otherRank := a.rank(now), other.rank(now)
	if rank != otherRank {
		return rank < otherRank
	}
	return a.activeAt < other.activeAt
}

// accept takes in an accepted connection. A listener has made sure that there is room for it.
func (l *Loop) accept(c *Conn) {
	if c.accept == nil {
		c.Close()
		return
	}
	c.established = true
	c.activity.activeAt = l.now
	l.accepted[c] = struct{}{}
	c.handler = c.accept(c)
}

// noteMessages takes in what messages an accepted connection has sent.
func (c *Conn) noteMessages() {
	handler, ok := c.handler.(AcceptedHandler)
	if ok {
		messages, begun := handler.Messages()
		c.activity.note(c.loop.now, messages, begun)
	}
}

// busy reports whether a response is due on an accepted connection.
func (c *Conn) busy() bool { return c.handler.(AcceptedHandler).Busy() }

// owesResponse reports whether a response is due on an accepted connection, or was given and has yet to leave: closing
// drops what is queued, and with it the only response to a request.
func (c *Conn) owesResponse() bool {
	return c.busy() || len(c.outgoing) > 0 || c.unreadByPeer.Load() > 0
}

// closeIdleClient closes an accepted connection on which no response is due, to make room, and reports whether there
// was one: the oldest of those that should have sent a message and did not, else the one that has been idle for
// longest, and one that has only just connected if there is no other. Connections that are opened by hundreds and say
// nothing so end each other, and neither those of clients that sent requests nor those whose request is under way.
func (l *Loop) closeIdleClient() bool {
	passedOver := map[*Conn]bool{} // a request has arrived on them that the loop has not seen
	for {
		var idle *Conn
		for c := range l.accepted {
			if c.closed || passedOver[c] || c.owesResponse() {
				continue
			}
			if idle == nil || c.activity.before(&idle.activity, l.now) {
				idle = c
			}
		}
		if idle == nil || idle.closeAtRest() {
			return idle != nil
		}
		passedOver[idle] = true
	}
}

// AcceptedCount is how many accepted connections have not ended.
func (l *Loop) AcceptedCount() int { return int(l.acceptedCount.Load()) }

// CloseClients stops listening and, from the end of this turn on, closes each accepted connection as soon as it is at
// rest: no response is due on it, all that was written has been taken, and no message has begun to arrive.
func (l *Loop) CloseClients() {
	l.closingClients = true
	for _, listener := range l.openListeners {
		listener.Close()
	}
}

// closeClientsAtRest closes the accepted connections that are at rest.
func (l *Loop) closeClientsAtRest() {
	for c := range l.accepted {
		if c.activity.partialSince == 0 {
			c.closeAtRest()
		}
	}
}

// CloseIdleClients has an idle client's connection give up its descriptor, and reports whether there was one. Clients
// may hold all that are left; discovery and the workers must be reached all the same. It is not for the loop's
// goroutine.
func (l *Loop) CloseIdleClients() bool {
	closed := make(chan bool, 1)
	l.Post(func() { closed <- l.closeIdleClient() })
	select {
	case ok := <-closed:
		return ok
	case <-l.dialContext.Done(): // the loop has ended
		return false
	case <-time.After(closeIdleTimeout): // the loop is held up
		return false
	}
}

// sweep closes the accepted connections that have had their time, and logs those that were rejected.
func (l *Loop) sweep() {
	l.sweptAt = l.now
	for c := range l.accepted {
		unread := c.unreadByPeer.Load() > 0
		switch {
		case c.closeOnceTaken && !unread:
			c.Close()
		case !c.activity.expired(l.now, unread) || c.busy():
		case unread || c.activity.partialSince > 0: // it reads or writes too slowly
			c.Close()
		default:
			c.closeAtRest()
		}
	}
	l.rejected.log(l.now)
}

// rejectionLog logs rejected connections.
type rejectionLog struct {
	count    int // since the last line
	loggedAt time.Duration
}

func (r *rejectionLog) log(now time.Duration) {
	if r.count == 0 || now-r.loggedAt <= rejectionLogInterval {
		return
	}
	slog.Warn("client_connections_rejected", slog.Int("count", r.count), slog.Any("err", ErrTooManyConnections))
	r.count = 0
	r.loggedAt = now
}

package eventloop

// partialMessages counts the memory of the messages that have arrived in part, over all accepted connections. Clients
// choose how large their messages are and how slowly they send them, so the sum is bounded. The loop's goroutine owns
// it.
type partialMessages struct {
	max   int // in bytes; beyond it, connections are closed
	bytes int
}

// record records how much memory the incomplete message of a connection takes now.
func (p *partialMessages) record(c *Conn, bytes int) {
	p.bytes += bytes - c.partialBytes
	c.partialBytes = bytes
}

// isExceeded reports whether the incomplete messages take more memory than they may.
func (p *partialMessages) isExceeded() bool { return p.bytes > p.max }

// recordPartial records how much memory the incomplete message of a connection takes, and keeps the sum within its
// limit.
func (a *acceptedClients) recordPartial(c *Conn, bytes int) {
	if c.state.closed {
		bytes = 0
	}
	a.partial.record(c, bytes)
	a.limitPartialMessages()
}

// limitPartialMessages closes the connections whose incomplete messages have been arriving for longest, until all of
// them together are within their limit. Connections on which a response is due are closed last.
func (a *acceptedClients) limitPartialMessages() {
	for a.partial.isExceeded() {
		oldest := a.oldestPartial()
		if oldest == nil {
			return
		}
		a.partial.record(oldest, 0)
		oldest.closeFor(ClosedForMemory)
	}
}

// oldestPartial returns the connection to close first for its incomplete message, or nil if there is none.
func (a *acceptedClients) oldestPartial() (oldest *Conn) {
	for c := range a.conns {
		if c.activity.hasPartialMessage() && !c.state.closed && (oldest == nil || c.partialClosesBefore(oldest)) {
			oldest = c
		}
	}
	return oldest
}

// partialClosesBefore reports whether a connection is closed before another one for its incomplete message.
func (c *Conn) partialClosesBefore(other *Conn) bool {
	if busy := c.isBusy(); busy != other.isBusy() {
		return !busy
	}
	return c.activity.partialSince < other.activity.partialSince
}

package eventloop

// flushList holds the connections that have queued bytes, ordered by when they queued their first bytes. The loop's
// goroutine owns it.
type flushList struct {
	conns []*Conn
}

// add adds a connection that had no queued bytes before.
func (f *flushList) add(c *Conn) { f.conns = append(f.conns, c) }

// flush writes what the connections have queued. Connections whose kernel buffer is full stay in the list for the next
// turn.
func (f *flushList) flush() {
	stalled := f.conns[:0]
	for _, c := range f.conns {
		if !c.flush() {
			stalled = append(stalled, c)
		}
	}
	f.conns = stalled
}

// isEmpty reports whether there is no connection left to flush.
func (f *flushList) isEmpty() bool { return len(f.conns) == 0 }

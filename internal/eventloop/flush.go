package eventloop

// flushList holds the connections that have queued bytes, in the order in which their first bytes were queued. The
// loop's goroutine owns it.
type flushList struct {
	conns []*Conn
}

// add adds a connection that had nothing queued before.
func (f *flushList) add(c *Conn) { f.conns = append(f.conns, c) }

// flush writes what is queued. Connections whose kernel buffer is full stay for the next turn.
func (f *flushList) flush() {
	stalled := f.conns[:0]
	for _, c := range f.conns {
		if !c.flush() {
			stalled = append(stalled, c)
		}
	}
	f.conns = stalled
}

// isEmpty reports whether no connection has to be written to again.
func (f *flushList) isEmpty() bool { return len(f.conns) == 0 }

package eventloop

import (
	"slices"
	"sync/atomic"
	"time"
)

// maxInboxBytes is how much data of one accepted connection may wait for the loop. While it does, the connection is not
// read, and its peer waits in TCP.
const maxInboxBytes = readBufferSize

// clientQueue holds the accepted connections that have data for the loop. Each connection has an inbox of its own, so
// that a client can only delay itself. The mutex of the queue guards it, including the inboxes; it is held where the
// atomic fields are written.
type clientQueue struct {
	maxBytes int          // limit on the data in all inboxes; beyond it connections are not read by the poller
	bytes    atomic.Int64 // of the data in all inboxes
	ready    []*Conn      // connections that have become scheduled since the last turn
}

// inbox is the data of one accepted connection that was read and waits for the loop.
type inbox struct {
	reads     []pendingRead
	bytes     atomic.Int64
	paused    atomic.Bool // the kernel may hold more data, which the loop reads once it has handled the inbox
	scheduled bool        // the connection is in clientQueue.ready or in the loop's rotation
}

// isEmpty reports whether nothing waits for the loop, and nothing is left to the loop to read.
func (in *inbox) isEmpty() bool { return in.bytes.Load() == 0 && !in.paused.Load() }

// pendingRead is the unhandled rest of a read.
type pendingRead struct {
	data []byte
	at   time.Duration // when the data was read
}

// schedule makes the loop handle a connection in its next turn.
func (c *clientQueue) schedule(conn *Conn) {
	if !conn.reader.inbox.scheduled {
		conn.reader.inbox.scheduled = true
		c.ready = append(c.ready, conn)
	}
}

// mayRead reports whether the poller may read an accepted connection. If not, the connection is paused, and the loop
// reads it later.
func (q *queue) mayRead(conn *Conn) bool {
	in := &conn.reader.inbox
	if in.paused.Load() {
		return false
	}
	if in.bytes.Load() < maxInboxBytes && q.clients.bytes.Load() <= int64(q.clients.maxBytes) {
		return true
	}
	q.pause(conn)
	return false
}

// pause leaves the rest of an accepted connection's data to the loop. The caller must hold the mu of the connection's
// reader.
func (q *queue) pause(conn *Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	conn.reader.inbox.paused.Store(true)
	q.clients.schedule(conn)
	q.wakeLoop()
}

// pushClientData adds data, which it keeps, to the inbox of an accepted connection and wakes the loop. It never blocks,
// and any goroutine that holds the mu of the connection's reader may call it.
func (q *queue) pushClientData(conn *Conn, data []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	in := &conn.reader.inbox
	in.reads = append(in.reads, pendingRead{data: data, at: q.clock()})
	in.bytes.Add(int64(len(data)))
	q.clients.bytes.Add(int64(len(data)))
	q.clients.schedule(conn)
	q.wakeLoop()
}

// takeClientData removes at most limit bytes of the oldest read from an inbox and returns them. It reports whether the
// connection has more, or may have. If not, the connection leaves the loop's rotation. If no data is returned although
// there may be more, the loop has to read it.
func (q *queue) takeClientData(conn *Conn, limit int) (read pendingRead, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	in := &conn.reader.inbox
	if len(in.reads) > 0 {
		read = q.takeFirstRead(in, limit)
	}
	in.scheduled = !in.isEmpty()
	return read, in.scheduled
}

// takeFirstRead removes at most limit bytes of the oldest read from an inbox that is not empty. The caller must hold
// mu.
func (q *queue) takeFirstRead(in *inbox, limit int) (read pendingRead) {
	first := &in.reads[0]
	size := min(limit, len(first.data))
	read = pendingRead{data: first.data[:size:size], at: first.at}
	first.data = first.data[size:]
	if len(first.data) == 0 {
		in.reads = slices.Delete(in.reads, 0, 1) // there are few, so the rest may be moved
	}
	in.bytes.Add(int64(-size))
	q.clients.bytes.Add(int64(-size))
	return read
}

// resume ends the pause of a connection whose data the loop has read to the end. It reports whether the connection has
// left the loop's rotation. The caller must hold the mu of the connection's reader.
func (q *queue) resume(conn *Conn) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	in := &conn.reader.inbox
	in.paused.Store(false)
	in.scheduled = !in.isEmpty()
	return !in.scheduled
}

// discardClientData empties the inbox of a connection that has ended. What its client left unread is not handled.
func (q *queue) discardClientData(conn *Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	in := &conn.reader.inbox
	q.clients.bytes.Add(-in.bytes.Load())
	in.bytes.Store(0)
	in.reads = nil
	in.paused.Store(false)
}

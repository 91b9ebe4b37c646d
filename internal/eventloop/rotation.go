package eventloop

import (
	"slices"
	"time"
)

const (
	// slotBytes is how much data of an accepted connection is handled before another connection's, about a hundred
	// small messages. A connection that is alone may use the whole budget of a turn at once.
	slotBytes = 4 << 10
	// turnBytes is how much data of accepted connections a turn handles. The rest waits until the events that came
	// meanwhile, such as responses of workers, have been handled.
	turnBytes = readBufferSize
	// largePartialBytes is how large an incomplete message must be for its connection's slot to go on to its end.
	// Otherwise, when many clients send large messages, all of them would be incomplete at the same time.
	largePartialBytes = 1 << 10
	// minBacklogSlots is how many connections of the backlog a turn handles even if others use up its budget.
	minBacklogSlots = 2
)

// rotation hands the data of accepted connections to their handlers, in turn and a slot each, so that a client that
// sends without a pause delays others by no more than its slot. Connections whose data has just arrived go before those
// that had more than a slot. The loop's goroutine owns it.
type rotation struct {
	loop    *Loop
	buffer  []byte  // for reads on the loop's goroutine
	fresh   []*Conn // connections whose data has arrived and that have had no slot yet, the oldest first
	backlog []*Conn // connections that had a slot and have more data, the first to be handled first
	budget  int     // bytes that may still be handled in this turn

	longestWait time.Duration // of data for its handler, since the last report
}

// run handles data of the connections that became ready and of the backlog, up to the budget of a turn.
func (r *rotation) run(ready []*Conn) {
	r.fresh = append(r.fresh, ready...)
	clear(ready)
	r.budget = turnBytes
	slot := slotBytes
	if len(r.fresh)+len(r.backlog) == 1 {
		slot = turnBytes
	}
	waiting := len(r.backlog)
	for len(r.fresh) > 0 && r.budget > 0 {
		r.handle(takeFirst(&r.fresh), slot)
	}
	for handled := 0; handled < waiting && (r.budget > 0 || handled < minBacklogSlots); handled++ {
		r.handle(takeFirst(&r.backlog), slot)
	}
	if len(r.fresh)+len(r.backlog) > 0 {
		r.loop.queue.wakeLoop()
	}
}

// takeFirst removes the first connection of a list and returns it.
func takeFirst(list *[]*Conn) (first *Conn) {
	first = (*list)[0]
	*list = slices.Delete(*list, 0, 1) // of pointers to a few hundred connections at most
	return first
}

// handle passes up to a slot of a connection's data to its handler, and the rest of a large message. If there is or may
// be more, the connection goes to the end of the backlog.
func (r *rotation) handle(c *Conn, slot int) {
	for handled := 0; handled < slot || handled < turnBytes && c.partialBytes >= largePartialBytes; {
		limit := slotBytes
		if handled < slot {
			limit = slot - handled
		}
		read, more := r.loop.queue.takeClientData(c, limit)
		if more && len(read.data) == 0 {
			read, more = c.reader.readPaused(c.socket, r.buffer[:limit])
		}
		handled += len(read.data)
		r.budget -= len(read.data)
		r.pass(c, read)
		if !more {
			return
		}
		if len(read.data) == 0 {
			break
		}
	}
	r.backlog = append(r.backlog, c)
}

// pass passes data to the handler of a connection, with the time at which it arrived.
func (r *rotation) pass(c *Conn, read pendingRead) {
	if len(read.data) == 0 {
		return
	}
	loop := r.loop
	readAt := min(read.at, loop.now)
	loop.arrivedAt = loop.stall.arrivalTime(readAt)
	r.longestWait = max(r.longestWait, loop.now-readAt)
	c.receive(read.data)
	loop.arrivedAt = loop.now
}

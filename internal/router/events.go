package router

import "crankhold/policy"

// eventQueue gathers events for the decision module, which takes them in batches. Two buffers take turns, so that a
// steady load allocates none.
type eventQueue struct {
	pending     []policy.Event
	spareBuffer []policy.Event // of the previous batch, empty
	batch       int            // number of the batch that is being gathered
}

// eventPosition is where an event stands in its queue.
type eventPosition struct {
	batch int
	index int
}

// empty reports whether no event waits.
func (q *eventQueue) empty() bool { return len(q.pending) == 0 }

// add puts an event at the end of the batch that is being gathered.
func (q *eventQueue) add(event policy.Event) { q.pending = append(q.pending, event) }

// nextPosition returns the position that the next added event will have.
func (q *eventQueue) nextPosition() eventPosition {
	return eventPosition{batch: q.batch, index: len(q.pending)}
}

// withdraw takes an event back that has not been handed over, and reports whether it could. Its place stays, as nil.
func (q *eventQueue) withdraw(position eventPosition) bool {
	if position.batch != q.batch {
		return false
	}
	q.pending[position.index] = nil
	return true
}

// takeBatch returns the gathered batch and begins the next one. The batch goes back by recycle. Withdrawn events are nil.
func (q *eventQueue) takeBatch() []policy.Event {
	batch := q.pending
	q.pending = q.spareBuffer[:0]
	q.spareBuffer = nil
	q.batch++
	return batch
}

// recycle gives the buffer of a batch back, for a later one.
func (q *eventQueue) recycle(batch []policy.Event) {
	clear(batch)
	q.spareBuffer = batch[:0]
}

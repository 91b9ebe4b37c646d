package router

import "crankhold/policy"

// eventQueue collects events for the decision module, which handles them in batches. It alternates between two buffers,
// so that it allocates no memory under a steady load.
type eventQueue struct {
	pending     []policy.Event
	spareBuffer []policy.Event // empty, kept from the previous batch
	batch       int            // number of the batch to which events are added
}

// eventPosition is the position of an event in its queue.
type eventPosition struct {
	batch int
	index int
}

// empty reports whether the queue has no events.
func (q *eventQueue) empty() bool { return len(q.pending) == 0 }

// add appends an event to the current batch.
func (q *eventQueue) add(event policy.Event) { q.pending = append(q.pending, event) }

// nextPosition returns the position of the event that is added next.
func (q *eventQueue) nextPosition() eventPosition {
	return eventPosition{batch: q.batch, index: len(q.pending)}
}

// withdraw replaces an event of the current batch by nil, so that the module does not see it. It returns false if the
// event's batch has already been taken.
func (q *eventQueue) withdraw(position eventPosition) bool {
	if position.batch != q.batch {
		return false
	}
	q.pending[position.index] = nil
	return true
}

// takeBatch returns the current batch and starts the next one. Withdrawn events are nil. The caller returns the batch's
// memory with recycle.
func (q *eventQueue) takeBatch() []policy.Event {
	batch := q.pending
	q.pending = q.spareBuffer[:0]
	q.spareBuffer = nil
	q.batch++
	return batch
}

// recycle keeps the memory of a handled batch for a later one.
func (q *eventQueue) recycle(batch []policy.Event) {
	clear(batch)
	q.spareBuffer = batch[:0]
}

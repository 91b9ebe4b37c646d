package eventloop

import (
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

// maxUnseenConnections is how many accepted connections may wait for the loop; beyond it none is accepted.
const maxQueuedConnections = 8

// eventKind is the kind of an event.
type eventKind uint8

const (
	dataReceived       eventKind = iota // conn, data
	connectionAccepted                  // conn
	connectionClosed                    // conn, err
	dialCompleted                       // conn, and either socket or err
	callPosted                          // call
)

// event notifies the loop of what a poller, a dial or another goroutine did. It is one struct for all kinds, and not an
// interface, since it is queued by value: boxing it would cost an allocation for each read.
type event struct {
	kind   eventKind
	conn   *Conn
	data   []byte
	err    error
	socket *nbio.Conn
	call   func()
	at     time.Duration // of dataReceived: when it was read
}

// mayBlock reports whether the goroutine that queues the event may block. Only events that peers cause do: a poller or a
// listener that waits slows the peers down.
func (e *event) mayBlock() bool { return e.kind == dataReceived || e.kind == connectionAccepted }

// queue passes events from many goroutines to the loop's, in the order in which they were pushed. It is safe for
// concurrent use. A reader's mu may be held when mu is locked, and no lock is taken while mu is held.
type queue struct {
	clock    func() time.Duration
	maxBytes int           // of data; beyond it pollers wait
	wake     chan struct{} // holds one value when something is queued

	// Guarded by mu.
	mu                sync.Mutex
	notFull           *sync.Cond // signals that a turn has taken the events, or that the queue is closed
	events            []event
	bytes             int // of data in events
	queuedConnections int // accepted connections in events
	closed            bool
}

// newQueue returns an empty queue, which stamps turns by clock.
func newQueue(clock func() time.Duration, maxBytes int) *queue {
	q := &queue{clock: clock, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
	q.notFull = sync.NewCond(&q.mu)
	return q
}

// push queues an event and wakes the loop. It returns false once the queue is closed. When too much is queued, it
// blocks a poller until the next turn. It blocks a listener too, since connections that the loop has not seen hold
// descriptors beyond the limit on them. For these two it must not be called on the event loop.
func (q *queue) push(e event) bool {
	q.mu.Lock()
	for e.mayBlock() && q.isFull(e.kind) && !q.closed {
		q.notFull.Wait()
	}
	queued := q.add(e)
	q.mu.Unlock()
	return queued
}

// pushNonblocking queues an event without blocking. The loop's goroutine uses it for data: waiting would block the turn that
// empties the queue.
func (q *queue) pushNonblocking(e event) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.add(e)
}

// add queues an event and wakes the loop, or returns false once the queue is closed. The caller holds mu.
func (q *queue) add(e event) bool {
	if q.closed {
		return false
	}
	if e.kind == connectionAccepted {
		q.queuedConnections++
	}
	q.events = append(q.events, e)
	q.bytes += len(e.data)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// isFull reports whether an event of a kind has to wait. The caller holds mu.
func (q *queue) isFull(kind eventKind) bool {
	if kind == connectionAccepted {
		return q.queuedConnections >= maxQueuedConnections
	}
	return q.bytes > q.maxBytes
}

// take returns the queued events and releases the goroutines that wait. The queue uses spare, which must be empty, for
// the next events. take also returns the present, which becomes the time of the turn: no data in the batch was
// read after it.
func (q *queue) take(spare []event) (batch []event, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch = q.events
	q.events = spare
	q.bytes = 0
	q.queuedConnections = 0
	q.notFull.Broadcast()
	return batch, q.clock()
}

// close drops what is queued from now on, and releases the goroutines that wait.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notFull.Broadcast()
}

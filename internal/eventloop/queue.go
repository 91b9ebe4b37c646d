package eventloop

import (
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

// maxQueuedConnections is how many accepted connections may wait for the loop. At this limit, listeners accept no more.
const maxQueuedConnections = 8

// eventKind is the kind of an event.
type eventKind uint8

const (
	dataReceived       eventKind = iota // conn, data
	connectionAccepted                  // conn
	connectionClosed                    // conn, err
	dialCompleted                       // conn, and either socket or err
	callPosted                          // call, name
)

// event tells the loop what the poller, a dial or another goroutine did. It is one struct for all kinds rather than an
// interface, because it is queued by value: boxing it would cost an allocation for each read.
type event struct {
	kind   eventKind
	conn   *Conn
	data   []byte
	err    error
	socket *nbio.Conn
	call   func()
	name   string
	at     time.Duration // of dataReceived: when the data was read
}

// mayBlock reports whether the goroutine that queues the event may block. That applies only to events that peers cause:
// a poller or a listener that waits slows the peers down.
func (e *event) mayBlock() bool { return e.kind == dataReceived || e.kind == connectionAccepted }

// queue passes events from many goroutines to the loop's goroutine, in the order in which they were pushed. Data of
// accepted connections is not among them: it waits in clients, so that no event waits for what clients send. queue is
// safe for concurrent use. A goroutine that holds a reader's mu may lock mu, but takes no other lock while it holds mu.
type queue struct {
	clock    func() time.Duration
	maxBytes int           // limit on the data in events; beyond it the poller waits
	wake     chan struct{} // holds one value when something is queued

	// Guarded by mu.
	mu                sync.Mutex
	notFull           *sync.Cond // signaled when a turn has taken the events, or the queue is closed
	events            []event
	bytes             int // of the data in events
	queuedConnections int // accepted connections in events
	closed            bool
	clients           clientQueue
}

// newQueue returns an empty queue that takes the times of turns from clock.
func newQueue(clock func() time.Duration, maxBytes int) *queue {
	q := &queue{clock: clock, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
	q.clients.maxBytes = maxBytes
	q.notFull = sync.NewCond(&q.mu)
	return q
}

// push queues an event and wakes the loop. It returns false once the queue is closed. While too much data is queued, it
// blocks the poller until the next turn. It also blocks a listener while too many connections are queued, because
// connections that the loop has not handled use descriptors beyond the limit on accepted connections. Events of these
// two kinds must not be pushed on the event loop.
func (q *queue) push(e event) bool {
	q.mu.Lock()
	for e.mayBlock() && q.isFull(e.kind) && !q.closed {
		q.notFull.Wait()
	}
	queued := q.add(e)
	q.mu.Unlock()
	return queued
}

// add queues an event and wakes the loop, or returns false once the queue is closed. The caller must hold mu.
func (q *queue) add(e event) bool {
	if q.closed {
		return false
	}
	if e.kind == connectionAccepted {
		q.queuedConnections++
	}
	q.events = append(q.events, e)
	q.bytes += len(e.data)
	q.wakeLoop()
	return true
}

// wakeLoop makes the loop take another turn. Any goroutine may call it.
func (q *queue) wakeLoop() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// isFull reports whether an event of a kind has to wait. The caller must hold mu.
func (q *queue) isFull(kind eventKind) bool {
	if kind == connectionAccepted {
		return q.queuedConnections >= maxQueuedConnections
	}
	return q.bytes > q.maxBytes
}

// batch is what the loop handles in a turn.
type batch struct {
	events []event
	ready  []*Conn // accepted connections that have data since the last batch
}

// take returns the queued events and the accepted connections that have data, and wakes the goroutines that wait. The
// queue stores the next ones in the slices of spare. take also returns the current time, which becomes the time of the
// turn. No data in the events was read after that time, and each ready connection was accepted by an earlier event.
func (q *queue) take(spare batch) (taken batch, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken = batch{events: q.events, ready: q.clients.ready}
	q.events = spare.events[:0]
	q.clients.ready = spare.ready[:0]
	q.bytes = 0
	q.queuedConnections = 0
	q.notFull.Broadcast()
	return taken, q.clock()
}

// close makes the queue drop further events, and wakes the goroutines that wait.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notFull.Broadcast()
}

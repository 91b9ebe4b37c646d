package eventloop

import (
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

// maxUnseenConnections is how many accepted connections may wait for the loop; beyond it none is accepted.
const maxUnseenConnections = 8

// eventKind is what happened.
type eventKind uint8

const (
	dataReceived       eventKind = iota // conn, data
	connectionAccepted                  // conn
	connectionEnded                     // conn, err
	dialEnded                           // conn, and either socket or err
	callPosted                          // call
)

// event is what a poller, a dial or another goroutine tells the loop. It is one struct for all kinds, and not an
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

// mayWait reports whether the goroutine that queues the event may be made to wait. Only what peers cause waits: a
// poller or a listener then slows them down.
func (e *event) mayWait() bool { return e.kind == dataReceived || e.kind == connectionAccepted }

// queue takes events from many goroutines to the loop's.
type queue struct {
	clock    func() time.Duration
	maxBytes int
	wake     chan struct{} // holds one value where something is queued

	mu                sync.Mutex
	space             *sync.Cond // a turn has taken what was queued, or the queue is closed
	events            []event
	bytes             int // of data in events
	unseenConnections int // accepted ones in events
	closed            bool
}

func newQueue(clock func() time.Duration, maxBytes int) *queue {
	q := &queue{clock: clock, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
	q.space = sync.NewCond(&q.mu)
	return q
}

// push queues an event and wakes the loop. Where too much is queued a poller waits for the next turn, and so does a
// listener, since connections that the loop has not seen hold descriptors beyond the limit on them. push returns
// false once the queue is closed.
func (q *queue) push(e event) bool {
	q.mu.Lock()
	for e.mayWait() && q.full(e.kind) && !q.closed {
		q.space.Wait()
	}
	queued := q.add(e)
	q.mu.Unlock()
	return queued
}

// pushNow queues an event of the loop's own goroutine, for which it never waits: only a turn makes room.
func (q *queue) pushNow(e event) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.add(e)
}

// add queues an event and wakes the loop, or returns false once the queue is closed. The caller holds the lock.
func (q *queue) add(e event) bool {
	if q.closed {
		return false
	}
	if e.kind == connectionAccepted {
		q.unseenConnections++
	}
	q.events = append(q.events, e)
	q.bytes += len(e.data)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// full reports whether an event of a kind has to wait. The caller holds the lock.
func (q *queue) full(kind eventKind) bool {
	if kind == connectionAccepted {
		return q.unseenConnections >= maxUnseenConnections
	}
	return q.bytes > q.maxBytes
}

// take returns what is queued and lets those that wait go on; spare, which must be empty, receives what is queued next.
// It also returns the time of the turn, which is the present.
func (q *queue) take(spare []event) (batch []event, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch = q.events
	q.events = spare
	q.bytes = 0
	q.unseenConnections = 0
	q.space.Broadcast()
	return batch, q.clock()
}

// close drops what is queued from now on and releases those that wait.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.space.Broadcast()
}

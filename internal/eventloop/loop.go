package eventloop

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

const (
	epoch         = time.Hour // the clock's first reading, so that earlier instants are positive too
	sweepInterval = 200 * time.Millisecond
)

// Handler takes what happens on a connection. All its methods run on the loop's goroutine.
type Handler interface {
	// Data takes bytes in; they are the handler's to keep.
	Data(b []byte)
	// Closed is the last call, once for each connection.
	Closed(err error)
}

// AcceptedHandler is the handler of an accepted connection.
type AcceptedHandler interface {
	Handler
	// Busy reports whether the connection has open requests and must be left alone.
	Busy() bool
	// Messages is how many whole messages have arrived, and whether the beginning of another has.
	Messages() (whole int, begun bool)
}

// DialHandler is the handler of a connection that this program opens.
type DialHandler interface {
	Handler
	// DialCompleted tells how the dial ended. With an error it is the last call.
	DialCompleted(err error)
}

// Config bounds a Loop.
type Config struct {
	MaxAccepted    int // accepted connections at once
	MaxDescriptors int // descriptors of the process
	MaxQueuedBytes int // bytes queued for the loop; beyond it the pollers wait
	MaxUnreadBytes int // bytes that all peers together may leave unread
}

// Loop owns nbio's engine, the queue between it and the goroutine in Run, and the connections.
type Loop struct {
	cfg           Config
	startedAt     time.Time
	engine        *nbio.Engine
	listeners     map[string]acceptFunc // by the address that was given to Listen
	openListeners []net.Listener
	acceptors     sync.WaitGroup // goroutines of listeners
	queue         *queue
	unreadByPeers atomic.Int64 // bytes that peers have yet to take
	acceptedCount atomic.Int64 // accepted connections that have not ended, those included that the loop has not seen
	pollerBuffer  []byte       // what the poller reads into

	// registrations counts connections that were handed to the poller. nbio hands them over by way of the kernel, which
	// orders memory but is nothing that the race detector knows; it knows of this.
	registrations atomic.Int64

	connect     connectFunc     // opens a socket; tests have it fail
	listen      listenFunc      // opens a listener; the same
	dialContext context.Context // ends with the loop
	cancelDials context.CancelFunc
	dials       sync.WaitGroup // goroutines of dials

	// Owned by Run's goroutine.
	now      time.Duration
	arrived  time.Duration // when the data was read that is being handled; else now
	accepted map[*Conn]struct{}
	toFlush  []*Conn // with something to write at the end of the turn
	sweptAt  time.Duration
	stopped  bool
	rejected rejectionLog

	closingClients bool   // for good, and none is accepted any more
	closingBuffer  []byte // what is read into before a connection is closed
}

// New returns a Loop that listens nowhere yet.
func New(cfg Config) *Loop {
	l := &Loop{
		cfg:       cfg,
		startedAt: time.Now(),
		listeners: map[string]acceptFunc{},
		accepted:  map[*Conn]struct{}{},
		connect:   connect,
		listen:    net.Listen,

		pollerBuffer:  make([]byte, readBuffer),
		closingBuffer: make([]byte, readBuffer),
	}
	l.queue = newQueue(l.clock, cfg.MaxQueuedBytes)
	l.dialContext, l.cancelDials = context.WithCancel(context.Background())
	l.now = l.clock()
	l.arrived = l.now
	return l
}

// clock reads the monotonic clock in whole microseconds.
func (l *Loop) clock() time.Duration {
	return (epoch + time.Since(l.startedAt)).Truncate(time.Microsecond)
}

// Now is the time of the present turn.
func (l *Loop) Now() time.Duration { return l.now }

// ArrivedAt is when the data was read that a handler is being given: before the turn, by as much as the loop was held
// up. What a client waits for counts from then, and what goes out by Now. Outside of Handler.Data it is Now.
func (l *Loop) ArrivedAt() time.Duration { return l.arrived }

// Post has call run on the loop's goroutine.
func (l *Loop) Post(call func()) { l.queue.push(event{kind: callPosted, call: call}) }

// Run serves until Stop, and then ends the loop's goroutines. Each turn it calls begin with the time, then the handlers
// of what is queued, then turn, which returns when it wants to be called again at the latest.
func (l *Loop) Run(begin func(now time.Duration), turn func(now time.Duration) time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var spare []event
	for !l.stopped {
		select {
		case <-l.queue.wake:
		case <-timer.C:
		}
		// The turn's one reading of the clock.
		batch, now := l.queue.take(spare[:0])
		l.now = now
		l.arrived = now
		begin(now)
		l.dispatch(batch)
		spare = batch
		next := turn(now)
		l.flush()
		if l.closingClients {
			l.closeClientsAtRest()
		}
		if now-l.sweptAt > sweepInterval {
			l.sweep()
		}
		if len(l.toFlush) > 0 {
			next = min(next, now+stalledPause)
		}
		timer.Reset(max(min(next, now+sweepInterval)-l.clock(), 0))
	}
}

// Stop has Run return after this turn.
func (l *Loop) Stop() { l.stopped = true }

// dispatch hands events to their handlers, and clears them so that batch holds on to nothing.
func (l *Loop) dispatch(batch []event) {
	for i := range batch {
		e := &batch[i]
		switch e.kind {
		case callPosted:
			e.call()
		case connectionAccepted:
			l.accept(e.conn)
		case dialEnded:
			e.conn.dialEnded(e.socket, e.err)
		case dataReceived:
			l.arrived = e.at
			e.conn.receive(e.data)
			l.arrived = l.now
		case connectionEnded:
			l.connectionEnded(e.conn, e.err)
		}
		*e = event{}
	}
}

// connectionEnded handles the end of a connection, which the poller found or this program caused.
func (l *Loop) connectionEnded(c *Conn, err error) {
	delete(l.accepted, c)
	unread := c.unreadByPeer.Swap(0) // nobody takes it any more
	l.unreadByPeers.Add(-unread)
	c.unsentBytes += int(max(unread, 0))
	if c.ended {
		return
	}
	c.ended = true
	if c.isAccepted {
		l.acceptedCount.Add(-1)
	}
	if c.handler != nil && c.established {
		c.closed = true
		c.handler.Closed(err)
	}
}

// dialEnded handles the end of a dial: a socket, or the error that it failed with.
func (c *Conn) dialEnded(socket *nbio.Conn, err error) {
	c.socket = socket
	if c.closed { // it was cancelled meanwhile
		if socket != nil {
			socket.Close()
		}
		return
	}
	if c.ended { // the connection ended before this turn heard that it had come up
		err = errors.Join(err, net.ErrClosed)
	}
	c.established = err == nil
	c.closed = err != nil
	c.handler.(DialHandler).DialCompleted(err)
}

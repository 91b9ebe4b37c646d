package eventloop

import (
	"cmp"
	"context"
	"log/slog"
	"time"
)

// Config configures a Loop.
type Config struct {
	MaxAccepted    int // accepted connections at once
	MaxDescriptors int // descriptors of the process
	MaxQueuedBytes int // bytes queued for the loop; beyond it the pollers wait
	MaxUnreadBytes int // bytes that all peers together may leave unread

	Logger *slog.Logger // nil: slog.Default()
}

// Loop runs the handlers of all connections on one goroutine, that of Run. Methods run on that goroutine, except for
// those that say otherwise.
type Loop struct {
	clock clock

	// Shared with other goroutines; each type says how.
	queue       *queue
	poller      *poller
	descriptors *descriptorGuard
	listeners   *listeners
	admission   *admission
	idleCloser  *idleCloser
	dialer      *dialer
	read        readFunc
	unread      *unreadTotal

	// Owned by Run's goroutine.
	turnTimes
	clients  *acceptedClients
	flushes  flushList
	counters Counters
	stopped  bool
}

// turnTimes holds the times of the present turn. The loop's goroutine owns it.
type turnTimes struct {
	now       time.Duration // the turn's one reading of the clock
	arrivedAt time.Duration // when the data arrived that is being handled; otherwise now
	stall     stall
}

// New returns a Loop without listeners. The caller ends it by Close.
func New(cfg Config) *Loop {
	logger := cmp.Or(cfg.Logger, slog.Default())
	clock := clock{startedAt: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	queue := newQueue(clock.now, cfg.MaxQueuedBytes)
	started := clock.now()
	descriptors := &descriptorGuard{loopClosed: ctx}
	l := &Loop{
		clock:       clock,
		queue:       queue,
		poller:      newPoller(queue, descriptors, cfg.MaxDescriptors),
		descriptors: descriptors,
		read:        readSocket,
		unread:      &unreadTotal{max: int64(cfg.MaxUnreadBytes)},
		turnTimes:   turnTimes{now: started, arrivedAt: started},
		clients:     newAcceptedClients(logger),
	}
	l.idleCloser = &idleCloser{queue: queue, closeIdle: l.closeIdleClient, loopClosed: ctx}
	l.admission = &admission{limit: int64(cfg.MaxAccepted), idleCloser: l.idleCloser}
	l.listeners = newListeners(l, logger)
	l.dialer = &dialer{
		connect:     connect,
		loopClosed:  ctx,
		descriptors: descriptors,
		cancel:      cancel,
		queue:       queue,
		poller:      l.poller,
		idleCloser:  l.idleCloser,
	}
	return l
}

// Listen has connections to addr handled by what accept returns, which runs on the loop's goroutine. It is called
// before Start, on the same goroutine.
func (l *Loop) Listen(addr string, accept func(*Conn) AcceptedHandler) {
	l.listeners.accepts[addr] = accept
}

// Start opens the listeners and begins to queue events. It is called once, before Run. Its error is a ListenError when
// an address can't be listened on.
func (l *Loop) Start() error { return l.poller.start(l.listeners) }

// Addrs lists the addresses that the loop listens on. It is called after Start, on any goroutine.
func (l *Loop) Addrs() []string { return l.poller.engine.Addrs }

// Now is the time of the present turn, in whole microseconds on the monotonic clock.
func (l *Loop) Now() time.Duration { return l.now }

// ArrivedAt is the time at which the data arrived that a handler receives: when it was read, or the begin of a stall in
// which it may have waited unread. It is earlier than Now by as much as the loop was held up. What a client waits for
// counts from ArrivedAt, and what goes out by Now. Outside of Handler.Data it is Now.
func (l *Loop) ArrivedAt() time.Duration { return l.arrivedAt }

// Post has call run on the loop's goroutine. It returns at once, and any goroutine may call it. Once the loop has
// ended, calls are dropped.
func (l *Loop) Post(call func()) { l.queue.push(event{kind: callPosted, call: call}) }

// Dial opens a connection and returns at once. The handler's DialCompleted receives the result within timeout, or a
// little later.
func (l *Loop) Dial(network, addr string, timeout time.Duration, h DialHandler) *Conn {
	c := newDialedConn(l, network, h)
	l.dialer.start(c, network, addr, timeout)
	return c
}

// Run handles events until Stop. Each turn it calls begin with the time, then the handlers of what is queued, and then
// turn. turn returns the time at which it wants to be called again at the latest. Run blocks; its goroutine is the
// loop's.
func (l *Loop) Run(startTurn func(now time.Duration), turn func(now time.Duration) time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var spare []event
	l.now = l.clock.now()
	for !l.stopped {
		select {
		case <-l.queue.wake:
		case <-timer.C:
		}
		batch, now := l.queue.take(spare[:0])
		l.stall.recordTurn(l.now, now)
		l.now = now
		l.arrivedAt = now
		startTurn(now)
		l.dispatch(batch)
		spare = batch
		next := turn(now)
		l.flushes.flush()
		l.clients.endTurn(now)
		if !l.flushes.isEmpty() {
			next = min(next, now+stalledRetryDelay)
		}
		end := l.clock.now()
		l.counters.countTurn(end - now)
		timer.Reset(max(min(next, now+maxTurnInterval)-end, 0))
	}
}

// Stop has Run return after this turn.
func (l *Loop) Stop() { l.stopped = true }

// CloseClients stops listening and, from the end of this turn on, closes each accepted connection as soon as it is at
// rest: no response is due on it, its peer has read all that was written, and no part of a message has arrived.
func (l *Loop) CloseClients() {
	l.clients.closeAll()
	l.listeners.closeAll()
}

// CloseIdleClients closes an idle client to free its descriptor, and reports whether there was one. Clients may hold
// all descriptors that are left, and discovery and the workers must be reached all the same. It blocks and must not be
// called on the event loop.
func (l *Loop) CloseIdleClients() bool { return l.idleCloser.closeOne() }

// AcceptedCount is the number of accepted connections that have not ended. Any goroutine may call it.
func (l *Loop) AcceptedCount() int { return int(l.admission.count.Load()) }

// UnwrittenBytes is the number of bytes to accepted peers that have yet to leave this program, including those that
// this turn queued.
func (l *Loop) UnwrittenBytes() int { return l.clients.unwrittenBytes() }

// dispatch passes events to their handlers in order, and clears them so that batch retains nothing.
func (l *Loop) dispatch(batch []event) {
	for i := range batch {
		e := &batch[i]
		switch e.kind {
		case callPosted:
			e.call()
		case connectionAccepted:
			l.clients.add(e.conn, l.now)
		case dialCompleted:
			e.conn.dialCompleted(e.socket, e.err)
		case dataReceived:
			l.arrivedAt = l.stall.arrivalTime(e.at)
			e.conn.receive(e.data)
			l.arrivedAt = l.now
		case connectionClosed:
			l.connectionClosed(e.conn, e.err)
		}
		*e = event{}
	}
}

// connectionClosed handles the end of a connection, which the peer or this program caused.
func (l *Loop) connectionClosed(c *Conn, err error) {
	l.clients.remove(c)
	if !c.connectionClosed() {
		return
	}
	if c.isAccepted {
		l.counters.connectionClosed(c)
		l.admission.closed()
	}
	c.notifyClosed(err)
}

// closeIdleClient closes an idle client, and reports whether there was one.
func (l *Loop) closeIdleClient() bool { return l.clients.closeOneIdle(l.now) }

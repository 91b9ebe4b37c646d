package eventloop

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"time"
)

// Config configures a Loop.
type Config struct {
	MaxAccepted    int // maximum number of open accepted connections
	MaxDescriptors int // descriptor limit of the process
	MaxQueuedBytes int // bytes queued for the loop; beyond them the poller waits
	MaxUnreadBytes int // bytes that all peers together may leave unread

	// MaxPartialBytes limits the memory of messages that have arrived in part, of all accepted connections together; 0:
	// no limit. Beyond it, the connections whose messages have been arriving for longest are closed.
	MaxPartialBytes int

	Logger *slog.Logger // nil: slog.Default()
}

// Loop runs the handlers of all connections on the goroutine that calls Run. Its methods must be called on that
// goroutine, except for those that say otherwise.
type Loop struct {
	clock clock

	// Shared with other goroutines, as each type describes.
	queue       *queue
	poller      *poller
	descriptors *descriptorGuard
	listeners   *listeners
	admission   *admission
	idleCloser  *idleCloser
	dialer      *dialer
	read        readFunc
	unread      *unreadTotal

	// Owned by the goroutine that calls Run.
	turnTimes
	clients  *acceptedClients
	rotation rotation
	flushes  flushList
	counters Counters
	stopped  bool
}

// turnTimes holds the times of the current turn. The loop's goroutine owns it.
type turnTimes struct {
	now       time.Duration // start of the turn; the clock is read once per turn
	arrivedAt time.Duration // when the data that is being handled arrived; otherwise now
	stall     stall
	profile   turnProfile
}

// New returns a Loop without listeners. The caller must close it with Close.
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
		turnTimes: turnTimes{
			now:       started,
			arrivedAt: started,
			profile:   turnProfile{clock: clock.now, logger: logger},
		},
		clients: newAcceptedClients(logger),
	}
	l.clients.partial.max = cmp.Or(cfg.MaxPartialBytes, math.MaxInt)
	l.rotation = rotation{loop: l, buffer: make([]byte, readBufferSize)}
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

// Listen makes the loop listen on addr and handle each connection with the handler that accept returns. accept runs on
// the loop's goroutine. Listen is called before Start, on the same goroutine.
func (l *Loop) Listen(addr string, accept func(*Conn) AcceptedHandler) {
	l.listeners.accepts[addr] = accept
}

// Start opens the listeners and starts to queue events. It is called once, before Run. It returns a ListenError if it
// can't listen on an address.
func (l *Loop) Start() error { return l.poller.start(l.listeners) }

// Addrs returns the addresses that the loop listens on. It is called after Start, on any goroutine.
func (l *Loop) Addrs() []string { return l.poller.engine.Addrs }

// Now returns the time of the current turn, in whole microseconds of the monotonic clock.
func (l *Loop) Now() time.Duration { return l.now }

// ArrivedAt returns the time at which the data that a handler is receiving arrived. This is when it was read or, if it
// may have waited unread during a stall, when the stall started. It is earlier than Now by the time that the data
// waited for the loop. Deadlines of clients count from ArrivedAt, and times of what is sent are those of Now. Outside
// of Handler.Data it equals Now.
func (l *Loop) ArrivedAt() time.Duration { return l.arrivedAt }

// Post runs call on the loop's goroutine. It returns at once, and any goroutine may call it. After the loop is closed,
// calls are dropped.
func (l *Loop) Post(call func()) { l.PostNamed(postedPart, call) }

// PostNamed is Post for a call that the log names if it makes a turn too long.
func (l *Loop) PostNamed(name string, call func()) {
	l.queue.push(event{kind: callPosted, call: call, name: name})
}

// PartEnded says that a part of the turn has ended, which began when the part before it ended. If the turn turns out
// too long, the log says how long its parts took.
func (l *Loop) PartEnded(name string) { l.profile.end(name) }

// Dial opens a connection and returns at once. The handler's DialCompleted receives the result within timeout, or
// shortly after it.
func (l *Loop) Dial(network, addr string, timeout time.Duration, h DialHandler) *Conn {
	c := newDialedConn(l, network, h)
	l.dialer.start(c, network, addr, timeout)
	return c
}

// Run handles events until Stop is called. In each turn, it calls startTurn with the time of the turn, then the
// handlers of the queued events, then those of the accepted connections that have data, in rotation, and then turn.
// turn returns the latest time at which it wants to be called again. Run blocks, and the goroutine that calls it
// becomes the loop's.
func (l *Loop) Run(startTurn func(now time.Duration), turn func(now time.Duration) time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var spare batch
	l.now = l.clock.now()
	for !l.stopped {
		select {
		case <-l.queue.wake:
		case <-timer.C:
		}
		taken, now := l.queue.take(spare)
		l.stall.recordTurn(l.now, now)
		l.now = now
		l.arrivedAt = now
		l.profile.begin(now)
		startTurn(now)
		l.dispatch(taken.events)
		l.rotation.run(taken.ready)
		l.profile.end(dataPart)
		spare = taken
		next := turn(now)
		l.flushes.flush()
		l.profile.end(writePart)
		l.clients.endTurn(now)
		l.profile.end(clientsPart)
		if !l.flushes.isEmpty() {
			next = min(next, now+stalledRetryDelay)
		}
		end := l.clock.now()
		l.counters.countTurn(end - now)
		l.profile.endTurn(now, end)
		timer.Reset(max(min(next, now+maxTurnInterval)-end, 0))
	}
}

// Stop makes Run return after the current turn.
func (l *Loop) Stop() { l.stopped = true }

// CloseClients stops listening and, from the end of this turn on, closes each accepted connection as soon as it is
// idle. A connection is idle if no response is due on it, its peer has read all that was written, and no part of a
// message has arrived.
func (l *Loop) CloseClients() {
	l.clients.closeAll()
	l.listeners.closeAll()
}

// CloseIdleClient closes one idle client to free its descriptor, and reports whether there was one. Clients may use up
// all descriptors, but this program must still be able to connect to discovery and the workers. It blocks and must not
// be called on the event loop.
func (l *Loop) CloseIdleClient() bool { return l.idleCloser.closeOne() }

// AcceptedCount returns the number of open accepted connections. Any goroutine may call it.
func (l *Loop) AcceptedCount() int { return int(l.admission.count.Load()) }

// UnwrittenBytes returns the number of bytes for accepted peers that the kernel has not accepted yet, including those
// that were queued in this turn.
func (l *Loop) UnwrittenBytes() int { return l.clients.unwrittenBytes() }

// dispatch passes events to their handlers in order, and clears them so that batch keeps no references.
func (l *Loop) dispatch(batch []event) {
	for i := range batch {
		e := &batch[i]
		kind := e.kind
		name := e.name
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
		if kind == callPosted {
			l.profile.end(name)
		} else if i+1 == len(batch) || batch[i+1].kind != kind {
			l.profile.end(partNames[kind])
		}
	}
}

// connectionClosed handles a report by the poller that a connection was closed, by the peer or by this program.
func (l *Loop) connectionClosed(c *Conn, err error) {
	l.clients.remove(c)
	if c.isAccepted {
		l.queue.discardClientData(c)
	}
	if !c.connectionClosed() {
		return
	}
	if c.isAccepted {
		responseDue := l.counters.connectionClosed(c)
		if responseDue && c.state.cause == ClosedByPeer {
			l.clients.lost.add(l.now, c, err)
		}
		l.admission.closed()
	}
	c.notifyClosed(err)
}

// closeIdleClient closes an idle client, and reports whether there was one.
func (l *Loop) closeIdleClient() bool { return l.clients.closeOneIdle(l.now) }

// Package eventloop joins nbio's pollers to the one goroutine that owns all state.
//
// nbio's callbacks only copy and queue. The goroutine in Run takes whatever is queued, hands it
// to the connections' handlers, calls the turn function once, and then writes what came of it,
// one gathered write for each connection.
package eventloop

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

const (
	maxUnwritten = 640 << 10 // bytes a peer may leave unread: 32 answers of 16 KiB and their heads
	readBuffer   = 32 << 10  // of the one poller, not of each connection
	maxVectors   = 512       // buffers in one gathered write; the kernel takes 1,024

	// maxReads is how many buffers the poller reads of a connection in one go. nbio drops what it has not read when it
	// hears of the peer's end, so they hold all that one may owe: a worker's 32 answers of 16 KiB and their heads.
	maxReads   = maxUnwritten / readBuffer
	maxAccepts = 8 // accepted connections that wait for the loop; beyond it none is accepted

	// An accepted connection on which nothing is owed is closed when it has said nothing for idleAfter.
	// One that never sent a whole message, or sent the beginning of one, has messageWithin for it: bytes
	// that trickle in don't count.
	idleAfter     = 15 * time.Second
	messageWithin = 2500 * time.Millisecond

	// askAfter is how long a client may take from its connect to its message before its connection counts
	// as one that says nothing and is the first to make room.
	askAfter = 250 * time.Millisecond

	sweepEvery  = 200 * time.Millisecond
	acceptPause = 20 * time.Millisecond
	roomTries   = 4         // times that idle clients make room for one dial that found no descriptor
	epoch       = time.Hour // the clock's first reading, so that earlier instants are positive too
)

// errSlow closes a peer that does not read while there is too much to be read by all.
var errSlow = errors.New("peer does not read")

// ErrTooManyConnections closes an accepted connection beyond the limit on them.
var ErrTooManyConnections = errors.New("too many accepted connections")

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
	// Busy tells whether the connection has open requests and must be left alone.
	Busy() bool
	// Messages is how many whole messages have come, and whether the beginning of another has.
	Messages() (whole int, begun bool)
}

// DialHandler is the handler of a connection that this program opens.
type DialHandler interface {
	Handler
	// Opened tells how the dial ended. With an error it is the last call.
	DialCompleted(err error)
}

// Config bounds a Loop.
type Config struct {
	MaxAccepted    int // accepted connections at once
	MaxDescriptors int // descriptors of the process
	MaxQueuedBytes int // bytes queued for the loop; beyond it the pollers wait
	MaxUnreadBytes int // bytes that all peers together may leave unread
}

// Loop owns the engine and the queue between it and the goroutine in Run.
type Loop struct {
	cfg       Config
	start     time.Time
	engine    *nbio.Engine
	listeners map[string]func(*Conn) AcceptedHandler

	mu     sync.Mutex
	room   *sync.Cond
	unread atomic.Int64 // bytes that peers have yet to take
	queue  []item
	queued int // bytes in queue
	fresh  int // accepted connections in queue
	oldest time.Duration
	wake   chan struct{}

	// Owned by Run's goroutine.
	now      time.Duration
	accepted map[*Conn]struct{}
	dirty    []*Conn
	swept    time.Duration
	stopped  bool

	refused    int // connections, since complained
	complained time.Duration
}

type item struct {
	conn *Conn
	nc   *nbio.Conn // gotDial
	data []byte
	err  error
	kind kind
	call func()
}

type kind uint8

const (
	gotData kind = iota
	gotConn
	gotEnd
	gotDial
	gotCall
)

// Conn is a connection as its handler sees it. Its methods are for the loop's goroutine.
type Conn struct {
	loop   *Loop
	nc     *nbio.Conn
	accept func(*Conn) AcceptedHandler
	h      Handler
	out    [][]byte
	unread atomic.Int64  // bytes that the peer has yet to take
	unsent int           // bytes that had not left when it ended
	whole  int           // messages that have come
	heard  time.Duration // when the last of them came or was answered, or the connection came
	begun  time.Duration // when the beginning of the next one came; 0: none has
	isUp   bool
	closed bool
	ended  bool
}

// New returns a Loop that listens nowhere yet.
func New(cfg Config) *Loop {
	l := &Loop{cfg: cfg, start: time.Now(), listeners: map[string]func(*Conn) AcceptedHandler{},
		wake: make(chan struct{}, 1), accepted: map[*Conn]struct{}{}}
	l.room = sync.NewCond(&l.mu)
	l.now = l.clock()
	return l
}

// clock reads the monotonic clock in whole microseconds.
func (l *Loop) clock() time.Duration {
	return (epoch + time.Since(l.start)).Truncate(time.Microsecond)
}

// Now is the time of the present turn.
func (l *Loop) Now() time.Duration { return l.now }

// FromUnix turns a Unix time into one on the loop's clock.
func (l *Loop) FromUnix(t time.Time) time.Duration {
	return (epoch + t.Sub(l.start.Round(0))).Truncate(time.Microsecond)
}

// Listen has connections to addr handled by what accept returns. It is called before Start.
func (l *Loop) Listen(addr string, accept func(*Conn) AcceptedHandler) { l.listeners[addr] = accept }

// Start opens the listeners and begins to queue what happens.
func (l *Loop) Start() error {
	logging.SetLevel(logging.LevelNone) // its errors reach our log by the callbacks
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, max(l.cfg.MaxDescriptors, 1024)*2)
	bound := bindings{}
	conf := nbio.Config{Network: "tcp", NPoller: 1, ReadBufferSize: readBuffer, MaxWriteBufferSize: maxUnwritten,
		MaxConnReadTimesPerEventLoop: maxReads,
		Listen: func(network, addr string) (net.Listener, error) {
			ln, err := net.Listen(network, addr)
			if err == nil {
				bound.add(ln.Addr(), l.listeners[addr])
			}
			return ln, err
		}}
	for addr := range l.listeners {
		conf.Addrs = append(conf.Addrs, addr)
	}
	l.engine = nbio.NewEngine(conf)
	l.engine.OnOpen(func(nc *nbio.Conn) {
		if nc.Session() != nil { // a dial of ours: it is announced once it can be written to
			return
		}
		c := &Conn{loop: l, nc: nc, accept: bound.find(nc.LocalAddr())}
		nc.SetSession(c)
		l.push(item{conn: c, kind: gotConn})
	})
	l.engine.OnData(func(nc *nbio.Conn, data []byte) {
		if c, ok := nc.Session().(*Conn); ok {
			l.push(item{conn: c, data: append([]byte(nil), data...)})
		}
	})
	l.engine.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) {
		if c, ok := nc.Session().(*Conn); ok {
			c.unread.Add(int64(-n))
			l.unread.Add(int64(-n))
		}
	})
	l.engine.OnClose(func(nc *nbio.Conn, err error) {
		if c, ok := nc.Session().(*Conn); ok {
			l.push(item{conn: c, err: err, kind: gotEnd})
		}
	})
	l.engine.OnAcceptError(func(err error) {
		// Out of descriptors accept fails at once, and nbio would call it again without end.
		slog.Warn("accept_failed", "err", err)
		if IsDescriptorExhausted(err) {
			l.Post(func() { l.evict() })
		}
		time.Sleep(acceptPause)
	})
	if err := l.engine.Start(); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// bindings finds the listener of a connection by the address that it was made to.
type bindings map[string]func(*Conn) AcceptedHandler

// add enters a listener; one on all addresses is known by its port alone, since each of its
// connections has the address that the peer chose.
func (b bindings) add(addr net.Addr, accept func(*Conn) AcceptedHandler) {
	if a, ok := addr.(*net.TCPAddr); ok && a.IP.IsUnspecified() {
		b[fmt.Sprint(a.Port)] = accept
		return
	}
	b[addr.String()] = accept
}

func (b bindings) find(addr net.Addr) func(*Conn) AcceptedHandler {
	if accept := b[addr.String()]; accept != nil {
		return accept
	}
	if a, ok := addr.(*net.TCPAddr); ok {
		return b[fmt.Sprint(a.Port)]
	}
	return nil
}

// Addrs lists the addresses that the loop listens on.
func (l *Loop) Addrs() []string { return l.engine.Addrs }

// push queues it and wakes the loop. Where too much is queued the caller, a poller, waits: what
// the kernel then holds back slows the peers down. So does the one that accepts, since connections that
// the loop has not seen hold descriptors beyond the limit on them.
func (l *Loop) push(it item) {
	l.mu.Lock()
	for l.queued > l.cfg.MaxQueuedBytes && it.kind == gotData || l.fresh >= maxAccepts && it.kind == gotConn {
		l.room.Wait()
	}
	if it.kind == gotConn {
		l.fresh++
	}
	if len(l.queue) == 0 {
		l.oldest = l.clock()
	}
	l.queue = append(l.queue, it)
	l.queued += len(it.data)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Post has call run on the loop's goroutine.
func (l *Loop) Post(call func()) { l.push(item{call: call, kind: gotCall}) }

// Run serves until Stop. Each turn it calls begin with the time, then the handlers of what was
// gathered, then turn, which returns when it wants to be called again at the latest.
func (l *Loop) Run(begin func(now time.Duration), turn func(now time.Duration) time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var spare []item
	for !l.stopped {
		select {
		case <-l.wake:
		case <-timer.C:
		}
		l.mu.Lock()
		batch := l.queue
		l.queue, l.queued, l.fresh = spare[:0], 0, 0
		// The turn's one reading of the clock. Requests of this turn count from the moment at
		// which the first of them was queued: later would promise more time than there is.
		l.now = l.clock()
		if len(batch) > 0 {
			l.now = l.oldest
		}
		l.room.Broadcast()
		l.mu.Unlock()
		begin(l.now)
		for i := range batch {
			l.dispatch(&batch[i])
			batch[i] = item{}
		}
		spare = batch
		next := turn(l.now)
		l.flush()
		if l.now-l.swept > sweepEvery {
			l.sweep()
		}
		timer.Reset(max(min(next, l.now+sweepEvery)-l.clock(), 0))
	}
}

// Stop has Run return after this turn.
func (l *Loop) Stop() { l.stopped = true }

func (l *Loop) dispatch(it *item) {
	c := it.conn
	switch it.kind {
	case gotCall:
		it.call()
	case gotConn:
		if c.accept == nil || len(l.accepted) >= l.cfg.MaxAccepted && !l.evict() {
			l.refused++
			c.Close()
			return
		}
		c.isUp, c.heard = true, l.now
		l.accepted[c] = struct{}{}
		c.h = c.accept(c)
	case gotDial:
		if c.nc = it.nc; c.closed { // called off meanwhile
			if c.nc != nil {
				c.nc.Close()
			}
			return
		}
		if c.ended { // it ended before this turn heard that it came up
			it.err = errors.Join(it.err, net.ErrClosed)
		}
		c.isUp, c.closed = it.err == nil, it.err != nil
		c.h.(DialHandler).DialCompleted(it.err)
	case gotData:
		if c.h != nil && !c.closed {
			c.h.Data(it.data)
			c.listen()
		}
	case gotEnd:
		delete(l.accepted, c)
		left := c.unread.Swap(0) // nobody takes it any more
		l.unread.Add(-left)
		c.unsent += int(max(left, 0))
		first := !c.ended
		c.ended = true
		if c.h != nil && first && c.isUp {
			c.closed = true
			c.h.Closed(it.err)
		}
	}
}

// listen notes what whole messages an accepted connection has brought.
func (c *Conn) listen() {
	a, ok := c.h.(AcceptedHandler)
	if !ok {
		return
	}
	whole, begun := a.Messages()
	if whole > c.whole {
		c.whole, c.heard, c.begun = whole, c.loop.now, 0
	}
	switch {
	case !begun:
		c.begun = 0
	case c.begun == 0:
		c.begun = c.loop.now
	}
}

// evict closes an accepted connection on which nothing is owed, to make room: the oldest of those that
// should have sent a message and did not, else the one that has been idle for longest, and one that has
// only just come if there is no other. Connections that are opened by hundreds and say nothing so end each
// other, and neither those of clients that asked nor those whose request is on its way.
func (l *Loop) evict() bool {
	var idle *Conn
	for c := range l.accepted {
		if c.closed || c.owes() {
			continue
		}
		if idle == nil || c.rank() < idle.rank() || c.rank() == idle.rank() && c.heard < idle.heard {
			idle = c
		}
	}
	if idle != nil {
		idle.Close()
	}
	return idle != nil
}

// rank orders the accepted connections by which is to make room first.
func (c *Conn) rank() int {
	switch {
	case c.whole > 0:
		return 1
	case c.loop.now-c.heard > askAfter:
		return 0
	}
	return 2
}

// owes tells whether an answer is owed on an accepted connection, or has been given and is yet to leave:
// closing drops what is queued, and with it the only answer to a request.
func (c *Conn) owes() bool {
	return c.h.(AcceptedHandler).Busy() || len(c.out) > 0 || c.unread.Load() > 0
}

func (l *Loop) sweep() {
	l.swept = l.now
	for c := range l.accepted {
		if c.late() && !c.h.(AcceptedHandler).Busy() {
			c.Close()
		}
	}
	if l.refused > 0 && l.now-l.complained > time.Second { // not once for each: a flood would fill the log
		slog.Warn("client_connections_rejected", "count", l.refused, "err", ErrTooManyConnections)
		l.refused, l.complained = 0, l.now
	}
}

// late tells whether an accepted connection has had its time.
func (c *Conn) late() bool {
	switch {
	case c.unread.Load() > 0: // it reads slowly, or not at all
		return c.loop.now-c.heard > idleAfter
	case c.begun > 0:
		return c.loop.now-c.begun > messageWithin
	case c.whole == 0:
		return c.loop.now-c.heard > messageWithin
	}
	return c.loop.now-c.heard > idleAfter
}

// Dial opens a connection and returns at once. A net.Dialer does it on a goroutine of its own: in
// nbio 1.6.8 a refused DialAsync is first reported as connected, and one that connects at once
// leaves its write event set, on which the poller then spins.
func (l *Loop) Dial(network, addr string, timeout time.Duration, h DialHandler) *Conn {
	c := &Conn{loop: l, h: h}
	go func() {
		nc, err := connect(network, addr, timeout)
		for n := 0; n < roomTries && IsDescriptorExhausted(err) && l.CloseIdleClients(); n++ {
			nc, err = connect(network, addr, timeout)
		}
		if err == nil {
			nc.SetSession(c)
			_, err = l.engine.AddConn(nc)
		}
		l.push(item{conn: c, nc: nc, err: err, kind: gotDial})
	}()
	return c
}

// connect opens a connection and makes it nbio's. For a moment it takes two descriptors.
func connect(network, addr string, timeout time.Duration) (*nbio.Conn, error) {
	std, err := dialer(network, timeout).Dial(network, addr)
	if err != nil {
		return nil, err
	}
	nc, err := adopt(std)
	if err != nil {
		std.Close()
	}
	return nc, err
}

// IsDescriptorExhausted tells whether an error is of this machine and says nothing of a peer: no descriptor or buffer is left.
func IsDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS)
}

// CloseIdleClients has an idle client's connection give up its descriptor, and tells whether there was one. Clients may hold
// all that are left; the directory and the workers must be reached all the same. It is not for the loop's goroutine.
func (l *Loop) CloseIdleClients() bool {
	made := make(chan bool, 1)
	l.Post(func() { made <- l.evict() })
	select {
	case ok := <-made:
		return ok
	case <-time.After(time.Second): // the loop has ended, or is held up
		return false
	}
}

// dialer opens sockets of a network. Those for datagrams are bound before they are connected, to what the system
// would choose too: not every system tells the address of one that was only connected, and nbio needs it.
func dialer(network string, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if strings.HasPrefix(network, "udp") {
		d.LocalAddr = &net.UDPAddr{}
	}
	return d
}

// errNameless is of a socket whose own address the system does not tell.
var errNameless = errors.New("socket has no local address")

// adopt makes a socket nbio's. NBConn panics at one for datagrams that has no local address.
func adopt(std net.Conn) (*nbio.Conn, error) {
	if std.LocalAddr() == nil {
		return nil, errNameless
	}
	return nbio.NBConn(std)
}

// RemoteAddr is the address at the other end.
func (c *Conn) RemoteAddr() netip.AddrPort {
	if a, ok := c.nc.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort()
	}
	return netip.AddrPort{}
}

// Write queues buffers for the end of the turn; the connection keeps them until then.
func (c *Conn) Write(bufs ...[]byte) {
	if c.closed {
		return
	}
	if len(c.out) == 0 {
		c.loop.dirty = append(c.loop.dirty, c)
	}
	if c.whole > 0 {
		c.heard = c.loop.now // it is idle from its last answer on, however long that took
	}
	c.out = append(c.out, bufs...)
}

func (l *Loop) flush() {
	for _, c := range l.dirty {
		if !c.closed && c.isUp {
			if err := c.gather(); err != nil {
				c.fail(err)
			}
		} else {
			c.unsent += size(c.out)
		}
		clear(c.out)
		c.out = c.out[:0]
	}
	l.dirty = l.dirty[:0]
}

// gather writes out in as few system calls as it takes, and keeps count of what the peer has yet to
// take. nbio's Writev keeps only the buffer in which a short write ended and drops those after it, and
// keeps nothing when the socket takes no byte at all; what it leaves out is handed to Write, which
// keeps all. It tells of what it wrote (OnWrittenSize) only where that was short, so it is not used
// behind what is still waiting: there it would not be known whether it wrote or kept.
func (c *Conn) gather() error {
	for out := c.out; len(out) > 0; {
		some := out[:min(len(out), maxVectors)]
		out = out[len(some):]
		n := 0
		if len(some) > 1 && c.unread.Load() == 0 {
			var err error
			n, err = c.nc.Writev(some)
			if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
				c.unsent += size(some) + size(out)
				return err
			}
			if n == size(some) {
				continue
			}
			if n = max(n, 0); n > 0 {
				c.owe(n) // as OnWrittenSize has already taken off
			}
		}
		for i, b := range some {
			switch {
			case n >= len(b):
				n -= len(b)
			case n > 0: // the rest of this one is kept
				c.owe(len(b) - n)
				n = 0
			default:
				c.owe(len(b))
				if _, err := c.nc.Write(b); err != nil {
					c.unsent += size(some[i+1:]) + size(out)
					return err
				}
			}
		}
	}
	if c.unread.Load() > 0 && c.loop.unread.Load() > int64(c.loop.cfg.MaxUnreadBytes) {
		return errSlow
	}
	return nil
}

func size(bufs [][]byte) (n int) {
	for _, b := range bufs {
		n += len(b)
	}
	return n
}

// UnsentBytes is how many of the last bytes that were written to a connection that has ended never left this program:
// the kernel did not take them. What it took may have reached the peer.
func (c *Conn) UnsentBytes() int { return c.unsent }

// owe counts bytes that the peer has yet to take; OnWrittenSize takes them off.
func (c *Conn) owe(n int) {
	c.unread.Add(int64(n))
	c.loop.unread.Add(int64(n))
}

// UnwrittenBytes is how many bytes accepted peers have yet to take, what this turn queued for them included.
func (l *Loop) UnwrittenBytes() int {
	sum := int64(0)
	for c := range l.accepted {
		sum += c.unread.Load() + int64(size(c.out))
	}
	return int(sum)
}

// fail ends c after a failed write; the handler hears of it in a later turn.
func (c *Conn) fail(err error) {
	c.closed = true
	if c.nc != nil {
		c.nc.CloseWithError(err)
	}
}

// CloseAfterFlush writes what is queued and closes.
func (c *Conn) CloseAfterFlush() {
	if !c.closed && c.isUp {
		if err := c.gather(); err != nil {
			c.fail(err)
		}
		c.out = c.out[:0]
	}
	c.Close()
}

// Close ends the connection; what this turn queued for it is dropped. Its handler's Closed is
// called in a later turn, if it ever was up.
func (c *Conn) Close() {
	if !c.closed {
		c.fail(nil)
	}
}

package eventloop

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// echo writes back what it receives, as often as it is told to.
type echo struct {
	c     *Conn
	times int
	busy  bool
	whole int
	begun bool
	ends  chan error
}

func (e *echo) Data(b []byte) {
	for range e.times {
		e.c.Write(b, nil, []byte("|"))
	}
}

func (e *echo) Closed(err error)      { e.ends <- err }
func (e *echo) Busy() bool            { return e.busy }
func (e *echo) Messages() (int, bool) { return e.whole, e.begun }

// dialled reports how a dial and its connection ended.
type dialled struct{ opened, closed chan error }

func (d *dialled) Data([]byte)             {}
func (d *dialled) DialCompleted(err error) { d.opened <- err }
func (d *dialled) Closed(err error)        { d.closed <- err }

// reader is a dialled connection that counts what it is handed.
type reader struct {
	dialled
	got atomic.Int64
}

func (r *reader) Data(b []byte) { r.got.Add(int64(len(b))) }

func start(t *testing.T, maxAccepted int, accept func(*Conn) AcceptedHandler) *Loop {
	t.Helper()
	return startWith(t, Config{MaxAccepted: maxAccepted, MaxDescriptors: 256, MaxQueuedBytes: 8 << 20, MaxUnreadBytes: 32 << 20}, accept)
}

func startWith(t *testing.T, cfg Config, accept func(*Conn) AcceptedHandler) *Loop {
	t.Helper()
	l := New(cfg)
	runLoop(t, l, accept)
	return l
}

// runLoop runs a loop that listens on a free port until the test ends.
func runLoop(t *testing.T, l *Loop, accept func(*Conn) AcceptedHandler) {
	t.Helper()
	l.Listen("127.0.0.1:0", accept)
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		l.Run(func(time.Duration) {}, func(now time.Duration) time.Duration { return now + time.Hour })
		l.Close()
		close(done)
	}()
	t.Cleanup(func() {
		l.Post(l.Stop)
		<-done
	})
}

func dial(t *testing.T, l *Loop) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addrs()[0])
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	t.Cleanup(func() { c.Close() })
	return c
}

// dialPeer opens a connection of a loop to a listener of the test's, and returns both ends.
func dialPeer(t *testing.T, l *Loop, network, addr string, h DialHandler, opened <-chan error) (c *Conn, peer net.Conn) {
	t.Helper()
	ln, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	made := make(chan *Conn, 1)
	l.Post(func() { made <- l.Dial(network, ln.Addr().String(), time.Second, h) })
	peer, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	if err := <-opened; err != nil {
		t.Fatal(err)
	}
	return <-made, peer
}

// addClient adds an established connection without a socket to the accepted clients of a loop that does not run.
func addClient(l *Loop, h AcceptedHandler, activity clientActivity) *Conn {
	c := newConn(l, h)
	c.state.established = true
	c.activity = activity
	l.clients.conns[c] = struct{}{}
	return c
}

// hold stops the loop until the returned function is called, so that what happens meanwhile is handled in one turn.
func hold(l *Loop) (release func()) {
	held, released := make(chan struct{}), make(chan struct{})
	l.Post(func() {
		close(held)
		<-released
	})
	<-held
	return func() { close(released) }
}

// awaitQueuedBytes waits until the poller has queued so many bytes for the loop, which is held.
func awaitQueuedBytes(l *Loop, size int) {
	for queued := 0; queued < size; time.Sleep(time.Millisecond) {
		l.queue.mu.Lock()
		queued = l.queue.bytes
		l.queue.mu.Unlock()
	}
}

package eventloop

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// echoHandler writes back what it receives, as many times as the field times says.
type echoHandler struct {
	c        *Conn
	times    int
	busy     bool
	complete int
	partial  bool
	buffered int
	closed   chan error
}

// newEchoHandler returns a handler of c whose Closed does not block.
func newEchoHandler(c *Conn, times int) *echoHandler {
	return &echoHandler{c: c, times: times, closed: make(chan error, 1)}
}

// acceptEcho handles a connection by echoing what it receives.
func acceptEcho(c *Conn) AcceptedHandler { return newEchoHandler(c, 1) }

// acceptSilent handles a connection by writing nothing.
func acceptSilent(c *Conn) AcceptedHandler { return newEchoHandler(c, 0) }

// acceptInto returns an accept function that echoes what a connection receives, and sends the handlers to accepted.
func acceptInto(accepted chan<- *echoHandler, busy bool) func(*Conn) AcceptedHandler {
	return func(c *Conn) AcceptedHandler {
		e := newEchoHandler(c, 1)
		e.busy = busy
		accepted <- e
		return e
	}
}

func (e *echoHandler) Data(b []byte) {
	for range e.times {
		e.c.Write(b, nil, []byte("|"))
	}
}

func (e *echoHandler) Closed(err error)      { e.closed <- err }
func (e *echoHandler) Busy() bool            { return e.busy }
func (e *echoHandler) Messages() (int, bool) { return e.complete, e.partial }
func (e *echoHandler) Buffered() int         { return e.buffered }

// dialRecorder is the handler of a dialed connection that reports the results of the dial and of the connection.
type dialRecorder struct{ opened, closed chan error }

// newDialRecorder returns a handler that does not block the loop, even if it is called twice.
func newDialRecorder() *dialRecorder {
	return &dialRecorder{opened: make(chan error, 2), closed: make(chan error, 2)}
}

func (d *dialRecorder) Data([]byte)             {}
func (d *dialRecorder) DialCompleted(err error) { d.opened <- err }
func (d *dialRecorder) Closed(err error)        { d.closed <- err }

// countingHandler is the handler of a dialed connection that counts the bytes that it receives.
type countingHandler struct {
	*dialRecorder
	received atomic.Int64
}

func (r *countingHandler) Data(b []byte) { r.received.Add(int64(len(b))) }

// oneByteQueue configures a loop whose poller waits while more than one byte of dialed connections is queued, and reads
// no accepted connection while more than one byte of them is.
func oneByteQueue(maxAccepted int) Config {
	return Config{MaxAccepted: maxAccepted, MaxDescriptors: 256, MaxQueuedBytes: 1, MaxUnreadBytes: 32 << 20}
}

// start runs a loop that accepts at most maxAccepted connections. The loop runs until the test ends.
func start(t *testing.T, maxAccepted int, accept func(*Conn) AcceptedHandler) *Loop {
	t.Helper()
	return startWith(t, Config{MaxAccepted: maxAccepted, MaxDescriptors: 256, MaxQueuedBytes: 8 << 20, MaxUnreadBytes: 32 << 20}, accept)
}

// startWith runs a loop with the given configuration until the test ends.
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

// dial connects a client to a loop. The connection is closed when the test ends.
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

// dialPeer has a loop dial a listener of the test, and returns both ends of the connection.
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
	c := newAcceptedConn(l, nil, nil)
	c.handler = h
	c.state.established = true
	c.activity = activity
	l.clients.conns[c] = struct{}{}
	return c
}

// blockLoop runs calls on the loop's goroutine and then blocks it until release is called. What happens meanwhile is
// handled in one turn.
func blockLoop(l *Loop, calls ...func()) (release func()) {
	held, released := make(chan struct{}), make(chan struct{})
	l.Post(func() {
		for _, call := range calls {
			call()
		}
		close(held)
		<-released
	})
	<-held
	return func() { close(released) }
}

// awaitQueuedBytes waits until the poller has queued at least size bytes for the loop, which must be blocked.
func awaitQueuedBytes(l *Loop, size int) {
	for queued := 0; queued < size; time.Sleep(time.Millisecond) {
		l.queue.mu.Lock()
		queued = l.queue.bytes + int(l.queue.clients.bytes.Load())
		l.queue.mu.Unlock()
	}
}

// fillQueue blocks the poller of a loop with oneByteQueue, which must be blocked too: of three bytes that peers of
// dialed connections have written, the third has no room. What else is written is unread until the loop goes on.
func fillQueue(t *testing.T, l *Loop, peers []net.Conn) {
	t.Helper()
	for _, peer := range peers {
		if _, err := peer.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	awaitQueuedBytes(l, 2)
	time.Sleep(5 * time.Millisecond) // the poller goes on to the third byte
}

// dialPeers has a loop dial three listeners of the test, and returns the listeners' ends of the connections.
func dialPeers(t *testing.T, l *Loop) (peers []net.Conn) {
	t.Helper()
	for range 3 {
		recorder := newDialRecorder()
		_, peer := dialPeer(t, l, "tcp", "127.0.0.1:0", recorder, recorder.opened)
		peers = append(peers, peer)
	}
	return peers
}

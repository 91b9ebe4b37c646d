package eventloop

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// pendingEvent is an event that the poller holds and has not handled yet, because it is blocked on another connection.
// The event reports that a connection was closed by its peer.
type pendingEvent struct {
	t          *testing.T
	loop       *Loop
	conn       *Conn // the connection that the event is about
	descriptor int   // its descriptor
	blocker    *Conn
	client     net.Conn // of blocker
	occupied   []int
}

// newPendingEvent blocks the poller of a loop whose handlers are sent to accepted.
func newPendingEvent(t *testing.T, l *Loop, accepted <-chan *echoHandler) *pendingEvent {
	t.Helper()
	accept := func() (net.Conn, *Conn) {
		client := dial(t, l)
		return client, (<-accepted).c
	}
	firstClient, first := accept()
	secondClient, second := accept()
	closedClient, closed := accept()
	first.reader.mu.Lock()
	second.reader.mu.Lock()
	calls := l.poller.calls.Load()
	firstClient.Write([]byte("x"))
	awaitReadableCalls(l, calls+1) // in its own batch
	secondClient.Write([]byte("x"))
	closedClient.Close()
	first.reader.mu.Unlock()
	awaitReadableCalls(l, calls+2) // the rest of this batch is the event of the third connection
	e := &pendingEvent{t: t, loop: l, conn: closed, descriptor: closed.socket.Hash(), blocker: second, client: secondClient}
	t.Cleanup(e.closeOccupied)
	return e
}

// freeDescriptor closes the connection on the loop's goroutine, and occupies all free descriptors below that of the
// connection. The next descriptor that is opened is then that of the closed connection.
func (e *pendingEvent) freeDescriptor() {
	closed := make(chan struct{})
	e.loop.Post(func() {
		e.conn.Close()
		close(closed)
	})
	<-closed
	for {
		descriptor, err := syscall.Open("/dev/null", syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
		switch {
		case err != nil || descriptor > e.descriptor:
			e.t.Errorf("descriptor %d is not free: the next one is %d, %v", e.descriptor, descriptor, err)
			return
		case descriptor == e.descriptor:
			syscall.Close(descriptor)
			return
		}
		e.occupied = append(e.occupied, descriptor)
	}
}

// closeOccupied closes the descriptors that freeDescriptor occupied.
func (e *pendingEvent) closeOccupied() {
	for _, descriptor := range e.occupied {
		syscall.Close(descriptor)
	}
}

// release unblocks the poller and returns once the poller has handled the event.
func (e *pendingEvent) release() {
	e.blocker.reader.mu.Unlock()
	for _, want := range []string{"x|", "y|"} { // the second response belongs to a later batch
		response := make([]byte, len(want))
		if _, err := io.ReadFull(e.client, response); err != nil || string(response) != want {
			e.t.Errorf("response %q, %v", response, err)
		}
		e.client.Write([]byte("y"))
	}
}

// awaitReadableCalls waits until the poller has been called this many times.
func awaitReadableCalls(l *Loop, calls uint64) {
	for l.poller.calls.Load() < calls {
		time.Sleep(time.Millisecond)
	}
}

// hookedListener accepts a connection and, before it returns it, runs the function that was sent to hook, if any.
type hookedListener struct {
	net.Listener
	hook <-chan func()
}

func (p *hookedListener) Accept() (net.Conn, error) {
	conn, err := p.Listener.Accept()
	select {
	case hook := <-p.hook:
		hook()
	default:
	}
	return conn, err
}

// newReuseLoop returns a loop whose limits suffice for the connections of these tests.
func newReuseLoop() *Loop {
	return New(Config{MaxAccepted: 16, MaxDescriptors: 256, MaxQueuedBytes: 8 << 20, MaxUnreadBytes: 32 << 20})
}

// The poller holds an event that reports an earlier connection as closed. It must not close a connection that was
// accepted meanwhile with the same descriptor.
func TestAcceptedConnectionSurvivesDescriptorReuse(t *testing.T) {
	l := newReuseLoop()
	hook := make(chan func(), 1)
	l.listeners.listen = func(network, addr string) (net.Listener, error) {
		listener, err := net.Listen(network, addr)
		return &hookedListener{Listener: listener, hook: hook}, err
	}
	accepted := make(chan *echoHandler, 16)
	runLoop(t, l, acceptInto(accepted, false))
	pending := newPendingEvent(t, l, accepted)
	connected := make(chan struct{})
	hook <- func() {
		<-connected
		pending.freeDescriptor()
	}
	client := dial(t, l)
	close(connected)
	time.Sleep(20 * time.Millisecond) // long enough to be polled
	pending.release()
	newHandler := <-accepted
	if descriptor := newHandler.c.socket.Hash(); descriptor != pending.descriptor {
		t.Fatalf("the connection has descriptor %d, not %d", descriptor, pending.descriptor)
	}
	if _, err := client.Write([]byte("z")); err != nil {
		t.Fatal(err)
	}
	response := make([]byte, 2)
	if _, err := io.ReadFull(client, response); err != nil || string(response) != "z|" {
		t.Errorf("response %q, %v", response, err)
	}
}

// The poller holds an event that reports an earlier connection as closed. It must not close a connection that was
// dialed meanwhile with the same descriptor.
func TestDialedConnectionSurvivesDescriptorReuse(t *testing.T) {
	for _, network := range []string{"tcp", "unix"} {
		t.Run(network, func(t *testing.T) {
			addr := "127.0.0.1:0"
			if network == "unix" {
				addr = filepath.Join(t.TempDir(), "socket")
			}
			ln, err := net.Listen(network, addr)
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			l := newReuseLoop()
			accepted := make(chan *echoHandler, 16)
			runLoop(t, l, acceptInto(accepted, false))
			pending := newPendingEvent(t, l, accepted)
			peers := make(chan net.Conn, 1)
			descriptors := make(chan int, 1)
			l.dialer.connect = func(_ context.Context, network, addr string, timeout time.Duration) (*nbio.Conn, error) {
				netConn, err := net.DialTimeout(network, addr, timeout)
				if err != nil {
					return nil, err
				}
				peer, err := ln.Accept()
				if err != nil {
					return nil, err
				}
				peers <- peer
				pending.freeDescriptor()
				socket, err := convertConn(netConn)
				if err == nil {
					descriptors <- socket.Hash()
				}
				return socket, err
			}
			d := newDialRecorder()
			var c *Conn
			l.Post(func() { c = l.Dial(network, ln.Addr().String(), time.Second, d) })
			peer := <-peers
			defer peer.Close()
			if descriptor := <-descriptors; descriptor != pending.descriptor {
				t.Fatalf("the connection has descriptor %d, not %d", descriptor, pending.descriptor)
			}
			time.Sleep(20 * time.Millisecond) // long enough to be polled
			pending.release()
			if err := <-d.opened; err != nil {
				t.Fatal(err)
			}
			l.Post(func() { c.Write([]byte("z")) })
			peer.SetDeadline(time.Now().Add(20 * time.Second))
			if _, err := io.ReadFull(peer, make([]byte, 1)); err != nil {
				t.Errorf("nothing arrived over the connection: %v", err)
			}
		})
	}
}

// On a system without Unix sockets, the loop works without the descriptor guard.
func TestLoopRunsWithoutUnixSockets(t *testing.T) {
	l := newReuseLoop()
	l.poller.newBarrier = func() (*pollerBarrier, error) {
		return nil, &net.OpError{Op: "file", Net: "unix", Err: syscall.EAFNOSUPPORT}
	}
	accepted := make(chan *echoHandler, 16)
	runLoop(t, l, acceptInto(accepted, false))
	for range 3 {
		client := dial(t, l)
		response := make([]byte, 2)
		if _, err := client.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(client, response); err != nil || string(response) != "x|" {
			t.Errorf("response %q, %v", response, err)
		}
		c := (<-accepted).c
		l.Post(c.Close)
	}
}

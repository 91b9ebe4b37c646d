package eventloop

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

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

// A request that the poller has read is answered although its connection is the one to make room in the same turn.
func TestWhatWasReadIsAnsweredBeforeItsConnectionIsClosedForCapacity(t *testing.T) {
	accepted := make(chan *echo, 10)
	l := start(t, 1, func(c *Conn) AcceptedHandler {
		e := &echo{c: c, times: 1, ends: make(chan error, 1)}
		accepted <- e
		return e
	})
	first := dial(t, l)
	<-accepted
	release := hold(l)
	dial(t, l) // finds no room, and the first connection is idle as far as the loop knows
	if _, err := first.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // the poller reads it, if it may
	release()
	response := make([]byte, len("request|"))
	if n, err := first.Read(response); err != nil || string(response[:n]) != "request|" {
		t.Errorf("response %q, %v", response[:n], err)
	}
}

// A request that is in the kernel's buffer when its idle connection is about to make room is read and answered.
func TestRequestInTheKernelIsAnsweredBeforeItsConnectionIsClosedForCapacity(t *testing.T) {
	accepted := make(chan *echo, 10)
	l := startWith(t, Config{MaxAccepted: 2, MaxDescriptors: 256, MaxQueuedBytes: 1, MaxUnreadBytes: 32 << 20}, func(c *Conn) AcceptedHandler {
		e := &echo{c: c, times: 1, ends: make(chan error, 1)}
		accepted <- e
		return e
	})
	idle, flood := dial(t, l), dial(t, l)
	<-accepted
	<-accepted
	release := hold(l)
	for range 3 { // the poller waits with the third byte, and reads nothing more until the loop goes on
		if _, err := flood.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	awaitQueuedBytes(l, 2)
	if _, err := idle.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	l.Post(func() { l.closeIdleClient() })
	release()
	response := make([]byte, len("request|"))
	if n, err := idle.Read(response); err != nil || string(response[:n]) != "request|" {
		t.Errorf("response %q, %v", response[:n], err)
	}
}

// Nothing is read of a connection that is closed for want of room. The kernel then resets it, since it holds data that
// nobody read; after a read it would end it in order.
func TestConnectionBeyondTheLimitIsNotRead(t *testing.T) {
	accepted := make(chan *echo, 10)
	l := start(t, 1, func(c *Conn) AcceptedHandler {
		e := &echo{c: c, times: 1, busy: true, ends: make(chan error, 1)}
		accepted <- e
		return e
	})
	dial(t, l)
	<-accepted
	release := hold(l)
	further := dial(t, l)
	if _, err := further.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // the poller reads it, if it may
	release()
	if _, err := further.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v", err)
	}
}

// A connection that is closed behind a response which its client takes slowly is closed once the client has it.
func TestResponseIsTakenBeforeItsConnectionCloses(t *testing.T) {
	const size = 80 << 10
	l := start(t, 1, func(c *Conn) AcceptedHandler {
		c.socket.SetWriteBuffer(4 << 10)
		return &closingHandler{echo{c: c, ends: make(chan error, 1)}, size}
	})
	client := dial(t, l)
	client.(*net.TCPConn).SetReadBuffer(4 << 10)
	if _, err := client.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // the kernel's buffers are full, and the rest waits
	got, err := io.ReadAll(client)
	if err != nil || len(got) != size {
		t.Errorf("%d of %d bytes arrived, %v", len(got), size, err)
	}
}

// closingHandler responds to whatever it is sent, and closes.
type closingHandler struct {
	echo
	size int
}

func (h *closingHandler) Data([]byte) {
	h.c.Write(make([]byte, h.size))
	h.c.CloseAfterFlush()
}

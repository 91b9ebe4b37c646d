package eventloop

import (
	"errors"
	"io"
	"syscall"
	"testing"
	"time"
)

func TestAcceptedConnectionsAreLimited(t *testing.T) {
	accepted := make(chan *echo, 10)
	busy := true
	l := start(t, 1, func(c *Conn) AcceptedHandler {
		e := &echo{c: c, times: 1, busy: busy, ends: make(chan error, 1)}
		accepted <- e
		return e
	})
	first := dial(t, l)
	e := <-accepted
	if _, err := dial(t, l).Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a second connection beside a busy one: %v", err)
	}
	l.Post(func() { e.busy = false })
	dial(t, l)
	<-accepted // the idle one made room
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v", err)
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

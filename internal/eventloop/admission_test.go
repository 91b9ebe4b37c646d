package eventloop

import (
	"errors"
	"io"
	"syscall"
	"testing"
	"time"
)

func TestAcceptedConnectionsAreLimited(t *testing.T) {
	accepted := make(chan *echoHandler, 10)
	l := start(t, 1, acceptInto(accepted, true))
	first := dial(t, l)
	e := <-accepted
	if _, err := dial(t, l).Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("second connection at the limit: %v, want EOF or a reset", err)
	}
	l.Post(func() { e.busy = false })
	dial(t, l)
	<-accepted // the idle connection was closed
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read from the idle connection: %v, want EOF", err)
	}
}

// A connection that is rejected at the limit must not be read. The kernel resets it on close only if it still holds
// unread data; if the data had been read, the connection would end with EOF.
func TestConnectionBeyondTheLimitIsNotRead(t *testing.T) {
	accepted := make(chan *echoHandler, 10)
	l := start(t, 1, acceptInto(accepted, true))
	dial(t, l)
	<-accepted
	release := blockLoop(l)
	further := dial(t, l)
	if _, err := further.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // long enough for the poller to read it
	release()
	if _, err := further.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read from the rejected connection: %v, want a reset", err)
	}
}

// Below the limit, a connection is admitted at once. At the limit, an idle connection has to be closed first, which a
// closed loop does not do.
func TestAdmissionClosesIdleClientsAtTheLimit(t *testing.T) {
	l := New(Config{MaxAccepted: 1})
	if !l.admission.admit() {
		t.Error("rejected below the limit")
	}
	l.admission.opened()
	l.Close()
	if l.admission.admit() {
		t.Error("admitted at the limit, without an idle client")
	}
	l.admission.closed()
	if !l.admission.admit() || l.AcceptedCount() != 0 {
		t.Errorf("rejected below the limit, or %d connections are counted, want 0", l.AcceptedCount())
	}
}

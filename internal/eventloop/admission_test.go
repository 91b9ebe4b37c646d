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
		t.Errorf("a second connection beside a busy one: %v", err)
	}
	l.Post(func() { e.busy = false })
	dial(t, l)
	<-accepted // the idle one was closed
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v", err)
	}
}

// Nothing is read of a connection that is closed for lack of a slot. The kernel then resets it, since it holds data that
// was not read. After a read it would end it in order.
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
	time.Sleep(20 * time.Millisecond) // the poller reads it, if it may
	release()
	if _, err := further.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v", err)
	}
}

// Below the limit a connection is admitted at once. At the limit it needs an idle one to be closed, and a loop that has
// ended closes none.
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
		t.Errorf("rejected with %d connections", l.AcceptedCount())
	}
}

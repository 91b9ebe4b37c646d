package eventloop

import (
	"net"
	"testing"
	"time"
)

// timedHandler keeps how long ago, by the loop's clock, data arrived when it is handled.
type timedHandler struct {
	*echoHandler
	waited chan time.Duration
}

func (h *timedHandler) Data([]byte) { h.waited <- h.c.loop.Now() - h.c.loop.ArrivedAt() }

// The time of a turn is the present, and what waited for the turn has arrived before it.
func TestTurnKnowsHowLongDataHasWaited(t *testing.T) {
	const wait = 50 * time.Millisecond
	waited := make(chan time.Duration, 1)
	l := start(t, 1, func(c *Conn) AcceptedHandler {
		return &timedHandler{newEchoHandler(c, 0), waited}
	})
	client := dial(t, l)
	release := hold(l)
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	awaitQueuedBytes(l, 1)
	time.Sleep(wait)
	release()
	if got := <-waited; got < wait {
		t.Errorf("data that waited for %v counts as %v old", wait, got)
	}
}

// Data that a peer wrote before it closed is read to its end, also where it is more than the poller reads in one go.
func TestAllOfALongResponseIsReadBeforeAnEnd(t *testing.T) {
	l := startWith(t, oneByteQueue(4), acceptSilent)
	r := &countingHandler{dialRecorder: newDialRecorder()}
	c, peer := dialPeer(t, l, "tcp", "127.0.0.1:0", r, r.opened)
	peer.(*net.TCPConn).SetWriteBuffer(4 << 20)
	c.socket.SetReadBuffer(4 << 20)
	release := hold(l)
	client := dial(t, l)
	for range 3 { // the poller waits with the third byte
		client.Write([]byte("x"))
		time.Sleep(5 * time.Millisecond)
	}
	awaitQueuedBytes(l, 2)
	peer.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)) // as much as the kernel takes
	size, _ := peer.Write(make([]byte, 3<<20))
	peer.(*net.TCPConn).CloseWrite()
	release()
	<-r.closed
	if got := r.got.Load(); got != int64(size) {
		t.Errorf("%d of %d bytes were read before the end", got, size)
	}
}

// Guards responses that a worker wrote just before it closed: while the poller waits, they and the end arrive together.
// nbio drops what it has not read of a connection once it has seen its end.
func TestAllThatCameBeforeAnEndIsRead(t *testing.T) {
	// The poller waits behind a byte.
	l := startWith(t, oneByteQueue(4), acceptSilent)
	r := &countingHandler{dialRecorder: newDialRecorder()}
	c, peer := dialPeer(t, l, "tcp", "127.0.0.1:0", r, r.opened)
	peer.(*net.TCPConn).SetWriteBuffer(1 << 20)
	release := hold(l, func() { c.socket.SetReadBuffer(1 << 20) }) // as large as the kernel lets a busy one grow
	for range 3 {                                                  // the third byte finds the queue full, and the poller waits with it
		dial(t, l).Write([]byte("x"))
	}
	awaitQueuedBytes(l, 2)
	const size = 10 * (16<<10 + 100) // ten responses
	if _, err := peer.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	peer.(*net.TCPConn).CloseWrite()
	release()
	<-r.closed
	if got := r.got.Load(); got != size {
		t.Errorf("%d of %d bytes were read before the end", got, size)
	}
	peer.Close()
}

// Reading does not stop while the poller reads, nor before the loop has handled all that was read.
func TestReaderStopsOnceItIsDrained(t *testing.T) {
	r := &newAcceptedConn(New(Config{}), nil, nil).reader
	closes := 0
	stop := func() bool { return r.stopIfDrained(nil, nil, func() { closes++ }) }
	r.mu.Lock()
	if stop() {
		t.Error("stopped while the poller reads")
	}
	e := r.newEvent([]byte("x"))
	r.mu.Unlock()
	if stop() {
		t.Error("stopped before the loop handled a read")
	}
	e.conn.receive(e.data)
	if !stop() || !r.stopped || closes != 1 {
		t.Errorf("stopped: %v, closed %d times", r.stopped, closes)
	}
}

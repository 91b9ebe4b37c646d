package eventloop

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// timedHandler records how long data had waited, by the loop's clock, when it is handled.
type timedHandler struct {
	*echoHandler
	waited chan time.Duration
}

func (h *timedHandler) Data([]byte) { h.waited <- h.c.loop.Now() - h.c.loop.ArrivedAt() }

// Data that waited for a turn arrived before that turn's time, which is the current time.
func TestArrivedAtIsWhenDataWasRead(t *testing.T) {
	const wait = 50 * time.Millisecond
	waited := make(chan time.Duration, 1)
	l := start(t, 1, func(c *Conn) AcceptedHandler {
		return &timedHandler{newEchoHandler(c, 0), waited}
	})
	client := dial(t, l)
	release := blockLoop(l)
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

// Data that a peer wrote before it closed the connection is read to the end, even if it is more than the poller reads
// in one call.
func TestLongResponseIsReadBeforeClose(t *testing.T) {
	l := startWith(t, oneByteQueue(4), acceptSilent)
	r := &countingHandler{dialRecorder: newDialRecorder()}
	c, peer := dialPeer(t, l, "tcp", "127.0.0.1:0", r, r.opened)
	peer.(*net.TCPConn).SetWriteBuffer(4 << 20)
	c.socket.SetReadBuffer(4 << 20)
	peers := dialPeers(t, l)
	release := blockLoop(l)
	fillQueue(t, l, peers)
	peer.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)) // as much as the kernel accepts
	size, _ := peer.Write(make([]byte, 3<<20))
	peer.(*net.TCPConn).CloseWrite()
	release()
	<-r.closed
	if received := r.received.Load(); received != int64(size) {
		t.Errorf("%d of %d bytes were read before the close", received, size)
	}
}

// Guards responses that a worker wrote just before it closed the connection. While the poller waits, the responses and
// the close arrive together. nbio drops what it has not read once it has seen the close.
func TestBufferedResponsesAreReadBeforeClose(t *testing.T) {
	// The poller waits because one byte fills the queue.
	l := startWith(t, oneByteQueue(4), acceptSilent)
	r := &countingHandler{dialRecorder: newDialRecorder()}
	c, peer := dialPeer(t, l, "tcp", "127.0.0.1:0", r, r.opened)
	peer.(*net.TCPConn).SetWriteBuffer(1 << 20)
	peers := dialPeers(t, l)
	release := blockLoop(l, func() { c.socket.SetReadBuffer(1 << 20) }) // as large as the kernel lets it grow on a busy connection
	fillQueue(t, l, peers)
	const size = 10 * (16<<10 + 100) // ten responses
	if _, err := peer.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	peer.(*net.TCPConn).CloseWrite()
	release()
	<-r.closed
	if received := r.received.Load(); received != size {
		t.Errorf("%d of %d bytes were read before the close", received, size)
	}
	peer.Close()
}

// Reading is not stopped while the poller reads, nor before the loop has handled all data that was read.
func TestReaderStopsOnceItIsDrained(t *testing.T) {
	c := newAcceptedConn(New(Config{MaxQueuedBytes: 1 << 20}), nil, nil)
	r := &c.reader
	closes := 0
	stop := func() bool { return r.stopIfDrained(nil, nil, func() { closes++ }) }
	r.mu.Lock()
	if stop() {
		t.Error("stopped while the poller reads")
	}
	r.push([]byte("x"))
	r.mu.Unlock()
	if stop() {
		t.Error("stopped before the loop had handled a read")
	}
	if read, _ := r.queue.takeClientData(c, slotBytes); string(read.data) != "x" {
		t.Errorf("%q was read", read.data)
	}
	r.queue.pause(c)
	if stop() {
		t.Error("stopped while there may be more data")
	}
	r.queue.resume(c)
	if !stop() || !r.stopped || closes != 1 {
		t.Errorf("stopped: %v, closed %d times", r.stopped, closes)
	}
}

// failReads makes the next reads of a loop, which must not run yet, fail with err.
func failReads(l *Loop, err error) (remaining *atomic.Int64) {
	remaining = &atomic.Int64{}
	l.read = func(socket *nbio.Conn, buffer []byte) (int, error) {
		if remaining.Add(-1) >= 0 {
			return -1, err
		}
		return readSocket(socket, buffer)
	}
	return remaining
}

// Reads that temporarily fail for lack of memory lose no data that a peer wrote before it closed the connection.
func TestOutOfMemoryReadsLoseNoDataBeforeClose(t *testing.T) {
	for _, errno := range []error{syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR} {
		t.Run(errno.Error(), func(t *testing.T) {
			l := New(oneByteQueue(4))
			failing := failReads(l, errno)
			runLoop(t, l, acceptSilent)
			r := &countingHandler{dialRecorder: newDialRecorder()}
			c, peer := dialPeer(t, l, "tcp", "127.0.0.1:0", r, r.opened)
			const size = 1000
			c.reader.mu.Lock()
			failing.Store(3)
			peer.Write(make([]byte, size))
			peer.Close()
			c.reader.mu.Unlock()
			<-r.closed
			if received := r.received.Load(); received != size {
				t.Errorf("%d of %d bytes were read before the close", received, size)
			}
		})
	}
}

// A connection does not count as idle just because it can't be read for lack of memory.
func TestConnectionThatCannotBeReadIsNotIdle(t *testing.T) {
	for _, errno := range []error{syscall.ENOMEM, syscall.ENOBUFS} {
		t.Run(errno.Error(), func(t *testing.T) {
			l := New(oneByteQueue(4))
			failing := failReads(l, errno)
			accepted := make(chan *echoHandler, 1)
			runLoop(t, l, acceptInto(accepted, false))
			client := dial(t, l)
			c := (<-accepted).c
			c.reader.mu.Lock() // keeps the poller from reading it
			client.Write([]byte("x"))
			awaitReadableCalls(l, 1)
			failing.Store(1)
			mayHaveData := make(chan bool)
			l.Post(func() { mayHaveData <- c.reader.readOnce(c.socket, l.clients.readBuffer) })
			if !<-mayHaveData {
				t.Error("a failed read counts as the end of the data")
			}
			c.reader.mu.Unlock()
			response := make([]byte, 2)
			if _, err := io.ReadFull(client, response); err != nil || string(response) != "x|" {
				t.Errorf("response %q, %v", response, err)
			}
		})
	}
}

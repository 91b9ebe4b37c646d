package eventloop

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// nbio's Writev drops the buffers after a short write. A client that starts to read late, so that the socket fills up,
// must still receive every byte in order.
func TestNothingIsLostInShortWrites(t *testing.T) {
	e := newEchoHandler(nil, 3000)
	wrote := make(chan struct{}, 1)
	l := start(t, 10, func(c *Conn) AcceptedHandler {
		// The kernel's buffer is small, so that few bytes fill it.
		c.socket.SetWriteBuffer(4 << 10)
		e.c = c
		return e
	})
	c := dial(t, l)
	c.(*net.TCPConn).SetReadBuffer(64 << 10)
	text := bytes.Repeat([]byte("0123456789"), 20)
	c.Write(text)
	for unwritten := 0; unwritten == 0; { // until the loop has written more than the kernel accepts
		l.Post(func() { unwritten = l.UnwrittenBytes(); wrote <- struct{}{} })
		<-wrote
	}
	want := bytes.Repeat(append(bytes.Clone(text), '|'), e.times)
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("the received bytes differ from the written ones, %v", err)
	}
	for unwritten := 1; unwritten != 0; { // the poller may not have counted its last write yet
		l.Post(func() { unwritten = l.UnwrittenBytes(); wrote <- struct{}{} })
		<-wrote
	}
}

func TestPeerThatDoesNotReadIsClosed(t *testing.T) {
	e := newEchoHandler(nil, 40000)
	l := start(t, 10, func(c *Conn) AcceptedHandler {
		c.socket.SetWriteBuffer(4 << 10)
		e.c = c
		return e
	})
	c := dial(t, l)
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	c.Write(bytes.Repeat([]byte("x"), 200)) // 8 MB of responses
	if err := <-e.closed; err == nil {
		t.Error("closed without an error")
	}
}

// UnsentBytes proves that a request was never sent. It is the number of bytes that the kernel did not accept for a peer
// that reads little, and 0 for a short message that the kernel accepted.
func TestUnsentBytesWereNotAcceptedByKernel(t *testing.T) {
	for _, size := range []int{100, 6 << 20} {
		l := start(t, 10, acceptSilent)
		d := newDialRecorder()
		c, peer := dialPeer(t, l, "tcp", "127.0.0.1:0", d, d.opened)
		wrote := make(chan bool)
		l.Post(func() {
			for rest := size; rest > 0; rest -= min(rest, 64<<10) {
				c.Write(make([]byte, min(rest, 64<<10)))
			}
			l.Post(func() { close(wrote) }) // runs after the turn that writes the bytes
		})
		<-wrote
		got := 0
		if size < 1000 {
			read, err := io.ReadFull(peer, make([]byte, size))
			if err != nil {
				t.Fatal(err)
			}
			got = read
		}
		peer.(*net.TCPConn).SetLinger(0)
		peer.Close()
		<-d.closed
		unsent := make(chan int)
		l.Post(func() { unsent <- c.UnsentBytes() })
		switch n := <-unsent; {
		case size < 1000 && n != 0:
			t.Errorf("%d bytes of %d are unsent, although %d arrived", n, size, got)
		case size > 1000 && (n <= 0 || n > size):
			t.Errorf("%d bytes of %d are unsent, although the peer read none", n, size)
		}
	}
}

// Guards the last responses during a shutdown: bytes that a turn has queued but not written count as unwritten.
// Otherwise the process would exit early and cut off the response to a slow client.
func TestQueuedBytesCountAsUnwritten(t *testing.T) {
	l := New(Config{})
	c := addClient(l, &echoHandler{}, clientActivity{})
	c.writer.countUnread(3)
	c.Write([]byte("four"), []byte("!"))
	if n := l.UnwrittenBytes(); n != 8 {
		t.Errorf("%d bytes are unwritten, not 8", n)
	}
}

// CloseAfterFlush closes a connection only once its client, which reads slowly, has received the response.
func TestCloseAfterFlushWaitsForSlowClient(t *testing.T) {
	const size = 80 << 10
	l := start(t, 1, func(c *Conn) AcceptedHandler {
		c.socket.SetWriteBuffer(4 << 10)
		return &closingHandler{newEchoHandler(c, 0), size}
	})
	client := dial(t, l)
	client.(*net.TCPConn).SetReadBuffer(4 << 10)
	if _, err := client.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // the kernel's buffers are full, and nbio buffers the rest
	got, err := io.ReadAll(client)
	if err != nil || len(got) != size {
		t.Errorf("%d of %d bytes arrived, %v", len(got), size, err)
	}
}

// closingHandler responds to any data, and then closes the connection.
type closingHandler struct {
	*echoHandler
	size int
}

func (h *closingHandler) Data([]byte) {
	h.c.Write(make([]byte, h.size))
	h.c.CloseAfterFlush()
}

// Bytes that nbio buffers when a connection is closed become unsent, and no longer count as unread.
func TestBufferedBytesAreUnsentAfterClose(t *testing.T) {
	l := New(Config{MaxUnreadBytes: 9})
	c := newDialedConn(l, "tcp", newDialRecorder())
	c.writer.countUnread(10)
	if !c.writer.hasUnread() || !l.unread.isExceeded() {
		t.Error("10 bytes do not exceed a limit of 9")
	}
	c.writer.connectionClosed()
	if c.UnsentBytes() != 10 || c.writer.hasUnread() || l.unread.bytes.Load() != 0 {
		t.Errorf("%d bytes are unsent, %d unread, want 10 and 0", c.UnsentBytes(), l.unread.bytes.Load())
	}
}

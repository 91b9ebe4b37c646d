package eventloop

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against hundreds of clients that stop half way through a large request and fill the memory together: the sum is
// never above its bound, the connection that has been at it for longest goes first, and one on which a response is due
// goes last.
func TestIncompleteMessagesStayWithinTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 1000
		l := New(Config{MaxPartialBytes: bound})
		var handlers []*echoHandler
		for range 8 {
			h := &echoHandler{busy: rapid.Bool().Draw(t, "busy")}
			h.c = addClient(l, h, clientActivity{})
			handlers = append(handlers, h)
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			l.now = time.Duration(step+1) * time.Millisecond
			h := rapid.SampledFrom(handlers).Draw(t, "connection")
			if h.c.state.closed {
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "end") == 0 {
				l.clients.remove(h.c)
				h.c.state.closed = true
				continue
			}
			h.buffered = rapid.IntRange(0, bound/2).Draw(t, "bytes")
			h.partial = h.buffered > 0
			before := openConnections(handlers)
			h.c.receive([]byte("x"))
			sum := 0
			for _, h := range handlers {
				if !h.c.state.closed {
					sum += h.buffered
				}
			}
			if sum != l.clients.partial.bytes || sum > bound {
				t.Fatalf("%d bytes are kept, %d are counted, want at most %d", sum, l.clients.partial.bytes, bound)
			}
			checkOrderOfCloses(t, before)
		}
	})
}

// openConnections returns the handlers whose connections are open.
func openConnections(handlers []*echoHandler) (open []*echoHandler) {
	for _, h := range handlers {
		if !h.c.state.closed {
			open = append(open, h)
		}
	}
	return open
}

// checkOrderOfCloses fails the test if one of the connections that were open before was closed although another should
// have been closed first.
func checkOrderOfCloses(t *rapid.T, before []*echoHandler) {
	for _, closed := range before {
		for _, kept := range before {
			if closed.c.state.closed && !kept.c.state.closed && kept.partial && kept.c.partialClosesBefore(closed.c) {
				t.Fatalf("closed a connection of %v (response due: %v) before one of %v (%v)",
					closed.c.activity.partialSince, closed.busy, kept.c.activity.partialSince, kept.busy)
			}
		}
		if closed.c.state.closed && closed.c.state.cause != ClosedForMemory {
			t.Fatalf("closed for %v", closed.c.state.cause)
		}
	}
}

// Guards against memory of a connection that is counted although its client has gone.
func TestEndOfAConnectionReleasesItsIncompleteMessage(t *testing.T) {
	accepted := make(chan *echoHandler, 1)
	l := start(t, 2, acceptInto(accepted, false))
	client := dial(t, l)
	h := <-accepted
	counted := make(chan int)
	l.Post(func() { h.buffered, h.partial = 100, true })
	client.Write([]byte("x"))
	client.Read(make([]byte, 2))
	l.Post(func() { counted <- l.clients.partial.bytes })
	if got := <-counted; got != 100 {
		t.Errorf("%d bytes are counted, want 100", got)
	}
	client.Close()
	<-h.closed
	l.Post(func() { counted <- l.clients.partial.bytes })
	if got := <-counted; got != 0 {
		t.Errorf("%d bytes are counted after the connection has ended", got)
	}
}

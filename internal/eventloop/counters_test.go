package eventloop

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// awaitCloseCount waits until a loop has closed connections for a cause, and returns their count.
func awaitCloseCount(t *testing.T, l *Loop, cause CloseCause) CloseCount {
	t.Helper()
	for range 2000 {
		counted := make(chan Counters)
		l.Post(func() { counted <- l.Counters() })
		if count := (<-counted).Closes[cause]; count.Connections > 0 {
			return count
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no connection was closed for cause %v", cause)
	return CloseCount{}
}

// Closed connections are counted by cause, and by whether a response was due.
func TestClosesAreCountedByCause(t *testing.T) {
	closeClient := func(_ *Loop, _ *Conn, client io.Closer) { client.Close() }
	for _, test := range []struct {
		cause     CloseCause
		busy      bool
		closeConn func(l *Loop, c *Conn, client io.Closer)
		want      CloseCount
	}{
		{ClosedByPeer, false, closeClient, CloseCount{Connections: 1}},
		{ClosedByPeer, true, closeClient, CloseCount{Connections: 1, ResponseDue: 1}},
		{ClosedByHandler, true, func(l *Loop, c *Conn, _ io.Closer) { l.Post(c.Close) }, CloseCount{Connections: 1, ResponseDue: 1}},
		{ClosedForCapacity, false, func(l *Loop, _ *Conn, _ io.Closer) { l.CloseIdleClient() }, CloseCount{Connections: 1}},
		{ClosedForShutdown, false, func(l *Loop, _ *Conn, _ io.Closer) { l.Post(l.CloseClients) }, CloseCount{Connections: 1}},
	} {
		t.Run(test.cause.String(), func(t *testing.T) {
			accepted := make(chan *echoHandler, 1)
			l := start(t, 8, acceptInto(accepted, test.busy))
			client := dial(t, l)
			c := (<-accepted).c
			test.closeConn(l, c, client)
			if got := awaitCloseCount(t, l, test.cause); got != test.want {
				t.Errorf("counted %+v, want %+v", got, test.want)
			}
		})
	}
}

// A client that leaves while a response is due is logged with what ended its connection, at most once a second. Guards
// against an end that the counters call the peer's, and that nothing tells from one by a late event of the poller.
func TestClientThatLeavesIsLoggedWithItsEvent(t *testing.T) {
	var out bytes.Buffer
	accepted := make(chan *echoHandler, 1)
	l := start(t, 8, acceptInto(accepted, true))
	client := dial(t, l)
	c := (<-accepted).c
	ended := make(chan struct{})
	l.Post(func() {
		l.clients.lost.logger = slog.New(slog.NewTextHandler(&out, nil))
		close(ended)
	})
	<-ended
	client.Close()
	awaitCloseCount(t, l, ClosedByPeer)
	logged := make(chan string)
	l.Post(func() {
		l.clients.lost.add(l.clients.lost.loggedAt+lostLogInterval, c, io.ErrUnexpectedEOF)
		logged <- out.String()
	})
	want := fmt.Sprintf("descriptor=%d err=EOF", c.socket.Hash())
	if got := <-logged; strings.Count(got, "client_connection_lost") != 1 || !strings.Contains(got, want) || !strings.Contains(got, "count=1") {
		t.Errorf("log %q, want one line with %q", got, want)
	}
}

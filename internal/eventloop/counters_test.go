package eventloop

import (
	"io"
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

package eventloop

import (
	"io"
	"testing"
	"time"
)

// endsOf returns the ends of a loop's connections by a cause, once there are some.
func endsOf(t *testing.T, l *Loop, cause EndCause) EndCount {
	t.Helper()
	for range 2000 {
		counted := make(chan Counters)
		l.Post(func() { counted <- l.Counters() })
		if count := (<-counted).Ends[cause]; count.Connections > 0 {
			return count
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no connection ended by %v", cause)
	return EndCount{}
}

// Ends of connections are counted by what caused them, and by whether a response was due.
func TestEndsAreCountedByCause(t *testing.T) {
	closeClient := func(_ *Loop, _ *Conn, client io.Closer) { client.Close() }
	for _, test := range []struct {
		cause EndCause
		busy  bool
		end   func(l *Loop, c *Conn, client io.Closer)
		want  EndCount
	}{
		{EndedByPeer, false, closeClient, EndCount{Connections: 1}},
		{EndedByPeer, true, closeClient, EndCount{Connections: 1, ResponseDue: 1}},
		{EndedByHandler, true, func(l *Loop, c *Conn, _ io.Closer) { l.Post(c.Close) }, EndCount{Connections: 1, ResponseDue: 1}},
		{EndedForRoom, false, func(l *Loop, _ *Conn, _ io.Closer) { l.CloseIdleClients() }, EndCount{Connections: 1}},
		{EndedForShutdown, false, func(l *Loop, _ *Conn, _ io.Closer) { l.Post(l.CloseClients) }, EndCount{Connections: 1}},
	} {
		t.Run(test.cause.String(), func(t *testing.T) {
			accepted := make(chan *echoHandler, 1)
			l := start(t, 8, acceptInto(accepted, test.busy))
			client := dial(t, l)
			c := (<-accepted).c
			test.end(l, c, client)
			if got := endsOf(t, l, test.cause); got != test.want {
				t.Errorf("counted %+v, want %+v", got, test.want)
			}
		})
	}
}

package eventloop

import (
	"net"
	"syscall"
	"testing"
	"time"
)

const (
	// settleTime is long enough for a poller that spins to be called thousands of times.
	settleTime = 50 * time.Millisecond
	// maxSettledCalls limits the calls of the poller within settleTime, in which it pauses for readRetryDelay after
	// each call.
	maxSettledCalls = 2 * int(settleTime/readRetryDelay)
)

// sendUrgent sends one byte of urgent data.
func sendUrgent(t *testing.T, client net.Conn) {
	t.Helper()
	raw, err := client.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(descriptor uintptr) {
		err = syscall.Sendto(int(descriptor), []byte("u"), syscall.MSG_OOB, nil)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// No state that lasts may make nbio call the poller again and again.
func TestPollerDoesNotSpin(t *testing.T) {
	for _, test := range []struct {
		name    string
		arrange func(t *testing.T, l *Loop, c *Conn, client net.Conn) (restore func())
	}{
		{"urgent data", func(t *testing.T, _ *Loop, _ *Conn, client net.Conn) func() {
			sendUrgent(t, client)
			return func() {}
		}},
		{"urgent data after other data", func(t *testing.T, _ *Loop, _ *Conn, client net.Conn) func() {
			client.Write([]byte("x"))
			sendUrgent(t, client)
			return func() {}
		}},
		{"a connection that the peer closed for writing", func(_ *testing.T, _ *Loop, _ *Conn, client net.Conn) func() {
			client.(*net.TCPConn).CloseWrite()
			return func() {}
		}},
		{"a reset", func(_ *testing.T, _ *Loop, _ *Conn, client net.Conn) func() {
			client.(*net.TCPConn).SetLinger(0)
			client.Close()
			return func() {}
		}},
		{"a full queue", func(t *testing.T, l *Loop, _ *Conn, client net.Conn) func() {
			peers := dialPeers(t, l)
			release := blockLoop(l)
			fillQueue(t, l, peers)
			client.Write([]byte("x"))
			return release
		}},
		{"a connection that is left unread", func(_ *testing.T, l *Loop, _ *Conn, client net.Conn) func() {
			release := blockLoop(l)
			for range 3 {
				client.Write([]byte("x"))
				time.Sleep(time.Millisecond)
			}
			return release
		}},
		{"a closed listener", func(_ *testing.T, l *Loop, _ *Conn, _ net.Conn) func() {
			l.Post(l.CloseClients)
			return func() {}
		}},
		{"a reader that has stopped", func(t *testing.T, l *Loop, c *Conn, client net.Conn) func() {
			closed := make(chan bool)
			l.Post(func() { closed <- c.closeIfIdle(ClosedForCapacity) })
			if !<-closed {
				t.Error("the connection is not idle")
			}
			client.Write([]byte("x"))
			return func() {}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := New(oneByteQueue(4))
			accepted := make(chan *echoHandler, 1)
			runLoop(t, l, acceptInto(accepted, false))
			client := dial(t, l)
			c := (<-accepted).c
			defer test.arrange(t, l, c, client)()
			time.Sleep(settleTime)
			before := l.poller.calls.Load()
			time.Sleep(settleTime)
			if calls := l.poller.calls.Load() - before; calls > uint64(maxSettledCalls) {
				t.Errorf("the poller was called %d times in %v", calls, settleTime)
			}
		})
	}
}

// While reads keep failing for lack of memory, the poller is called at most once per millisecond.
func TestPollerPausesWhileReadsRunOutOfMemory(t *testing.T) {
	l := New(oneByteQueue(4))
	failing := failReads(l, syscall.ENOMEM)
	accepted := make(chan *echoHandler, 1)
	runLoop(t, l, acceptInto(accepted, false))
	client := dial(t, l)
	<-accepted
	failing.Store(1 << 40)
	client.Write([]byte("x"))
	time.Sleep(settleTime)
	before := l.poller.calls.Load()
	time.Sleep(settleTime)
	if calls := l.poller.calls.Load() - before; calls > uint64(maxSettledCalls) {
		t.Errorf("the poller was called %d times in %v", calls, settleTime)
	}
	failing.Store(0)
}

package eventloop

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"crankhold/internal/testutil"
)

// isLoopStack reports whether a stack belongs to a goroutine that a loop or nbio has started.
func isLoopStack(stack string) bool {
	return strings.Contains(stack, "internal/eventloop.(*") || strings.Contains(stack, "lesismal/nbio")
}

// requireNoLoopGoroutines fails the test if a goroutine of a loop is still running after 5 s.
func requireNoLoopGoroutines(t *testing.T) {
	t.Helper()
	testutil.RequireGoroutines(t, 0, 5*time.Second, isLoopStack)
}

// Close stops everything that the loop started: a poller that waits for the queue, listeners, accepted and dialed
// connections, and dials.
func TestNoGoroutineIsLeftAfterClose(t *testing.T) {
	requireNoLoopGoroutines(t)
	l := New(oneByteQueue(10))
	l.Listen("127.0.0.1:0", acceptSilent)
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(func(time.Duration) {}, func(now time.Duration) time.Duration { return now + time.Hour })
		l.Close()
	}()
	peer := newDialRecorder()
	l.Post(func() { l.Dial("tcp", l.Addrs()[0], time.Second, peer) })
	if err := <-peer.opened; err != nil {
		t.Fatal(err)
	}
	clients := []net.Conn{dial(t, l), dial(t, l), dial(t, l)}
	peers := dialPeers(t, l)
	release := blockLoop(l, func() {
		l.Stop()
		l.Dial("tcp", "192.0.2.1:80", time.Minute, newDialRecorder()) // an address that does not respond
	})
	for _, c := range clients {
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	fillQueue(t, l, peers) // the poller blocks on the third byte
	release()
	<-done
	requireNoLoopGoroutines(t)
	if _, err := clients[0].Read(make([]byte, 1)); err == nil {
		t.Error("a client's connection is still open")
	}
	l.Post(func() { t.Error("a posted function ran after the loop was closed") })
	if l.CloseIdleClient() {
		t.Error("a closed loop closed a client")
	}
}

// A loop that was never started can be closed.
func TestLoopThatWasNotStartedCloses(t *testing.T) {
	l := New(Config{})
	l.Stop()
	l.Run(func(time.Duration) {}, func(now time.Duration) time.Duration { return now })
	l.Close()
	requireNoLoopGoroutines(t)
}

// nbio's poller clears the flag that stops it when it starts, so Close first waits until it runs.
func TestPollerIsAwaited(t *testing.T) {
	l := start(t, 1, acceptSilent)
	socket, peer, err := socketPair()
	if err != nil {
		t.Fatal(err)
	}
	socket.Close()
	peer.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	l.poller.awaitRunning(ctx)
	if ctx.Err() != nil {
		t.Error("the poller did not run in time")
	}
}

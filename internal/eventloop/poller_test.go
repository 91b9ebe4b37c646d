package eventloop

import (
	"testing"
	"time"
)

// A signal of which the poller leaves the byte unread has it called again without end, while whoever waits for it has no
// processor to end that.
func TestPollerIsCalledOnceForASignal(t *testing.T) {
	l := start(t, 8, acceptEcho)
	socket, peer, err := socketPair()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	signal := &pollerSignal{running: make(chan struct{})}
	if err := l.poller.watch(socket, signal); err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	if _, err := peer.Write([]byte{0}); err != nil {
		t.Fatal(err)
	}
	<-signal.running
	time.Sleep(20 * time.Millisecond) // the socket stays open, as where its owner does not run
	if calls := l.poller.calls.Load(); calls != 1 {
		t.Errorf("the poller was called %d times for one signal", calls)
	}
}

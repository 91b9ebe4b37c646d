package eventloop

import (
	"context"
	"testing"
	"time"
)

// Guards against a poller that leaves the byte of a signal unread. The poller would be called again and again until the
// waiting goroutine gets a processor.
func TestBarrierWaitTakesTwoPollerCalls(t *testing.T) {
	l := start(t, 8, acceptEcho)
	for range 3 {
		before := l.poller.calls.Load()
		if err := l.poller.barrier.await(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // the socket stays open, as it does while its owner does not run
		if calls := l.poller.calls.Load() - before; calls != 2 {
			t.Errorf("the poller was called %d times for one wait", calls)
		}
	}
}

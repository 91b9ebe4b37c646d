package eventloop

import (
	"context"
	"testing"
	"time"
)

// A signal of which the poller leaves the byte unread has it called again without end, while whoever waits for it has no
// processor to end that.
func TestBarrierWaitTakesTwoPollerCalls(t *testing.T) {
	l := start(t, 8, acceptEcho)
	for range 3 {
		before := l.poller.calls.Load()
		if err := l.poller.barrier.await(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // the socket stays open, as where its owner does not run
		if calls := l.poller.calls.Load() - before; calls != 2 {
			t.Errorf("the poller was called %d times for one wait", calls)
		}
	}
}

package eventloop

import (
	"context"
	"sync"
	"time"
)

// closeTimeout limits the time that Close takes. The platform kills a router 0.2 s after the latest end of its graceful
// shutdown.
const closeTimeout = 100 * time.Millisecond

// Close ends all goroutines that the loop started, and closes its sockets. It is called once, after Run has returned or
// in its place. It blocks for at most a tenth of a second, and does not wait longer for goroutines.
func (l *Loop) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	l.queue.close()
	l.dialer.close(ctx)
	if l.poller.engine == nil {
		return // it was never started
	}
	l.listeners.closeAll()
	l.listeners.awaitStopped(ctx)
	l.poller.awaitRunning(ctx)
	// The engine is last: it must not receive new connections while it stops.
	l.poller.shutdown(ctx)
}

// await returns once a group's goroutines have ended, or ctx is done.
func await(ctx context.Context, group *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

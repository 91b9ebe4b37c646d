package eventloop

import (
	"context"
	"sync"
	"time"
)

// closeTimeout limits how long Close takes. The platform kills a router 0.2 s after the latest end of its graceful
// shutdown.
const closeTimeout = 100 * time.Millisecond

// Close stops all goroutines that the loop started, and closes its sockets. It is called once, after Run has returned
// or instead of Run. It blocks for at most a tenth of a second, even if goroutines are still running then.
func (l *Loop) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	l.queue.close()
	l.dialer.close(ctx)
	if l.poller.engine == nil {
		return // Start was not called
	}
	l.listeners.closeAll()
	l.listeners.awaitStopped(ctx)
	l.poller.awaitRunning(ctx)
	// The engine stops last, because it must not receive new connections while it stops.
	l.poller.shutdown(ctx)
}

// await returns once all goroutines of a group have returned, or ctx is done.
func await(ctx context.Context, group *sync.WaitGroup) {
	stopped := make(chan struct{})
	go func() {
		group.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
	}
}

package eventloop

import (
	"context"
	"sync/atomic"
	"time"
)

// closeIdleTimeout is how long another goroutine waits for the loop to close an idle client.
const closeIdleTimeout = time.Second

// admission limits the number of accepted connections. Listeners' goroutines admit connections, and the loop's
// goroutine records when they are closed.
type admission struct {
	limit int64
	// count is the number of open accepted connections, including those that the loop has not handled yet.
	count      atomic.Int64
	idleCloser *idleCloser
}

// admit reports whether one more connection may be accepted. At the limit, it has the loop close an idle client. It
// blocks and must not be called on the event loop.
func (a *admission) admit() bool { return a.count.Load() < a.limit || a.idleCloser.closeOne() }

// opened records an accepted connection.
func (a *admission) opened() { a.count.Add(1) }

// closed records that an accepted connection was closed.
func (a *admission) closed() { a.count.Add(-1) }

// idleCloser lets other goroutines have the loop close idle clients.
type idleCloser struct {
	queue      *queue
	closeIdle  func() bool     // runs on the loop's goroutine
	loopClosed context.Context // done once the loop is closed
}

// requestClose has the loop close an idle client. It returns at once, and any goroutine may call it.
func (i *idleCloser) requestClose() {
	i.queue.push(event{kind: callPosted, call: func() { i.closeIdle() }})
}

// closeOne has the loop close an idle client and reports whether one was closed. It returns false if there is none, if
// the loop is closed, or if the loop does not respond within closeIdleTimeout. It blocks and must not be called on the
// event loop.
func (i *idleCloser) closeOne() bool {
	closed := make(chan bool, 1)
	i.queue.push(event{kind: callPosted, call: func() { closed <- i.closeIdle() }})
	select {
	case ok := <-closed:
		return ok
	case <-i.loopClosed.Done():
		return false
	case <-time.After(closeIdleTimeout): // the loop is blocked
		return false
	}
}

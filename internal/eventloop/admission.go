package eventloop

import (
	"context"
	"sync/atomic"
	"time"
)

// closeIdleTimeout is how long another goroutine waits for the loop to close an idle client.
const closeIdleTimeout = time.Second

// admission keeps the number of accepted connections within a limit. Listeners' goroutines admit connections, and the
// loop's goroutine records their ends.
type admission struct {
	limit int64
	// count is the number of accepted connections that have not ended, including those that the loop has not seen.
	count      atomic.Int64
	idleCloser *idleCloser
}

// admit reports whether one more connection may be accepted. At the limit it has an idle one closed. It blocks and must
// not be called on the event loop.
func (a *admission) admit() bool { return a.count.Load() < a.limit || a.idleCloser.closeOne() }

// opened records an accepted connection.
func (a *admission) opened() { a.count.Add(1) }

// closed records the end of an accepted connection.
func (a *admission) closed() { a.count.Add(-1) }

// idleCloser has the loop close idle clients for other goroutines.
type idleCloser struct {
	queue      *queue
	closeIdle  func() bool     // runs on the loop's goroutine
	loopClosed context.Context // is done when the loop has ended
}

// requestClose has the loop close an idle client. It returns at once, and any goroutine may call it.
func (i *idleCloser) requestClose() {
	i.queue.push(event{kind: callPosted, call: func() { i.closeIdle() }})
}

// closeOne has the loop close an idle client, and reports whether there was one. It returns false when the loop has
// ended, or does not answer within closeIdleTimeout. It blocks and must not be called on the event loop.
func (i *idleCloser) closeOne() bool {
	closed := make(chan bool, 1)
	i.queue.push(event{kind: callPosted, call: func() { closed <- i.closeIdle() }})
	select {
	case ok := <-closed:
		return ok
	case <-i.loopClosed.Done():
		return false
	case <-time.After(closeIdleTimeout): // the loop is held up
		return false
	}
}

package eventloop

import (
	"context"
	"fmt"
	"os"
	"sync"

	"github.com/lesismal/nbio"
)

// pollerBarrier lets other goroutines wait until the polling goroutine has handled every event that it holds.
//
// The polling goroutine takes a batch of events from the kernel and handles them one by one. nbio does not report when
// a batch ends, so pollerBarrier finds out by means of a socket of its own. The kernel reports a socket at most once in
// a batch. Between two calls of handle, the polling goroutine has therefore handled a whole batch and taken the next
// one. A waiter is released by the second call after it was added, because the first may belong to a batch that was
// taken before the waiter was added.
type pollerBarrier struct {
	socket *nbio.Conn // polled by the polling goroutine
	peer   *os.File   // the other end: writing a byte to it makes the polling goroutine call handle

	// Guarded by mu.
	mu          sync.Mutex
	newWaiters  []chan struct{} // waiters that no call of handle has seen
	seenWaiters []chan struct{} // waiters that one call of handle has seen; the next call releases them
	signaled    bool            // a byte has been or will be written for newWaiters
}

// newPollerBarrier returns a barrier whose socket is not polled yet.
func newPollerBarrier() (*pollerBarrier, error) {
	socket, peer, err := socketPair()
	if err != nil {
		return nil, fmt.Errorf("create the poller's socket pair: %w", err)
	}
	return &pollerBarrier{socket: socket, peer: peer}, nil
}

// await returns once the polling goroutine has handled the events that it holds at the time of the call. It returns
// ctx's error if ctx is done first. It blocks, and must not be called on the event loop or the polling goroutine.
func (p *pollerBarrier) await(ctx context.Context) error {
	handled := make(chan struct{})
	if p.addWaiter(handled) {
		if err := p.signal(); err != nil {
			return err
		}
	}
	select {
	case <-handled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// addWaiter adds a waiter, and reports whether the caller has to call signal.
func (p *pollerBarrier) addWaiter(handled chan struct{}) (mustSignal bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newWaiters = append(p.newWaiters, handled)
	mustSignal = !p.signaled
	p.signaled = true
	return mustSignal
}

// signal makes the polling goroutine call handle. It does not block, because at most a few bytes are ever unread.
func (p *pollerBarrier) signal() error {
	_, err := p.peer.Write([]byte{0})
	return err
}

// handle is called on the polling goroutine when the socket is readable. It reads everything, so that the next byte is
// reported again.
func (p *pollerBarrier) handle(buffer []byte) {
	_, _ = p.socket.Read(buffer) // after an error the poller calls handle again, or closes the socket
	if p.advance() {
		_ = p.signal() // fails only once the socket is closed, together with the loop
	}
}

// advance releases the waiters that the last call has seen. It reports whether there are new waiters, which this call
// has seen.
func (p *pollerBarrier) advance() (hasWaiters bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, handled := range p.seenWaiters {
		close(handled)
	}
	p.seenWaiters = p.newWaiters
	p.newWaiters = nil
	p.signaled = len(p.seenWaiters) > 0
	return p.signaled
}

// discard closes both ends of a barrier whose socket was never polled.
func (p *pollerBarrier) discard() {
	p.socket.Close()
	p.peer.Close()
}

// close closes the end that signals are written to. The engine closes the polled socket.
func (p *pollerBarrier) close() { p.peer.Close() }

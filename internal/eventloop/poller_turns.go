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
// The polling goroutine takes a batch of events from the kernel and then handles them one by one, and nbio does not say
// when a batch ends. A socket of our own shows it: the kernel reports a socket once in a batch at most, so between two
// calls for this socket the polling goroutine has handled a batch and taken the next. A waiter is told by the second
// call after its request: the first may belong to a batch that was taken before.
type pollerBarrier struct {
	socket *nbio.Conn // is polled
	peer   *os.File   // the other end: a byte that is written to it has the polling goroutine call handle

	// Guarded by mu.
	mu          sync.Mutex
	newWaiters  []chan struct{} // waiters that no call has seen
	seenWaiters []chan struct{} // waiters that one call has seen; the next one ends their wait
	signaled    bool            // a byte is or will be written for those in requested
}

// newPollerBarrier returns turns of which the socket has yet to be polled.
func newPollerBarrier() (*pollerBarrier, error) {
	socket, peer, err := socketPair()
	if err != nil {
		return nil, fmt.Errorf("poller's own socket: %w", err)
	}
	return &pollerBarrier{socket: socket, peer: peer}, nil
}

// await returns once the polling goroutine has handled the events that it holds at the time of the call, or with ctx's
// error when ctx is done. It blocks, and must be called neither on the event loop nor on the polling goroutine.
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

// addWaiter adds a waiter, and reports whether the caller has to signal.
func (p *pollerBarrier) addWaiter(handled chan struct{}) (mustSignal bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newWaiters = append(p.newWaiters, handled)
	mustSignal = !p.signaled
	p.signaled = true
	return mustSignal
}

// signal has the polling goroutine call handle. At most two bytes are ever unread, so that it does not block.
func (p *pollerBarrier) signal() error {
	_, err := p.peer.Write([]byte{0})
	return err
}

// handle is called by the polling goroutine when the socket can be read. It reads everything: the poll is
// level-triggered, and what is left unread has handle called again without end.
func (p *pollerBarrier) handle(buffer []byte) {
	_, _ = p.socket.Read(buffer) // after an error the poller calls again, or ends the socket
	if p.advance() {
		_ = p.signal() // fails only once the socket is closed, and with it the loop
	}
}

// advance ends the wait of those that the last call has seen, and reports whether there are others.
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

// discard closes both ends of turns whose socket was never polled.
func (p *pollerBarrier) discard() {
	p.socket.Close()
	p.peer.Close()
}

// close ends the signals. The engine closes the polled socket.
func (p *pollerBarrier) close() { p.peer.Close() }

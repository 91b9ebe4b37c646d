package eventloop

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// descriptorGuard delays the polling of a new connection while the polling goroutine may still hold an event of an
// earlier connection with the same descriptor. nbio looks up the connection of an event by its descriptor only when it
// handles the event. Without the guard, it would close the new connection because the old one was closed.
//
// The polling goroutine itself closes a descriptor only while it handles the only event that it holds for that
// descriptor. Therefore, only descriptors that other goroutines close matter. All their calls of nbio that may close a
// descriptor go through the guard.
type descriptorGuard struct {
	loopClosed context.Context // done once the loop is closed; ends all waits
	barrier    *pollerBarrier  // nil until the poller starts, and on systems without Unix sockets: then nothing waits

	mu          sync.Mutex // held during a call that may close a descriptor: its number is free before the call returns
	closedTotal uint64     // number of calls that closed a descriptor; guarded by mu

	reusableTotal atomic.Uint64 // how many of closedTotal have no events left on the polling goroutine
}

// write calls nbio to write to a connection. If that fails, nbio closes the connection.
func (g *descriptorGuard) write(call func() error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	err := call()
	if err != nil {
		g.closedTotal++
	}
	return err
}

// close closes a connection. nbio reports err as the reason.
func (g *descriptorGuard) close(socket *nbio.Conn, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closedTotal++
	_ = socket.CloseWithError(err) // the descriptor is free even if this fails
}

// awaitReusable returns once the polling goroutine holds no event of any descriptor that was closed before the call. It
// returns an error if the loop is closed. It blocks, and must not be called on the event loop or the polling goroutine.
func (g *descriptorGuard) awaitReusable() error {
	if g.barrier == nil {
		return g.loopClosed.Err()
	}
	closed := g.closedCount()
	if g.reusableTotal.Load() >= closed {
		return nil
	}
	err := g.barrier.await(g.loopClosed)
	if err != nil {
		return err
	}
	g.markReusable(closed)
	return nil
}

// closedCount returns the number of calls that closed a descriptor. All of these calls have returned.
func (g *descriptorGuard) closedCount() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closedTotal
}

// markReusable records that the polling goroutine has handled all events of the descriptors that the first total calls
// closed.
func (g *descriptorGuard) markReusable(total uint64) {
	for {
		reusableTotal := g.reusableTotal.Load()
		if reusableTotal >= total || g.reusableTotal.CompareAndSwap(reusableTotal, total) {
			return
		}
	}
}

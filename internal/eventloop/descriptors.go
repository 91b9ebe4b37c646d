package eventloop

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// descriptorGuard keeps a new connection from the polling goroutine while that may hold an event of an earlier
// connection that had the same descriptor. nbio finds the connection of an event by its descriptor when it handles the
// event, and would end the new connection for an end of the old one.
//
// The polling goroutine itself closes a descriptor only while it handles the one event that it holds for it. So what
// counts are descriptors that other goroutines close. All their calls of nbio that may close one go through the guard.
type descriptorGuard struct {
	loopClosed context.Context // ends all waits
	barrier    *pollerBarrier  // nil until the poller starts, and where there can be none: then nothing waits

	mu          sync.Mutex // held during a call that may close a descriptor: its number is free before the call returns
	closedTotal uint64     // calls that closed a descriptor; guarded by mu

	reusableTotal atomic.Uint64 // of closed: the polling goroutine holds no event of these descriptors
}

// write calls nbio to write to a connection. nbio closes the connection where that fails.
func (g *descriptorGuard) write(call func() error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	err := call()
	if err != nil {
		g.closedTotal++
	}
	return err
}

// close closes a connection, with the error that its end is reported with.
func (g *descriptorGuard) close(socket *nbio.Conn, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closedTotal++
	_ = socket.CloseWithError(err) // the descriptor is free, whatever it returns
}

// awaitReusable returns once the polling goroutine holds no event of any descriptor that was closed before the call, or
// with an error when the loop has ended. It blocks, and must be called neither on the event loop nor on the polling
// goroutine.
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

// closedCount returns the number of calls that closed a descriptor. All of them have returned.
func (g *descriptorGuard) closedCount() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closedTotal
}

// markReusable records that the polling goroutine has handled the events of the first closed descriptors.
func (g *descriptorGuard) markReusable(total uint64) {
	for {
		reusableTotal := g.reusableTotal.Load()
		if reusableTotal >= total || g.reusableTotal.CompareAndSwap(reusableTotal, total) {
			return
		}
	}
}

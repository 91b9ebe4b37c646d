package workerclient

import (
	"slices"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// worker is a worker with its addresses and connections. It stays in the pool until its state is Gone and its last
// connection has ended.
type worker struct {
	pool            *Pool
	id              policy.WorkerID
	state           policy.WorkerState
	listedAddresses []endpoint.Addr // as discovery last listed them
	addresses       *endpoint.AddressSet
	connections     []*connection
	recoveryDial    *recoveryDial // in progress, or nil

	processStartedAt time.Duration // when its present process started; 0: unknown
}

// ready reports whether the worker accepts new requests and loads.
func (w *worker) ready() bool { return w.state == policy.Ready }

// setAddresses replaces the addresses with the listed ones if they have changed. The worker may have restarted
// elsewhere, or have fewer addresses, and another worker may listen at one of its old addresses.
func (w *worker) setAddresses(listedAddresses []endpoint.Addr) {
	if len(listedAddresses) == 0 || slices.Equal(listedAddresses, w.listedAddresses) {
		return
	}
	w.listedAddresses = slices.Clone(listedAddresses)
	w.addresses.Update(w.pool.now, listedAddresses)
	for _, c := range slices.Clone(w.connections) {
		switch {
		case !c.state.established():
			c.dialer.restart()
		case !w.addresses.Contains(c.addr):
			c.drain()
		}
	}
	w.cancelRecoveryDial()
}

// setState sets the worker's state. If the worker no longer accepts new commands, those that are queued behind a dial
// complete without being sent, because the dial may succeed too late: a draining worker may be sent requests only for a
// limited time.
func (w *worker) setState(state policy.WorkerState) {
	w.state = state
	if !w.ready() {
		for _, c := range slices.Clone(w.connections) {
			c.failQueuedOnDrain()
			if c.state == connecting && len(c.commands.queued) == 0 {
				c.drain() // no command waits for this dial
			}
		}
		w.cancelRecoveryDial()
	}
	if state == policy.Gone {
		w.closeIdle()
	}
}

// closeIdle closes the connections on which nothing is in flight.
func (w *worker) closeIdle() {
	for _, c := range w.connections {
		if c.state.established() && c.idle() {
			c.close()
		}
	}
}

// maintain performs the housekeeping that is due on the worker's connections and addresses.
func (w *worker) maintain() {
	for _, c := range slices.Clone(w.connections) {
		c.maintain()
	}
	w.maintainRecoveryDial()
}

// respondedToCommandSince reports whether the worker has responded, over any of its connections, to a command that was
// sent after an instant.
func (w *worker) respondedToCommandSince(instant time.Duration) bool {
	return slices.ContainsFunc(w.connections, func(c *connection) bool {
		return c.liveness.latestRespondedSentAt > instant
	})
}

func (w *worker) removeConnection(c *connection) {
	i := slices.Index(w.connections, c)
	if i >= 0 {
		w.connections = slices.Delete(w.connections, i, i+1)
	}
}

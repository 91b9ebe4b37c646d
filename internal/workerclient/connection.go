package workerclient

import (
	"log/slog"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// idleCloseRatio is the part of the workers' keep-alive after which an idle connection is closed.
const idleCloseRatio = 0.8

// connectionState is where a connection is in its life. It only moves on: from connecting to ready when a dial comes
// up, from ready to draining, and from any of them to closing.
type connectionState uint8

const (
	connecting connectionState = iota // being dialled; commands are queued
	ready                             // takes commands
	draining                          // takes nothing new, and is closed once nothing is in flight
	closing                           // closed by this program; what still arrives does not count
)

// String returns the state's name.
func (s connectionState) String() string {
	return [...]string{"connecting", "ready", "draining", "closing"}[s]
}

// established reports whether a dial has come up. It stays true while the connection is being closed.
func (s connectionState) established() bool { return s != connecting }

// acceptsCommands reports whether a command may be given to the connection, which may have to queue it.
func (s connectionState) acceptsCommands() bool { return s == connecting || s == ready }

// connection is a connection to a worker, from its first dial on. It stays in its worker's list until its end has been
// reported. Its owner is the event loop's goroutine, on which all of its methods are called.
type connection struct {
	pool      *Pool
	worker    *worker
	state     connectionState
	dialer    dialer
	addr      endpoint.Addr // over which it was dialled; set once it is ready
	outgoing  outgoingStream
	responses responseReader
	commands  commandQueue
	liveness  livenessMonitor
	lastUsed  time.Duration // when a command was written last, or a response to one arrived
}

func newConnection(w *worker, race *endpoint.DialRace) *connection {
	c := &connection{pool: w.pool, worker: w, commands: newCommandQueue(), lastUsed: w.pool.now}
	c.dialer = dialer{connection: c, race: race}
	return c
}

// idle reports whether nothing is in flight.
func (c *connection) idle() bool { return c.commands.empty() }

// send writes a command, or queues it while the connection is being dialled.
func (c *connection) send(cmd *command) {
	cmd.sendState.connection = c
	c.commands.add(cmd)
	if !c.state.established() {
		cmd.sendState.waited = true
		c.commands.enqueue(cmd)
		return
	}
	c.writeCommand(cmd)
}

// writeCommand writes a command, or ends it where it may not be sent any more.
func (c *connection) writeCommand(cmd *command) {
	now := c.pool.now
	outcome, rejected := cmd.kind.checkBeforeWrite(now, cmd.sendState.waited, c.pool.results)
	if rejected {
		c.commands.remove(cmd)
		c.pool.fail(cmd, outcome)
		return
	}
	cmd.sendState.written = true
	cmd.sendState.sentAt = now
	c.lastUsed = now
	c.outgoing.write(cmd.kind.encode(cmd.id, now)...)
	cmd.sendState.endOffset = c.outgoing.bytesWritten
}

// establish makes the connection that of a dial which has come up, and writes what was queued until then.
func (c *connection) establish(dial *addressDial) {
	c.outgoing.transport = dial.transport
	c.addr = dial.addr
	c.state = ready
	c.dialer.cancel()
	for _, cmd := range c.commands.takeQueued() {
		c.writeCommand(cmd)
	}
}

// failQueuedOnDrain ends what is queued behind the dial and never left, except for what outlives a drain.
func (c *connection) failQueuedOnDrain() {
	for _, cmd := range c.commands.takeQueued() {
		outcome, keep := cmd.kind.keepOnDrain()
		if keep {
			c.commands.enqueue(cmd)
			continue
		}
		c.commands.remove(cmd)
		c.pool.fail(cmd, outcome)
	}
}

// maintain does what is due on the connection.
func (c *connection) maintain() {
	c.commands.recentIDs.rotate(c.pool.now)
	switch c.state {
	case connecting:
		c.dialer.start() // over another address, where it is time
	case ready:
		c.maintainReady()
	case draining:
		if c.idle() {
			c.close()
		}
	case closing: // its end follows
	}
}

// maintainReady drains a connection that is to be replaced, closes one that is idle for long, and otherwise checks that
// it still works.
func (c *connection) maintainReady() {
	now := c.pool.now
	switch {
	case c.commands.recentIDs.full(): // it takes no more requests, and would hold its slot for seconds
		c.drain()
	case c.worker.addresses.HasBetter(now, c.addr):
		c.drain()
	case c.idle() && now-c.lastUsed > c.maxIdle():
		c.close()
	default:
		c.checkLiveness()
	}
}

// maxIdle is for how long the connection may be idle.
func (c *connection) maxIdle() time.Duration {
	return time.Duration(idleCloseRatio * float64(c.pool.cfg.KeepAlive))
}

// drain has the connection take nothing new; it is closed once nothing is in flight.
func (c *connection) drain() {
	switch {
	case c.state == connecting:
		c.close()
		c.terminate(policy.Unreachable)
	case c.idle():
		c.close()
	case c.state == ready:
		c.state = draining
	}
}

// closeWithError closes a connection that is of no further use.
func (c *connection) closeWithError(reason error) {
	err := &ConnectionError{Addr: c.addr, Reason: reason}
	c.pool.logger.Warn("worker_connection_closed", slog.String("addr", c.addr.String()), slog.Any("err", err))
	c.close()
}

// close closes the connection; Closed follows. Nothing new goes to it: it would count as written.
func (c *connection) close() {
	c.state = closing
	c.outgoing.close()
	c.dialer.cancel()
}

// Closed handles the end of the connection: what left whole may have run.
func (c *connection) Closed(error) {
	if c.liveness.lastResponse == 0 && c.state != closing {
		c.worker.addresses.Failed(c.pool.now, c.addr) // it came up and was of no use
	}
	c.terminate(policy.ConnectionReset)
}

// terminate removes the connection from its worker and ends all that is in flight on it, in a fixed order.
func (c *connection) terminate(outcome policy.Outcome) {
	bytesSent := c.outgoing.bytesSent()
	c.worker.removeConnection(c)
	commands := c.commands.sortedInFlight()
	c.commands.clear()
	for _, cmd := range commands {
		c.pool.handleInterrupted(c.worker, cmd, outcome, bytesSent)
	}
}

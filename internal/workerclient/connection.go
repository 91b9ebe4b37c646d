package workerclient

import (
	"log/slog"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// idleCloseRatio is the fraction of the workers' keep-alive time after which an idle connection is closed.
const idleCloseRatio = 0.8

// connectionState is the stage of a connection in its life cycle. It only advances: from connecting to ready when a
// dial succeeds, from ready to draining, and from any of them to closing.
type connectionState uint8

const (
	connecting connectionState = iota // being dialed; commands are queued
	ready                             // accepts commands
	draining                          // accepts no new commands, and is closed once nothing is in flight
	closing                           // closed by this program; data that still arrives is ignored
)

// String returns the state's name.
func (s connectionState) String() string {
	return [...]string{"connecting", "ready", "draining", "closing"}[s]
}

// established reports whether the connection is past its dial. It stays true while the connection is being closed.
func (s connectionState) established() bool { return s != connecting }

// acceptsCommands reports whether the connection accepts commands, which it queues while it is being dialed.
func (s connectionState) acceptsCommands() bool { return s == connecting || s == ready }

// connection is a connection to a worker, starting with its first dial. It stays in its worker's list until its end has
// been reported. The event loop's goroutine owns it and calls all of its methods.
type connection struct {
	pool      *Pool
	worker    *worker
	state     connectionState
	dialer    dialer
	addr      endpoint.Addr // the address whose dial succeeded; set once the connection is ready
	outgoing  outgoingStream
	responses responseReader
	commands  commandQueue
	liveness  livenessMonitor
	lastUsed  time.Duration // when a command was last written, or a response to one last arrived

	establishedAt   time.Duration // when the dial succeeded
	processReplaced bool          // it was closed because another process has taken the worker's place
}

func newConnection(w *worker, race *endpoint.DialRace) *connection {
	c := &connection{pool: w.pool, worker: w, commands: newCommandQueue(), lastUsed: w.pool.now}
	c.commands.recentIDs.budget = &w.pool.idBudget
	c.dialer = dialer{connection: c, race: race}
	return c
}

// idle reports whether nothing is in flight.
func (c *connection) idle() bool { return c.commands.empty() }

// send writes a command, or queues it while the connection is being dialed.
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

// writeCommand writes a command, or completes it without writing it if it may no longer be sent.
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

// establish takes over the transport of the dial that succeeded, and writes the queued commands.
func (c *connection) establish(attempt *dial) {
	c.outgoing.transport = attempt.transport
	c.addr = attempt.addr
	c.establishedAt = c.pool.now
	c.state = ready
	c.dialer.cancel()
	for _, cmd := range c.commands.takeQueued() {
		c.writeCommand(cmd)
	}
}

// failQueuedOnDrain fails the commands that are queued behind the dial and were never sent, except for those that stay
// queued when a worker drains.
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

// maintain performs the housekeeping that is due on the connection.
func (c *connection) maintain() {
	c.commands.recentIDs.rotate(c.pool.now)
	switch c.state {
	case connecting:
		c.dialer.start() // dials a further address if that is due
	case ready:
		c.maintainReady()
	case draining:
		if c.idle() {
			c.close()
		}
	case closing: // Closed follows
	}
}

// maintainReady drains a connection that must be replaced, closes one that has been idle for too long, and otherwise
// checks that it still works.
func (c *connection) maintainReady() {
	now := c.pool.now
	switch {
	case c.commands.recentIDs.full(): // it accepts no more requests, and would use up a connection for seconds
		c.drain()
	case c.worker.addresses.HasBetter(now, c.addr):
		c.drain()
	case c.idle() && now-c.lastUsed > c.maxIdle():
		c.close()
	default:
		c.checkLiveness()
	}
}

// maxIdle returns how long the connection may be idle.
func (c *connection) maxIdle() time.Duration {
	return time.Duration(idleCloseRatio * float64(c.pool.cfg.KeepAlive))
}

// drain makes the connection accept no new commands. The connection is closed once nothing is in flight.
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

// closeWithError logs the reason and closes the connection.
func (c *connection) closeWithError(reason error) {
	err := &ConnectionError{Addr: c.addr, Reason: reason}
	c.pool.logger.Warn("worker_connection_closed", slog.String("addr", c.addr.String()), slog.Any("err", err))
	c.close()
}

// close closes the connection; Closed follows. No new command may be given to it, because the command would count as
// written.
func (c *connection) close() {
	c.state = closing
	c.outgoing.close()
	c.dialer.cancel()
}

// Closed handles the end of the connection. Commands that were sent whole may have run.
func (c *connection) Closed(error) {
	if c.liveness.lastResponse == 0 && c.state != closing {
		c.worker.addresses.RecordFailure(c.pool.now, c.addr) // it was established but no response ever arrived
	}
	c.terminate(c.endOutcome())
}

// terminate removes the connection from its worker, and resends or fails all commands in flight on it, in a fixed
// order.
func (c *connection) terminate(outcome policy.Outcome) {
	bytesSent := c.outgoing.bytesSent()
	c.worker.removeConnection(c)
	interrupted := c.commands.sortedInFlight()
	c.commands.clear()
	for _, cmd := range interrupted {
		c.pool.handleInterrupted(c.worker, cmd, outcome, bytesSent)
	}
}

package workerclient

import (
	"log/slog"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/framing"
	"crankhold/policy"
)

// idleCloseRatio is the part of the workers' keep-alive after which an idle connection is closed.
const idleCloseRatio = 0.8

// connectionState is where a connection is in its life.
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

// connection is a connection to a worker, from its first dial on.
type connection struct {
	pool   *Pool
	worker *worker
	state  connectionState

	race      *endpoint.DialRace
	dials     []*dial       // under way
	winner    *dial         // the one that came up first; nil while connecting
	transport Transport     // the winner's
	addr      endpoint.Addr // the winner's

	inFlight     map[string]*command // by id; queued ones too
	queued       []*command          // behind the dial
	runsInFlight int
	recentIDs    idHistory // of requests that are no longer in flight
	bytesWritten int
	lastUsed     time.Duration

	partial      framing.Buffer // the beginning of a response
	partialSince time.Duration  // when that arrived

	lastResponse    time.Duration // when the latest response arrived
	lastRunResponse time.Duration // when the latest response to a request did
	latestAnswered  time.Duration // when the command was sent, of those responded to, that was sent last
	pingedAt        time.Duration // when the keepalive ping was sent that awaits a sign of life; 0: none does
}

func newConnection(w *worker, race *endpoint.DialRace) *connection {
	return &connection{pool: w.pool, worker: w, race: race, inFlight: map[string]*command{}, lastUsed: w.pool.now}
}

// connected reports whether the dial has come up. It stays true for a connection that is being closed.
func (c *connection) connected() bool { return c.state != connecting }

// idle reports whether nothing is in flight.
func (c *connection) idle() bool { return len(c.inFlight) == 0 }

// send writes a command, or queues it while the connection is being dialled.
func (c *connection) send(cmd *command) {
	cmd.conn = c
	c.inFlight[cmd.id] = cmd
	if cmd.kind == runCommand {
		c.runsInFlight++
	}
	if !c.connected() {
		cmd.waited = true
		c.queued = append(c.queued, cmd)
		return
	}
	c.writeCommand(cmd)
}

// writeCommand writes a command, unless it may not be sent any more: nothing would be left of a request's budget, the
// worker might no longer know it for a repeat, or the budget of loads has been used up.
func (c *connection) writeCommand(cmd *command) {
	if cmd.kind == runCommand {
		if c.pool.now >= cmd.sendBy {
			c.remove(cmd)
			c.pool.fail(cmd, policy.Unreachable)
			return
		}
		cmd.header = encodeRun(cmd.run, cmd.expires-c.pool.now)
	}
	if cmd.kind == loadCommand && cmd.count > 0 && cmd.waited && !c.pool.results.MaySendLoad(cmd.tag) {
		c.remove(cmd)
		c.pool.fail(cmd, policy.Overloaded)
		return
	}
	cmd.written = true
	cmd.sentAt = c.pool.now
	c.lastUsed = c.pool.now
	if cmd.kind == runCommand {
		c.write(cmd.header, cmd.body, lineEnd)
	} else {
		c.write(cmd.header)
	}
	cmd.endOffset = c.bytesWritten
}

// write writes to the transport and counts.
func (c *connection) write(bufs ...[]byte) {
	for _, buf := range bufs {
		c.bytesWritten += len(buf)
	}
	c.transport.Write(bufs...)
}

// writeQueued sends what was queued until the connection came up.
func (c *connection) writeQueued() {
	queued := c.queued
	c.queued = nil
	for _, cmd := range queued {
		c.writeCommand(cmd)
	}
}

// dequeue removes a command that is queued behind the dial; others it leaves.
func (c *connection) dequeue(cmd *command) {
	for i, queued := range c.queued {
		if queued == cmd {
			c.queued = append(c.queued[:i], c.queued[i+1:]...)
			c.remove(cmd)
			return
		}
	}
}

// failQueued ends what is queued behind the dial and never left, except for health checks.
func (c *connection) failQueued() {
	var kept []*command
	for _, cmd := range c.queued {
		if cmd.kind == healthCheckCommand {
			kept = append(kept, cmd)
			continue
		}
		c.remove(cmd)
		if cmd.kind == loadCommand {
			c.pool.fail(cmd, policy.Overloaded) // as a draining worker would have responded
		} else {
			c.pool.fail(cmd, policy.Unreachable)
		}
	}
	c.queued = kept
}

// remove takes a command out of those in flight, if it still is. The id of a request that was written is not used on
// this connection again.
func (c *connection) remove(cmd *command) {
	if c.inFlight[cmd.id] != cmd {
		return
	}
	delete(c.inFlight, cmd.id)
	if cmd.kind != runCommand {
		return
	}
	c.runsInFlight--
	if cmd.written {
		c.recentIDs.add(cmd.id)
	}
}

// maintain does what is due on the connection.
func (c *connection) maintain() {
	now := c.pool.now
	c.recentIDs.rotate(now)
	switch c.state {
	case connecting:
		c.startDials() // over another address, where it is time
	case ready:
		switch {
		case c.recentIDs.full(), c.worker.addresses.HasBetter(now, c.addr):
			c.drain() // one that can remember no more ids takes no requests, and would keep its place for seconds
		case c.idle() && now-c.lastUsed > c.maxIdle():
			c.close()
		default:
			c.checkLiveness()
		}
	case draining:
		if c.idle() {
			c.close()
		}
	case closing: // its end follows
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
	slog.Warn("worker_connection_closed", slog.String("addr", c.addr.String()), slog.Any("err", err))
	c.close()
}

// close closes the connection; Closed follows. Nothing new goes to it: it would count as written.
func (c *connection) close() {
	c.state = closing
	if c.transport != nil {
		c.transport.Close()
	}
	c.cancelDials()
}

// Closed handles the end of the connection: what left whole may have run.
func (c *connection) Closed(error) {
	if c.lastResponse == 0 && c.state != closing {
		c.worker.addresses.Failed(c.pool.now, c.addr) // it came up and was of no use
	}
	c.terminate(policy.ConnectionReset)
}

// terminate removes the connection from its worker and ends all that is in flight on it.
func (c *connection) terminate(outcome policy.Outcome) {
	arrivable := c.bytesWritten
	if c.transport != nil {
		arrivable -= c.transport.UnsentBytes()
	}
	c.worker.removeConnection(c)
	interrupted := c.commandsInOrder()
	clear(c.inFlight)
	c.queued = nil
	for _, cmd := range interrupted {
		c.pool.connectionEnded(c.worker, cmd, outcome, arrivable)
	}
}

// commandsInOrder returns what is in flight in a fixed order.
func (c *connection) commandsInOrder() []*command {
	commands := make([]*command, 0, len(c.inFlight))
	for _, cmd := range c.inFlight {
		commands = append(commands, cmd)
	}
	sortByID(commands)
	return commands
}

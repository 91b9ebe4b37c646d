package workerclient

import "crankhold/internal/endpoint"

// maxConnectionsPerWorker is the maximum number of connections to one worker.
const maxConnectionsPerWorker = 10

// preference ranks the connections of a worker by how well they suit a command, the least suitable first.
type preference int

const (
	unusable preference = iota
	// lastResort is for a connection that is silent, or on which a response has stalled. It is used only if no further
	// connection may be opened.
	lastResort
	queues    // the command is queued behind the dial
	immediate // the command is written at once
)

// pickConnection returns the connection for a command: an established one if possible, otherwise one that is being
// dialed, otherwise a new one. It returns a silent or stalled connection only if no new one may be opened, and nil if
// there is none.
func (p *Pool) pickConnection(w *worker, cmd *command) *connection {
	var best *connection
	highest := unusable
	for _, c := range w.connections {
		preference := c.preferenceFor(cmd)
		if preference > highest {
			best = c
			highest = preference
		}
	}
	if highest > lastResort || len(w.connections) >= maxConnectionsPerWorker || w.addresses.Len() == 0 {
		return best
	}
	if !p.ensureCapacity() {
		return best
	}
	race := endpoint.NewDialRace(w.addresses.Candidates(), p.cfg.DialTimeout, cmd.dialBudget(p.now))
	c := newConnection(w, race)
	w.connections = append(w.connections, c)
	c.dialer.start()
	return c
}

// preferenceFor returns how well c suits a command. A connection carries the id of each request only once, and no more
// requests at a time than a worker accepts on one connection.
func (c *connection) preferenceFor(cmd *command) preference {
	if !c.state.acceptsCommands() || c.commands.has(cmd.id) {
		return unusable
	}
	if cmd.request() != nil && !c.commands.acceptsRequest(cmd.id, c.pool.cfg.MaxRequestsPerConnection) {
		return unusable
	}
	switch {
	case c.liveness.awaitsPingResponse() || c.stalled():
		return lastResort
	case c.state == connecting:
		return queues
	}
	return immediate
}

package workerclient

import "crankhold/internal/endpoint"

// maxConnectionsPerWorker bounds the connections to one worker.
const maxConnectionsPerWorker = 10

// preference orders the connections of a worker by how well they suit a command, the least suitable first.
type preference int

const (
	unusable preference = iota
	// lastResort is for one that is silent, or whose response does not arrive: it is used where no further connection
	// may be opened.
	lastResort
	queues    // queues behind the dial
	immediate // sends at once
)

// pickConnection returns the connection for a command: one that is up, else one that is being dialled, else a new one,
// and a silent one only where no more may be opened. It returns nil where there is none.
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

// preferenceFor returns how well c suits a command. A connection carries each request's id once, and no more requests
// at a time than a worker takes on one.
func (c *connection) preferenceFor(cmd *command) preference {
	if !c.state.acceptsCommands() || c.commands.has(cmd.id) {
		return unusable
	}
	if cmd.request() != nil && !c.commands.acceptsRequest(cmd.id, c.pool.cfg.MaxRequestsPerConnection) {
		return unusable
	}
	switch {
	case c.liveness.awaitsPing() || c.stalled():
		return lastResort
	case c.state == connecting:
		return queues
	}
	return immediate
}

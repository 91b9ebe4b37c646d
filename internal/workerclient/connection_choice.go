package workerclient

import "crankhold/internal/endpoint"

// maxConnectionsPerWorker bounds the connections to one worker.
const maxConnectionsPerWorker = 10

// preference orders connections by how gladly they are used.
type preference int

const (
	unusable   preference = iota
	lastResort            // silent, or with a response that does not arrive: used where no further connection may be opened
	queues                // queues behind the dial
	immediate             // sends at once
)

// pickConnection returns the connection for a command: one that is up, else one that is being dialled, else a new one,
// and a doubtful one only where no more may be opened. It returns nil where there is none.
func (p *Pool) pickConnection(w *worker, cmd *command) *connection {
	var best *connection
	bestPreference := unusable
	for _, c := range w.connections {
		preferred := c.preferenceFor(cmd)
		if preferred > bestPreference {
			best, bestPreference = c, preferred
		}
	}
	if bestPreference > lastResort || len(w.connections) >= maxConnectionsPerWorker || w.addresses.Len() == 0 {
		return best
	}
	if !p.ensureCapacity() {
		return best
	}
	c := newConnection(w, endpoint.NewDialRace(w.addresses.Candidates(), p.cfg.DialTimeout, cmd.dialBudget(p.now)))
	w.connections = append(w.connections, c)
	c.startDials()
	return c
}

// preferenceFor says how well c suits a command. A connection carries each request's id once, and no more requests at a
// time than a worker takes on one.
func (c *connection) preferenceFor(cmd *command) preference {
	if c.state == draining || c.state == closing || c.inFlight[cmd.id] != nil {
		return unusable
	}
	if cmd.kind == runCommand && !c.acceptsRequest(cmd.id) {
		return unusable
	}
	switch {
	case c.pingedAt > 0 || c.stalled():
		return lastResort
	case c.state == connecting:
		return queues
	}
	return immediate
}

// acceptsRequest reports whether one more request may go over c.
func (c *connection) acceptsRequest(id string) bool {
	return c.runsInFlight < c.pool.cfg.MaxRequestsPerConnection && !c.recentIDs.has(id) && !c.recentIDs.full()
}

// ensureCapacity reports whether one more connection may be opened. At the limit it closes the one that has been idle
// for longest, so that workers that are added late get theirs.
func (p *Pool) ensureCapacity() bool {
	if p.connectionsInUse() < p.cfg.MaxConnections {
		return true
	}
	idle := p.longestIdle()
	if idle == nil {
		return false
	}
	idle.close()
	return true
}

// connectionsInUse counts connections, and dials as far as there are several for one.
func (p *Pool) connectionsInUse() (count int) {
	for _, w := range p.workersInOrder {
		if w.recoveryDial != nil {
			count++
		}
		for _, c := range w.connections {
			count += max(len(c.dials), 1)
		}
	}
	return count
}

// longestIdle returns the connection that has been idle for longest, or nil.
func (p *Pool) longestIdle() (longest *connection) {
	for _, w := range p.workersInOrder {
		for _, c := range w.connections {
			if c.state == ready && c.idle() && (longest == nil || c.lastUsed < longest.lastUsed) {
				longest = c
			}
		}
	}
	return longest
}

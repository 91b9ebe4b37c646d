package workerclient

import "crankhold/policy"

// Load makes a worker load count replicas of a function. A count of 0 only asks how many are loaded, and then the
// worker need not be ready. The result may be reported before Load returns.
func (p *Pool) Load(id policy.WorkerID, f policy.FunctionID, count int, commandID uint64) {
	load := &loadCommand{commandID: commandID, function: f, replicas: count}
	cmd := &command{id: loadID(commandID), kind: load}
	w := p.workers[id]
	if count > 0 && w != nil && !w.ready() {
		p.fail(cmd, policy.Unreachable)
		return
	}
	p.send(w, cmd)
}

// CheckHealth asks whether a worker responds, and for its load report. The result may be reported before CheckHealth
// returns.
func (p *Pool) CheckHealth(id policy.WorkerID, commandID uint64) {
	check := &healthCheckCommand{commandID: commandID}
	p.send(p.workers[id], &command{id: healthCheckID(commandID), kind: check})
}

// CancelCommand cancels a load or a health check; no result follows. Nothing is sent to the worker.
func (p *Pool) CancelCommand(id policy.WorkerID, commandID uint64) {
	w := p.workers[id]
	if w == nil {
		return
	}
	wireIDs := [...]string{loadID(commandID), healthCheckID(commandID)}
	for _, c := range w.connections {
		for _, wireID := range wireIDs {
			cmd := c.commands.inFlight[wireID]
			if cmd != nil {
				c.commands.dequeue(cmd)
				c.commands.remove(cmd)
			}
		}
	}
}

// Unload makes a worker unload the idle replicas of a function. It does nothing if no connection is established:
// workers unload idle replicas anyway after a time, so a dial is not worthwhile.
func (p *Pool) Unload(id policy.WorkerID, f policy.FunctionID) {
	w := p.workers[id]
	if w == nil {
		return
	}
	for _, c := range w.connections {
		if c.state.established() {
			c.outgoing.write(encodeFree(f))
			return
		}
	}
}

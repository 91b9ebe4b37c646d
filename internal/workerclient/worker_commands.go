package workerclient

import "crankhold/policy"

// Load has a worker load replicas of a function. A count of 0 only asks how many it has, for which the worker need not
// be ready. The result may be handed over before Load returns.
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

// CheckHealth asks whether a worker responds, and for its load report. The result may be handed over before CheckHealth
// returns.
func (p *Pool) CheckHealth(id policy.WorkerID, commandID uint64) {
	check := &healthCheckCommand{commandID: commandID}
	p.send(p.workers[id], &command{id: healthCheckID(commandID), kind: check})
}

// AbandonCommand drops interest in a load or a health check: no result follows.
func (p *Pool) AbandonCommand(id policy.WorkerID, commandID uint64) {
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

// Unload has a worker unload the idle replicas of a function. Where there is no connection it does nothing: idle
// replicas are unloaded in time anyway and not worth a dial.
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

package workerclient

import (
	"slices"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// SetProcess records that a worker's present process started at startedAt, on the event loop's clock; 0 means that it
// is unknown. If that is later than what was known, the worker is another process than before, and nothing of the
// former one is used any further: its connections are closed, dials begin anew, and failures of its addresses are
// forgotten. Attempts in flight on these connections may have run. SetProcess is called after SetWorker.
func (p *Pool) SetProcess(id policy.WorkerID, startedAt time.Duration) {
	w := p.workers[id]
	if w == nil || startedAt <= w.processStartedAt {
		return
	}
	w.processStartedAt = startedAt
	p.newProcesses = append(p.newProcesses, w)
	w.cancelRecoveryDial()
	w.addresses.Forget(p.now)
	for _, c := range slices.Clone(w.connections) {
		if !c.state.established() {
			c.dialer.restart()
		} else if c.belongsToProcessBefore(startedAt) {
			c.endFormerProcess()
		}
	}
}

// endProcessesAtTakenAddresses closes the connections of workers that have left the list or an address, if another
// worker's new process has that address now: the process that they lead to is gone.
func (p *Pool) endProcessesAtTakenAddresses() {
	if len(p.newProcesses) == 0 {
		return
	}
	takenAt := map[endpoint.Addr]time.Duration{}
	for _, w := range p.newProcesses {
		for _, addr := range w.listedAddresses {
			takenAt[addr] = max(takenAt[addr], w.processStartedAt)
		}
	}
	p.newProcesses = nil
	for _, w := range p.workersInOrder {
		for _, c := range slices.Clone(w.connections) {
			abandoned := w.state == policy.Gone || c.state == draining
			if abandoned && c.state.established() && c.belongsToProcessBefore(takenAt[c.addr]) {
				c.endFormerProcess()
			}
		}
	}
}

// belongsToProcessBefore reports whether a connection leads to a process that was there before another started at
// startedAt: it was established earlier, and has not responded since. It is called on established connections.
func (c *connection) belongsToProcessBefore(startedAt time.Duration) bool {
	return c.establishedAt < startedAt && c.liveness.lastResponse < startedAt
}

// endFormerProcess closes a connection whose worker's process is gone.
func (c *connection) endFormerProcess() {
	if c.state == closing {
		return
	}
	c.processReplaced = true
	c.pool.Counters.FormerProcessConnections++
	c.closeWithError(ErrProcessReplaced)
}

// endOutcome returns the outcome of commands that were in flight when the connection ended.
func (c *connection) endOutcome() policy.Outcome {
	if c.processReplaced {
		return policy.ProcessReplaced
	}
	return policy.ConnectionReset
}

package router

import (
	"time"

	"crankhold/policy"
)

// commandKind is the kind of a command to a worker.
type commandKind uint8

// The kinds of commands that await an answer.
const (
	loadCommand commandKind = iota
	healthCheckCommand
)

// pendingCommand is a load or a health check that awaits the worker's answer.
type pendingCommand struct {
	kind     commandKind
	worker   policy.WorkerID
	function policy.FunctionID // of a load
	issuedAt time.Duration
	timeout  *timerEntry
}

// load orders a worker to load replicas of a function.
func (c *Core) load(action policy.Load) {
	c.Counters.LoadsSent++
	command := pendingCommand{kind: loadCommand, worker: action.Worker, function: action.Function}
	id := c.addCommand(command, c.limits.LoadTimeout)
	c.workers.Load(action.Worker, action.Function, action.Count, id)
}

// unload orders a worker to drop the idle replicas of a function. No answer follows.
func (c *Core) unload(action policy.Unload) {
	c.Counters.Unloads++
	c.workers.Unload(action.Worker, action.Function)
}

// checkHealth sends a health check to a worker.
func (c *Core) checkHealth(action policy.CheckHealth) {
	c.Counters.HealthChecks++
	command := pendingCommand{kind: healthCheckCommand, worker: action.Worker}
	id := c.addCommand(command, c.limits.HealthCheckTimeout)
	c.workers.CheckHealth(action.Worker, id)
}

// addCommand keeps a command until it is answered or times out, and returns its identifier.
func (c *Core) addCommand(command pendingCommand, timeout time.Duration) uint64 {
	c.lastCommandID++
	id := c.lastCommandID
	command.issuedAt = c.timers.now
	command.timeout = c.timers.addCommandTimeout(id, timeout)
	c.commands[id] = &command
	return id
}

// takeCommand removes and returns the pending command of that kind, or nil where there is none.
func (c *Core) takeCommand(id uint64, kind commandKind) *pendingCommand {
	command := c.commands[id]
	if command == nil || command.kind != kind {
		return nil
	}
	delete(c.commands, id)
	c.timers.remove(command.timeout)
	return command
}

// LoadCompleted tells the core how a load ended, and how many replicas of its function the worker holds. It ignores a
// load that has ended already.
func (c *Core) LoadCompleted(commandID uint64, outcome policy.Outcome, count int) {
	command := c.takeCommand(commandID, loadCommand)
	if command == nil {
		return
	}
	c.Counters.LoadsByOutcome[outcome]++
	c.events.add(policy.LoadCompleted{
		Worker:   command.worker,
		Function: command.function,
		Outcome:  outcome,
		Took:     c.timers.now - command.issuedAt,
		Count:    count,
	})
}

// MaySendLoad reports whether a load that waited for a connection may be sent now.
func (c *Core) MaySendLoad(commandID uint64) bool {
	command := c.commands[commandID]
	return command != nil && command.kind == loadCommand && c.policy.MayStillLoad(c.timers.now)
}

// HealthCheckCompleted tells the core how a health check ended, with the worker's load report in the order of
// policy.Config.LoadReportFields. It ignores a health check that has ended already.
func (c *Core) HealthCheckCompleted(commandID uint64, outcome policy.Outcome, report []float64) {
	command := c.takeCommand(commandID, healthCheckCommand)
	if command == nil {
		return
	}
	c.Counters.HealthChecksByOutcome[outcome]++
	c.events.add(policy.HealthCheckCompleted{
		Worker:  command.worker,
		Outcome: outcome,
		Took:    c.timers.now - command.issuedAt,
		Report:  report,
	})
}

// commandTimedOut ends a command that was not answered in time.
func (c *Core) commandTimedOut(id uint64) {
	command := c.commands[id]
	if command == nil {
		return
	}
	c.workers.AbandonCommand(command.worker, id)
	switch command.kind {
	case loadCommand:
		c.LoadCompleted(id, policy.TimedOut, 0)
	case healthCheckCommand:
		c.HealthCheckCompleted(id, policy.TimedOut, nil)
	}
}

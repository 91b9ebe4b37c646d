package router

import (
	"time"

	"crankhold/policy"
)

// commandKind is the kind of a command that a worker responds to.
type commandKind uint8

// The kinds of commands that a worker responds to.
const (
	loadCommand commandKind = iota
	healthCheckCommand
)

// pendingCommand is a load command or a health check that has not completed.
type pendingCommand struct {
	kind     commandKind
	worker   policy.WorkerID
	function policy.FunctionID // of a load command
	issuedAt time.Duration
	timeout  *timerEntry
}

// commandTracker sends workers the commands that belong to no request. It stores each load command and each health
// check, with its timer, until the worker responds or the timer fires. It belongs to the core's goroutine.
type commandTracker struct {
	limits   Limits
	workers  WorkerClient
	timers   *timerQueue
	events   *eventQueue
	counters *Counters

	pending map[uint64]*pendingCommand
	lastID  uint64
}

// execute executes an action of the decision module that belongs to no request.
func (t *commandTracker) execute(action policy.Action) {
	switch a := action.(type) {
	case policy.Load:
		t.load(a)
	case policy.CheckHealth:
		t.checkHealth(a)
	case policy.Unload:
		t.counters.Unloads++
		t.workers.Unload(a.Worker, a.Function) // the worker does not respond
	case policy.CloseIdleConnections:
		t.workers.CloseIdle(a.Worker)
	}
}

// load sends a load command to a worker.
func (t *commandTracker) load(action policy.Load) {
	t.counters.LoadsSent++
	command := pendingCommand{kind: loadCommand, worker: action.Worker, function: action.Function}
	id := t.add(command, t.limits.LoadTimeout)
	t.workers.Load(action.Worker, action.Function, action.Count, id)
}

// checkHealth sends a health check to a worker.
func (t *commandTracker) checkHealth(action policy.CheckHealth) {
	t.counters.HealthChecks++
	command := pendingCommand{kind: healthCheckCommand, worker: action.Worker}
	id := t.add(command, t.limits.HealthCheckTimeout)
	t.workers.CheckHealth(action.Worker, id)
}

// add stores a command, starts its timer and returns its identifier.
func (t *commandTracker) add(command pendingCommand, timeout time.Duration) uint64 {
	t.lastID++
	id := t.lastID
	command.issuedAt = t.timers.now
	command.timeout = t.timers.addCommandTimeout(id, timeout)
	t.pending[id] = &command
	return id
}

// removePending removes a command and its timer, and returns the command. It returns nil if no command with this
// identifier and kind is pending.
func (t *commandTracker) removePending(id uint64, kind commandKind) *pendingCommand {
	command := t.pending[id]
	if command == nil || command.kind != kind {
		return nil
	}
	delete(t.pending, id)
	t.timers.remove(command.timeout)
	return command
}

// isPendingLoad reports whether id is that of a load command that has not completed.
func (t *commandTracker) isPendingLoad(id uint64) bool {
	command := t.pending[id]
	return command != nil && command.kind == loadCommand
}

// loadCompleted records the outcome of a load command. It does nothing if the command has already completed.
func (t *commandTracker) loadCompleted(id uint64, outcome policy.Outcome, count int) {
	command := t.removePending(id, loadCommand)
	if command == nil {
		return
	}
	t.counters.LoadsByOutcome[outcome]++
	t.events.add(policy.LoadCompleted{
		Worker:   command.worker,
		Function: command.function,
		Outcome:  outcome,
		Took:     t.timers.now - command.issuedAt,
		Count:    count,
	})
}

// healthCheckCompleted records the outcome of a health check. It does nothing if the health check has already
// completed.
func (t *commandTracker) healthCheckCompleted(id uint64, outcome policy.Outcome, report []float64) {
	command := t.removePending(id, healthCheckCommand)
	if command == nil {
		return
	}
	t.counters.HealthChecksByOutcome[outcome]++
	t.events.add(policy.HealthCheckCompleted{
		Worker:  command.worker,
		Outcome: outcome,
		Took:    t.timers.now - command.issuedAt,
		Report:  report,
	})
}

// timedOut completes a command to which the worker did not respond in time.
func (t *commandTracker) timedOut(id uint64) {
	command := t.pending[id]
	if command == nil {
		return
	}
	t.workers.CancelCommand(command.worker, id)
	switch command.kind {
	case loadCommand:
		t.loadCompleted(id, policy.TimedOut, 0)
	case healthCheckCommand:
		t.healthCheckCompleted(id, policy.TimedOut, nil)
	}
}

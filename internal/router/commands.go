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

// commandTracker issues commands that belong to no request, and keeps each load and health check until it is answered
// or has timed out. Each kept command has a timer. It belongs to the core's goroutine.
type commandTracker struct {
	limits   Limits
	workers  WorkerClient
	timers   *timerQueue
	events   *eventQueue
	counters *Counters

	pending map[uint64]*pendingCommand
	lastID  uint64
}

// execute carries out an action of the decision module that concerns no request.
func (t *commandTracker) execute(action policy.Action) {
	switch a := action.(type) {
	case policy.Load:
		t.load(a)
	case policy.CheckHealth:
		t.checkHealth(a)
	case policy.Unload:
		t.counters.Unloads++
		t.workers.Unload(a.Worker, a.Function) // no answer follows
	case policy.CloseIdleConnections:
		t.workers.CloseIdle(a.Worker)
	}
}

// load sends a worker a command to load replicas of a function.
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

// add keeps a command until it is answered or times out, and returns its identifier.
func (t *commandTracker) add(command pendingCommand, timeout time.Duration) uint64 {
	t.lastID++
	id := t.lastID
	command.issuedAt = t.timers.now
	command.timeout = t.timers.addCommandTimeout(id, timeout)
	t.pending[id] = &command
	return id
}

// removePending removes and returns the pending command of that kind, or nil where there is none.
func (t *commandTracker) removePending(id uint64, kind commandKind) *pendingCommand {
	command := t.pending[id]
	if command == nil || command.kind != kind {
		return nil
	}
	delete(t.pending, id)
	t.timers.remove(command.timeout)
	return command
}

// isPendingLoad reports whether a load still awaits its answer.
func (t *commandTracker) isPendingLoad(id uint64) bool {
	command := t.pending[id]
	return command != nil && command.kind == loadCommand
}

// loadCompleted records the end of a load. It ignores a load that has ended already.
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

// healthCheckCompleted records the end of a health check. It ignores a health check that has ended already.
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

// timedOut ends a command that was not answered in time.
func (t *commandTracker) timedOut(id uint64) {
	command := t.pending[id]
	if command == nil {
		return
	}
	t.workers.AbandonCommand(command.worker, id)
	switch command.kind {
	case loadCommand:
		t.loadCompleted(id, policy.TimedOut, 0)
	case healthCheckCommand:
		t.healthCheckCompleted(id, policy.TimedOut, nil)
	}
}

package router

import (
	"testing"

	"crankhold/policy"
)

// Load commands and health checks to which no worker responds time out. Later results are ignored.
func TestCommandsWithoutResponseTimeOut(t *testing.T) {
	core, workers := newTestCore(t, 1)
	core.execute(policy.CheckHealth{Worker: 1})
	core.execute(policy.Load{Worker: 1, Function: 2, Count: 1})
	core.Process(start)
	core.LoadCompleted(2, policy.Served, 1)
	core.HealthCheckCompleted(1, policy.Served, nil)
	counters := &core.Counters
	if counters.HealthChecksByOutcome[policy.TimedOut] != 1 || counters.LoadsByOutcome[policy.TimedOut] != 1 {
		t.Errorf("not timed out: counters %+v", counters)
	}
	if counters.HealthChecksByOutcome[policy.Served] != 0 || counters.LoadsByOutcome[policy.Served] != 0 {
		t.Errorf("late results were counted: counters %+v", counters)
	}
	if len(workers.loads) != 0 || len(workers.healthChecks) != 0 {
		t.Errorf("%d load commands and %d health checks were not canceled", len(workers.loads), len(workers.healthChecks))
	}
}

// The timer of a command is removed when the command completes. A result completes only a command of its own kind.
func TestCompletedCommandsLeaveNoTimers(t *testing.T) {
	core, workers := newTestCore(t, 1)
	core.execute(policy.Load{Worker: 1, Function: 2, Count: 1})
	core.execute(policy.CheckHealth{Worker: 1})
	const loadID, healthCheckID = 1, 2
	if !workers.loads[loadID] || !workers.healthChecks[healthCheckID] || core.timers.heap.Len() != 2 {
		t.Fatalf("load commands %v, health checks %v, %d timers", workers.loads, workers.healthChecks, core.timers.heap.Len())
	}
	core.LoadCompleted(healthCheckID, policy.Served, 1)
	core.HealthCheckCompleted(loadID, policy.Served, nil)
	if len(core.commands.pending) != 2 {
		t.Fatalf("%d commands are pending after results of the other kind, want 2", len(core.commands.pending))
	}
	core.LoadCompleted(loadID, policy.Served, 1)
	core.HealthCheckCompleted(healthCheckID, policy.Served, nil)
	if len(core.commands.pending) != 0 || core.timers.heap.Len() != 0 {
		t.Errorf("%d commands and %d timers remain, want none", len(core.commands.pending), core.timers.heap.Len())
	}
}

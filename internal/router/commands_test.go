package router

import (
	"testing"

	"crankhold/policy"
)

// Loads and health checks that no worker answers time out, and later answers are ignored.
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
		t.Errorf("late answers were counted: counters %+v", counters)
	}
	if len(workers.loads) != 0 || len(workers.healthChecks) != 0 {
		t.Errorf("%d loads and %d health checks were not abandoned", len(workers.loads), len(workers.healthChecks))
	}
}

// A command that was answered leaves no time-out behind, and an answer counts for its own kind of command alone.
func TestCompletedCommandsLeaveNoTimers(t *testing.T) {
	core, workers := newTestCore(t, 1)
	core.execute(policy.Load{Worker: 1, Function: 2, Count: 1})
	core.execute(policy.CheckHealth{Worker: 1})
	const loadID, healthCheckID = 1, 2
	if !workers.loads[loadID] || !workers.healthChecks[healthCheckID] || core.timers.heap.Len() != 2 {
		t.Fatalf("loads %v, health checks %v, %d timers", workers.loads, workers.healthChecks, core.timers.heap.Len())
	}
	core.LoadCompleted(healthCheckID, policy.Served, 1)
	core.HealthCheckCompleted(loadID, policy.Served, nil)
	if len(core.commands.pending) != 2 {
		t.Fatalf("%d commands are pending after answers of the other kind, want 2", len(core.commands.pending))
	}
	core.LoadCompleted(loadID, policy.Served, 1)
	core.HealthCheckCompleted(healthCheckID, policy.Served, nil)
	if len(core.commands.pending) != 0 || core.timers.heap.Len() != 0 {
		t.Errorf("%d commands and %d timers are left, want none", len(core.commands.pending), core.timers.heap.Len())
	}
}

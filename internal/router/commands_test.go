package router

import (
	"testing"

	"crankhold/policy"
)

// Loads and health checks that no worker answers time out, and later answers are ignored.
func TestUnansweredCommandsTimeOut(t *testing.T) {
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

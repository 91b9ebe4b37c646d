package policy

import "testing"

func TestGuardRejectsWhatTheSettingsForbid(t *testing.T) {
	id := WorkerID(1)
	actions := map[string]Action{
		"cancel":       CancelAttempt{},
		"health check": CheckHealth{Worker: id},
		"load":         Load{Worker: id},
		"unload":       Unload{Worker: id},
		"subscribe":    Subscribe{On: true},
	}
	for name, action := range actions {
		t.Run(name, func(t *testing.T) {
			for _, allowed := range []bool{true, false} {
				cfg := &Config{CancelSupported: allowed, HealthCheckSupported: allowed, LoadCommandsSupported: allowed, EndpointsByPolling: allowed}
				shared := &tables{workers: workerTable{byID: map[WorkerID]*worker{id: {Endpoint: Endpoint{State: Ready}}}}}
				guard := ruleGuard{cfg: cfg, tables: shared, budget: &loadBudget{cfg: cfg}}
				if got := guard.allows(0, action); got != allowed {
					t.Errorf("%T is allowed: %v, want %v", action, got, allowed)
				}
			}
		})
	}
}

func TestGuardAllowsRejectionsOnlyIfTheClientMayRetry(t *testing.T) {
	ran := &attempt{}
	for name, test := range map[string]struct {
		class    Class
		ran      *attempt
		inFlight int
		want     bool
	}{
		"never ran":                     {class: Class{Idempotency: NotIdempotent}, want: true},
		"idempotent":                    {class: Class{Idempotency: Idempotent}, ran: ran, want: true},
		"deduplicated everywhere":       {class: Class{Idempotency: IdempotentWithKey}, ran: ran, want: true},
		"deduplicated in a zone":        {class: Class{Idempotency: IdempotentWithKey, DeduplicationScope: DeduplicatedInZone}, ran: ran},
		"not idempotent, may have run":  {class: Class{Idempotency: NotIdempotent}, ran: ran},
		"not idempotent, still running": {class: Class{Idempotency: NotIdempotent}, inFlight: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := &request{class: &classState{Class: test.class}, firstPossibleRun: test.ran, inFlight: test.inFlight}
			shared := &tables{requests: requestTable{byID: map[RequestID]*request{7: r}}}
			guard := ruleGuard{cfg: &Config{}, tables: shared}
			if got := guard.allows(0, Reject{Request: 7}); got != test.want {
				t.Errorf("a rejection is allowed: %v, want %v", got, test.want)
			}
		})
	}
}

package policy

import (
	"testing"
	"time"
)

func TestMayRetry(t *testing.T) {
	start := time.Hour
	cfg := &Config{MaxAttempts: 3, Tick: 2 * ms}
	inZone1 := &worker{Endpoint: Endpoint{Worker: 1, Zone: KnownGroup(1)}}
	inZone2 := &worker{Endpoint: Endpoint{Worker: 2, Zone: KnownGroup(2)}}
	first := &attempt{worker: inZone1, group: inZone1.Zone, startedAt: start}
	keyed := Class{Idempotency: IdempotentWithKey, DeduplicationScope: DeduplicatedInZone, DeduplicationWindow: time.Second}
	for name, test := range map[string]struct {
		class     Class
		noRetries bool // the request's policy allows no retries
		attempts  int
		ran       bool
		worker    *worker
		now       time.Duration
		want      bool
	}{
		"never ran":                              {class: Class{Idempotency: NotIdempotent}, attempts: 1, want: true},
		"not idempotent, may have run":           {class: Class{Idempotency: NotIdempotent}, attempts: 1, ran: true},
		"idempotent, may have run":               {class: Class{Idempotency: Idempotent}, attempts: 1, ran: true, want: true},
		"attempts used up":                       {class: Class{Idempotency: Idempotent}, attempts: 3},
		"with a key, in its zone":                {class: keyed, attempts: 1, ran: true, worker: inZone1, want: true},
		"with a key, in another zone":            {class: keyed, attempts: 1, ran: true, worker: inZone2},
		"with a key, at a worker not listed yet": {class: keyed, attempts: 1, ran: true, want: true},
		"with a key, its window over":            {class: keyed, attempts: 1, ran: true, now: start + time.Second, worker: inZone1},
		"policy without retries":                 {class: Class{}, noRetries: true, attempts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			policy := defaultRequestPolicy
			if test.noRetries {
				policy.RetriesAfterProvenNoRun = 0
			}
			r := &request{class: &classState{Class: test.class}, pool: allWorkers{}}
			r.Policy = &policy
			for range test.attempts {
				r.attempts = append(r.attempts, first)
			}
			if test.ran {
				r.firstPossibleRun = first
			}
			rules := retryRules{cfg: cfg}
			if got := rules.mayRetry(max(test.now, start), r, test.worker); got != test.want {
				t.Errorf("may retry: %v, want %v", got, test.want)
			}
		})
	}
}

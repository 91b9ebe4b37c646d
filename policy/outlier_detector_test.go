package policy

import (
	"testing"
	"time"
)

func TestEjectionsDoubleAndEndWithAResponse(t *testing.T) {
	detector := &outlierDetector{cfg: &Config{}}
	w := &worker{Endpoint: Endpoint{State: Ready}}
	now := time.Hour
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		detector.eject(now, w)
		if got := w.health.ejectedUntil - now; got != want*time.Second {
			t.Errorf("failure %d ejects for %v, want %v s", w.health.consecutiveFailures, got, want)
		}
		detector.eject(now, w) // a failure during an ejection has no effect
		if !detector.ejected(now, w) {
			t.Fatal("the worker is not ejected")
		}
		now = w.health.ejectedUntil
	}
	if detector.ejected(now, w) {
		t.Error("without health checks an ejection does not end after its time")
	}
	w.inFlight = []*attempt{{}}
	if !detector.ejected(now, w) {
		t.Error("a second attempt is allowed after an ejection")
	}
	if !detector.recordResponse(now, w) || detector.ejected(now, w) {
		t.Error("a response does not end an ejection")
	}
	if detector.recordResponse(now, w) {
		t.Error("a response of a worker that is not ejected ends an ejection")
	}
}

func TestChecksAreDueForSilentAndEjectedWorkers(t *testing.T) {
	now := time.Hour
	silent := []*attempt{{startedAt: now - time.Second, expected: 100 * ms}}
	for name, test := range map[string]struct {
		state    WorkerState
		health   workerHealth
		inFlight []*attempt
		want     bool
	}{
		"idle":               {state: Ready},
		"silent":             {state: Ready, inFlight: silent, want: true},
		"responded just now": {state: Ready, inFlight: silent, health: workerHealth{lastResponse: now}},
		"checked just now":   {state: Ready, inFlight: silent, health: workerHealth{lastCheck: now}},
		"being checked":      {state: Ready, inFlight: silent, health: workerHealth{checking: true}},
		"gone":               {state: Gone, inFlight: silent},
		"ejected":            {state: Ready, health: workerHealth{consecutiveFailures: 1, ejectedUntil: now + 1}},
		"ejected, time over": {state: Ready, health: workerHealth{consecutiveFailures: 1, ejectedUntil: now}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			detector := &outlierDetector{cfg: &Config{HealthCheckSupported: true}}
			w := &worker{Endpoint: Endpoint{State: test.state}, health: test.health, inFlight: test.inFlight}
			if got := detector.checkDue(now, w); got != test.want {
				t.Errorf("a check is due: %v, want %v", got, test.want)
			}
		})
	}
}

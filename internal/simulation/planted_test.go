package simulation

import (
	"testing"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// newStory returns a story with scheduled traffic, whose fleet is not built yet.
func newStory(t *testing.T, routers, workers int, notLoaded string, rate, seconds int) *story {
	t.Helper()
	s := &story{}
	if err := s.givenFleet(routers, workers, notLoaded); err != nil {
		t.Fatal(err)
	}
	if err := s.givenTraffic(rate, seconds); err != nil {
		t.Fatal(err)
	}
	return s
}

// Verifies the checks of the stories: each check must report the fault that this test injects.
func TestInjectedFaultsAreDetected(t *testing.T) {
	t.Run("messages to a worker after its drain grace period", func(t *testing.T) {
		s := newStory(t, 80, 36, rejectNotLoaded, 1500, 6)
		if err := s.scheduleAndRun(2, func() {
			for _, r := range s.fleet.Routers {
				r.drainNotified[5] = s.fleet.now
			}
		}); err != nil {
			t.Fatal(err)
		}
		if s.thenDrainIsFollowed(5) == nil {
			t.Error("the check did not report the fault")
		}
	})
	t.Run("a started worker without a start time", func(t *testing.T) {
		s := newStory(t, 80, 4, loadOnDemand, 1500, 6)
		if err := s.scheduleAndRun(2, func() {
			s.started = s.fleet.StartWorker()
			s.fleet.Notify(0, policy.Endpoint{Worker: s.started.ID, State: policy.Ready, Weight: 1})
		}); err != nil {
			t.Fatal(err)
		}
		if s.thenNotOverloaded() == nil {
			t.Error("the check did not report the fault")
		}
	})
	for name, inject := range map[string]func(*Request){
		"a second response": func(r *Request) { r.Respond(router.Response{}) },
		"a late response":   func(r *Request) { r.Latency = r.Timeout + time.Millisecond },
		"no response":       func(r *Request) { r.Responses = nil },
	} {
		t.Run(name, func(t *testing.T) {
			s := newStory(t, 2, 12, loadOnDemand, 1500, 6)
			if err := s.whenTimePasses(6); err != nil {
				t.Fatal(err)
			}
			if err := s.thenEachRequestHasOneResponse(); err != nil {
				t.Fatal(err)
			}
			inject(s.fleet.Requests[500])
			if s.thenEachRequestHasOneResponse() == nil {
				t.Error("the check did not report the fault")
			}
		})
	}
	t.Run("a router that serves requests after its grace period", func(t *testing.T) {
		s := newStory(t, 80, 36, rejectNotLoaded, 1500, 6)
		if err := s.whenRoutersAreTerminated(2); err != nil {
			t.Fatal(err)
		}
		s.fleet.Requests[500].SentWhileDraining = true // although it was served
		if s.thenLateRequestsAreRejected() == nil {
			t.Error("the check did not report the fault")
		}
	})
}

// Runs with equal seeds have the same number of served requests and the same total latency.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	run := func() (served int, latencies time.Duration) {
		s := newStory(t, 40, 12, loadOnDemand, 1000, 3)
		if err := s.whenWorkerStarts(1, 200); err != nil {
			t.Fatal(err)
		}
		for _, r := range s.fleet.Requests {
			latencies += r.Latency
			if r.Responses[0].Status == router.Served {
				served++
			}
		}
		return served, latencies
	}
	served, latencies := run()
	servedAgain, latenciesAgain := run()
	if served != servedAgain || latencies != latenciesAgain || served == 0 {
		t.Errorf("%d served in %v, then %d in %v", served, latencies, servedAgain, latenciesAgain)
	}
}

package simulation

import (
	"testing"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// Guards the stories' checks: with a fault planted where each looks, it says so.
func TestPlantedFaultsAreFound(t *testing.T) {
	begin := func(routers, workers int, cold string) *story {
		s := &story{}
		if err := s.routers(routers, workers, cold); err != nil {
			t.Fatal(err)
		}
		if err := s.traffic(1500, 6); err != nil {
			t.Fatal(err)
		}
		return s
	}
	t.Run("a drain that routers don't follow", func(t *testing.T) {
		s := begin(80, 36, "answer misses")
		if err := s.when(2, func() {
			for _, r := range s.fleet.Routers {
				r.told[5] = s.fleet.now
			}
		}); err != nil {
			t.Fatal(err)
		}
		if s.drainKept(5) == nil {
			t.Error("not found")
		}
	})
	t.Run("a start that counts as long ago", func(t *testing.T) {
		s := begin(80, 4, "load by the way")
		if err := s.when(2, func() {
			s.worker = s.fleet.StartWorker()
			s.fleet.Tell(0, policy.Endpoint{Worker: s.worker.ID, State: policy.Ready, Weight: 1})
		}); err != nil {
			t.Fatal(err)
		}
		if s.notPushedOver() == nil {
			t.Error("not found")
		}
	})
	t.Run("a second answer, a late one and none", func(t *testing.T) {
		for _, spoil := range []func(c *Call){
			func(c *Call) { c.Respond(router.Response{}) },
			func(c *Call) { c.Took = c.Left + time.Millisecond },
			func(c *Call) { c.Answers = nil },
		} {
			s := begin(2, 12, "load by the way")
			if err := s.pass(6); err != nil {
				t.Fatal(err)
			}
			if err := s.oneAnswer(); err != nil {
				t.Fatal(err)
			}
			spoil(s.fleet.Calls[500])
			if s.oneAnswer() == nil {
				t.Error("not found")
			}
		}
	})
	t.Run("a router that takes calls past its linger", func(t *testing.T) {
		s := begin(80, 36, "answer misses")
		if err := s.terminated(2); err != nil {
			t.Fatal(err)
		}
		s.fleet.Calls[500].Late = true // it was served
		if s.lateRefused() == nil {
			t.Error("not found")
		}
	})
}

// Equal seeds give equal runs, to the answer.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	run := func() (served int, took time.Duration) {
		s := &story{}
		if err := s.routers(40, 12, "load by the way"); err != nil {
			t.Fatal(err)
		}
		s.traffic(1000, 3)
		if err := s.started(1, 200); err != nil {
			t.Fatal(err)
		}
		for _, c := range s.fleet.Calls {
			if took += c.Took; c.Answers[0].Status == router.Served {
				served++
			}
		}
		return served, took
	}
	a, x := run()
	if b, y := run(); a != b || x != y || a == 0 {
		t.Errorf("%d served in %v, then %d in %v", a, x, b, y)
	}
}

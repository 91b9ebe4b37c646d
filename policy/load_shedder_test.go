package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestSheddingThreshold(t *testing.T) {
	cfg := config()
	cfg.OverQuotaWeight = 0.5
	s := &loadShedder{cfg: &cfg, classes: newClassStates(cfg.Classes)}
	objective := cfg.Classes[0].LatencyObjective
	for name, test := range map[string]struct {
		class     int
		overQuota bool
		expected  time.Duration
		start     float64
	}{
		"of the highest priority": {class: 2, start: shedStart},
		"of lower priority":       {class: 0, start: shedStartLowPriority},
		"expected late":           {class: 2, expected: objective + 1, start: shedStartLate},
		"beyond the quota":        {class: 2, overQuota: true, start: shedStartLate / 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := &request{class: &s.classes[test.class], overQuota: test.overQuota}
			r.Policy = &defaultRequestPolicy
			if got := s.threshold(r, nanoseconds(test.expected)); got.start != test.start || got.objective != float64(objective) {
				t.Errorf("shed beyond %v of %v, want %v", got.start, time.Duration(got.objective), test.start)
			}
		})
	}
}

func TestNothingThatMayHaveRunIsShed(t *testing.T) {
	cfg := config()
	s := &loadShedder{cfg: &cfg, rng: rand.New(rand.NewPCG(1, 1)), classes: newClassStates(cfg.Classes)}
	s.standingDelay.Mean = float64(time.Minute)
	r := &request{class: &s.classes[0]}
	r.Policy = &defaultRequestPolicy
	shed := 0
	for range 100 {
		if s.decide(time.Hour, r, &worker{}, 0).shed {
			shed++
		}
	}
	if shed < 80 || shed == 100 {
		t.Errorf("%d of 100 requests are shed, want about %v of them", shed, maxShedRatio)
	}
	r.firstPossibleRun = &attempt{}
	for range 100 {
		if s.decide(time.Hour, r, &worker{}, 0).shed {
			t.Fatal("a request that may have run is shed")
		}
	}
}

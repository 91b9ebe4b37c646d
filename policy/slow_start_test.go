package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// newSlowStart returns a slowStart over workers with the settings of config.
func newSlowStart(fleet ...*worker) *slowStart {
	cfg := config()
	rng := rand.New(rand.NewPCG(1, 1))
	classes := newClassStates(cfg.Classes)
	return &slowStart{cfg: &cfg, rng: rng, classes: classes, workers: &workerTable{fleet: fleet}}
}

func TestCapacityShareGrowsWithAge(t *testing.T) {
	now := time.Hour
	s := newSlowStart()
	for name, test := range map[string]struct {
		started, recoveredAt time.Duration
		want                 float64
	}{
		"started long ago":             {want: 1},
		"just started":                 {started: now, want: 0.2},
		"half way":                     {started: now - 5*time.Second, want: 0.6},
		"warm":                         {started: now - 10*time.Second, want: 1},
		"recovered after an ejection":  {recoveredAt: now, want: 0.2},
		"recovered, no start reported": {recoveredAt: now - restartReportTime, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := &worker{Endpoint: Endpoint{Started: test.started}, slowStart: workerSlowStart{recoveredAt: test.recoveredAt}}
			if got := s.capacityShare(now, w); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("capacity share %v, want %v", got, test.want)
			}
		})
	}
}

func TestBucketStartsWithADebtAndRefillsAtTheWarmRate(t *testing.T) {
	now := time.Hour
	warm := &worker{Endpoint: Endpoint{State: Ready}, capacity: workerCapacity{work: 1}}
	cold := &worker{Endpoint: Endpoint{State: Ready, Started: now}, capacity: workerCapacity{work: 1}}
	s := newSlowStart(warm, cold)
	s.processStarted(cold)
	if s.admits(now, cold) || !s.admits(now, warm) {
		t.Fatal("a worker that just started is admitted, or a warm one is not")
	}
	for range 10 {
		s.recordServed(warm, &s.classes[0])
		s.decayServed()
	}
	s.updateWarmRate(now)
	if s.warmRate <= 0 || s.warmRate != warm.slowStart.servedWork/s.servedSpan {
		t.Errorf("warm rate %v of %v in %v s", s.warmRate, warm.slowStart.servedWork, s.servedSpan)
	}
	before := cold.slowStart.tokens.Tokens
	s.refill(now, cold)
	want := slowStartMargin * 2 * 0.2 * s.warmRate * housekeepingInterval.Seconds()
	if got := cold.slowStart.tokens.Tokens - before; got < 0.99*want || got > 1.01*want {
		t.Errorf("refilled by %v, want %v", got, want)
	}
	s.charge(cold, &s.classes[0])
	if s.admits(now, cold) {
		t.Error("a worker in debt is admitted")
	}
}

package simulation

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"crankhold/internal/route"
	"crankhold/policy"
)

// budget is how many calls of mean work a cold worker may get in the time that the settings name, from an age on.
func (s *story) budget(age time.Duration) float64 {
	c := s.cfg.Settings
	capacity := c.SlowStartInitialCapacity + (1-c.SlowStartInitialCapacity)*min(1, float64(age)/float64(c.SlowStartDuration))
	return c.OverloadMultiple * capacity * float64(s.cfg.Slots) / s.cfg.Work.Seconds() * c.OverloadWindow.Seconds()
}

// excess is by how much the sum of all routers went over the budget of a cold worker, in units of the budget's root,
// at the worst; over is what it had beyond what is put down to chance, 2 root N + 2. Loads count like calls.
func (s *story) excess() (units, over float64) {
	units, over = math.Inf(-1), math.Inf(-1)
	for _, w := range s.fleet.Workers {
		if w.Born == 0 {
			continue
		}
		got := slices.Sorted(slices.Values(slices.Concat(w.Taken, w.Loads)))
		for i, from := range got {
			if from+s.cfg.Settings.OverloadWindow > w.Born+s.cfg.Settings.SlowStartDuration { // warm by then
				break
			}
			n, N := 0, s.budget(from-w.Born)
			for n < len(got)-i && got[i+n] < from+s.cfg.Settings.OverloadWindow {
				n++
			}
			units = max(units, (float64(n)-N)/math.Sqrt(N))
			over = max(over, float64(n)-N-2*math.Sqrt(N)-2)
		}
	}
	return units, over
}

// coldFleet is a fleet of small workers, each of which does 90 calls a second, with thin and uneven traffic: six start
// cold, told within 1.5 s, while others leave; a third of the routers is killed and comes back knowing nothing; after a
// lull, in which all may have saved up, a crowd comes at once.
func coldFleet(t *testing.T, routers int, seed uint64, tt day, told func(policy.Endpoint) policy.Endpoint) *story {
	t.Helper()
	s := &story{}
	if err := s.routers(routers, 20, "answer misses"); err != nil {
		t.Fatal(err)
	}
	s.cfg.Slots, s.cfg.Work, s.cfg.Load, s.cfg.Seed, s.cfg.Uneven = 9, 100*ms, 400*ms, seed, true
	c := &s.cfg.Settings
	c.OverloadMultiple, c.SlowStartInitialCapacity, c.SlowStartDuration, c.HedgingAllowed, c.DrainGracePeriod = 2, 0.18, 17*time.Second, true, time.Second
	s.cfg.Routes = func() *route.Table {
		table, err := route.Compile(&route.Spec{
			Pools:    []route.PoolSpec{{Name: "all", MaxInFlight: route.Unset, LoadShare: route.Unset, OverflowShare: route.Unset, OverflowRate: route.Unset}},
			Policies: []route.PolicySpec{{Name: "twice", MaxAttempts: route.Unset, RetriesAfterPossibleRun: route.Unset, RetriesAfterProvenNoRun: route.Unset, HedgeDelay: 250 * ms}},
			Routes:   []route.RouteSpec{{Name: "all", Pool: "all", Policy: "twice"}}}, []string{"dim-level"})
		if err != nil {
			panic(err)
		}
		return table
	}
	if err := s.build(); err != nil {
		t.Fatal(err)
	}
	f := s.fleet
	f.Traffic("", 0, 1000, 24*time.Second)
	for i := range 10 { // half of the workers are replaced in steps
		f.After(2*time.Second+time.Duration(i)*time.Second, func() {
			w := f.StartWorker()
			f.Tell(1500*ms, told(policy.Endpoint{Worker: w.ID, State: policy.Ready, Weight: 1, Started: f.Now()}))
		})
		f.After(4*time.Second+time.Duration(i)*time.Second, func() {
			f.Tell(1500*ms, policy.Endpoint{Worker: policy.WorkerID(i + 1), State: policy.Draining})
		})
	}
	for part := range 10 { // and all routers restarted, a tenth at a time
		f.After(3*time.Second+time.Duration(part)*1500*ms, func() {
			for i, r := range f.Routers {
				if i%10 == part && len(f.Routers) > 1 {
					r.Kill(time.Second)
				}
			}
		})
	}
	f.After(11*time.Second, func() { f.Traffic("", 0, 500, 6*time.Second) }) // half as much again
	for _, at := range tt.gone {                                             // workers vanish together, and what they served is for the others
		f.After(at, func() {
			for id := policy.WorkerID(11); id <= 15; id++ {
				f.Tell(400*ms, policy.Endpoint{Worker: id, State: policy.Gone})
			}
		})
	}
	if tt.lull > 0 { // after a day without calls, in which all may have saved up, a crowd comes at once
		f.After(28*time.Second, func() {
			w := f.StartWorker()
			f.Tell(1500*ms, told(policy.Endpoint{Worker: w.ID, State: policy.Ready, Weight: 1, Started: f.Now()}))
			f.Traffic("", 0, 1000, 4*time.Second)
		})
		f.After(32*time.Second+tt.lull, func() {
			f.Traffic("", 0, 2500, 3*time.Second)
			for id := policy.WorkerID(16); id <= 20; id++ {
				f.Tell(200*ms, policy.Endpoint{Worker: id, State: policy.Gone})
			}
		})
		f.Run(12 * time.Second)
	}
	f.Run(28 * time.Second)
	return s
}

func asTold(e policy.Endpoint) policy.Endpoint { return e }

// A worker that has just started falls under the sum of what all routers send it, however many they are: no more
// comes than its budget and what is put down to chance.
func TestColdWorkersAreNotPushedOverByTheSum(t *testing.T) {
	for _, tt := range []day{{name: "replaced"}, {name: "lost", gone: []time.Duration{9 * time.Second}}, {name: "lull", lull: 6 * time.Second}} {
		for _, routers := range []int{1, 2, 20, 30, 300} {
			t.Run(fmt.Sprintf("%s, %d routers", tt.name, routers), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(1); seed <= 2; seed++ {
					s := coldFleet(t, routers, seed, tt, asTold)
					units, over := s.excess()
					cold := 0
					for _, w := range s.fleet.Workers {
						if w.Born > 0 {
							cold += len(w.Taken)
						}
					}
					t.Logf("%d routers, seed %d: largest excess %.1f roots of N; %d calls at cold workers", routers, seed, units, cold)
					if over > 0 {
						t.Errorf("seed %d: %.0f calls beyond N + 2 root N + 2", seed, over)
					}
					if cold < 600 {
						t.Errorf("seed %d: cold workers got %d calls in all", seed, cold)
					}
				}
			})
		}
	}
}

// day is what happens beside the replacing.
type day struct {
	name string
	gone []time.Duration
	lull time.Duration
}

// Guards the check: routers that are not told of the start push the worker over.
func TestTheSumAtColdWorkersFindsAnUntoldStart(t *testing.T) {
	s := coldFleet(t, 30, 1, day{}, func(e policy.Endpoint) policy.Endpoint { e.Started = 0; return e })
	if _, over := s.excess(); over <= 0 {
		t.Error("not found")
	}
}

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

// slowStartBudget returns how many requests of mean work a worker in slow start may receive in the overload window that
// starts when the worker has the given age.
func (s *story) slowStartBudget(age time.Duration) float64 {
	c := s.cfg.Settings
	capacity := c.SlowStartInitialCapacity + (1-c.SlowStartInitialCapacity)*min(1, float64(age)/float64(c.SlowStartDuration))
	return c.OverloadMultiple * capacity * float64(s.cfg.Slots) / s.cfg.ServiceTime.Seconds() * c.OverloadWindow.Seconds()
}

// excess returns the largest amount by which all routers together exceeded the budget N of a worker in slow start:
// deviations is the excess over N in multiples of sqrt(N), the standard deviation of random arrivals, and overLimit is
// the excess over N + 2 sqrt(N) + 2, the limit that allows for random variation. Loads count like requests.
func (s *story) excess() (deviations, overLimit float64) {
	deviations = math.Inf(-1)
	overLimit = math.Inf(-1)
	settings := s.cfg.Settings
	for _, w := range s.fleet.Workers {
		if w.Started == 0 {
			continue
		}
		received := slices.Sorted(slices.Values(slices.Concat(w.Received, w.Loads)))
		for i, from := range received {
			end := from + settings.OverloadWindow
			if end > w.Started+settings.SlowStartDuration {
				break
			}
			n := 0
			for i+n < len(received) && received[i+n] < end {
				n++
			}
			budget := s.slowStartBudget(from - w.Started)
			deviations = max(deviations, (float64(n)-budget)/math.Sqrt(budget))
			overLimit = max(overLimit, float64(n)-budget-2*math.Sqrt(budget)-2)
		}
	}
	return deviations, overLimit
}

// receivedByStarted returns how many requests were received by workers that started during the run.
func (s *story) receivedByStarted() (n int) {
	for _, w := range s.fleet.Workers {
		if w.Started > 0 {
			n += len(w.Received)
		}
	}
	return n
}

// slowStartRun describes what happens in addition to the replacement of workers.
type slowStartRun struct {
	name string
	lost []time.Duration // when five workers leave at the same time
	lull time.Duration   // how long there are no requests before a burst
}

// hedgingRoutes returns a routing table that hedges every request.
func hedgingRoutes() *route.Table {
	table, err := route.Compile(&route.Spec{
		Pools:    []route.PoolSpec{{Name: "all", MaxInFlight: route.Unset, LoadShare: route.Unset, OverflowShare: route.Unset, OverflowRate: route.Unset}},
		Policies: []route.PolicySpec{{Name: "twice", MaxAttempts: route.Unset, RetriesAfterPossibleRun: route.Unset, RetriesAfterProvenNoRun: route.Unset, HedgeDelay: 250 * ms}},
		Routes:   []route.RouteSpec{{Name: "all", Pool: "all", Policy: "twice"}}}, []string{"dim-level"})
	if err != nil {
		panic(err)
	}
	return table
}

// replaceWorkers starts ten workers, one per second, and drains ten others. listed returns the endpoint that discovery
// reports for a started worker.
func (s *story) replaceWorkers(listed func(policy.Endpoint) policy.Endpoint) {
	for i := range 10 {
		step := time.Duration(i) * time.Second
		s.fleet.After(2*time.Second+step, func() { s.startAndNotify(listed) })
		s.fleet.After(4*time.Second+step, func() {
			s.fleet.Notify(1500*ms, policy.Endpoint{Worker: policy.WorkerID(i + 1), State: policy.Draining})
		})
	}
}

func (s *story) startAndNotify(listed func(policy.Endpoint) policy.Endpoint) {
	w := s.fleet.StartWorker()
	started := policy.Endpoint{Worker: w.ID, State: policy.Ready, Weight: 1, Started: s.fleet.Now()}
	s.fleet.Notify(1500*ms, listed(started))
}

// restartRouters kills all routers, a tenth at a time, and they start again without state. A single router is not
// killed.
func (s *story) restartRouters() {
	for part := range 10 {
		s.fleet.After(3*time.Second+time.Duration(part)*1500*ms, func() {
			for i, r := range s.fleet.Routers {
				if i%10 == part && len(s.fleet.Routers) > 1 {
					r.Kill(time.Second)
				}
			}
		})
	}
}

// loseWorkers removes five workers at the same time, so that the others receive their requests.
func (s *story) loseWorkers(first policy.WorkerID, within time.Duration) {
	for id := first; id < first+5; id++ {
		s.fleet.Notify(within, policy.Endpoint{Worker: id, State: policy.Gone})
	}
}

// burstAfterLull starts a worker, then sends no requests for a time in which all routers can accumulate budget, and
// then sends many requests at once.
func (s *story) burstAfterLull(lull time.Duration, listed func(policy.Endpoint) policy.Endpoint) {
	f := s.fleet
	f.After(28*time.Second, func() {
		s.startAndNotify(listed)
		f.Traffic("", 0, 1000, 4*time.Second)
	})
	f.After(32*time.Second+lull, func() {
		f.Traffic("", 0, 2500, 3*time.Second)
		s.loseWorkers(16, 200*ms)
	})
	f.Run(12 * time.Second)
}

// runSlowStart runs a fleet of small workers, each of which serves 90 requests per second, with low and uneven
// traffic, while workers are replaced and routers are restarted.
func runSlowStart(t *testing.T, routers int, seed uint64, run slowStartRun, listed func(policy.Endpoint) policy.Endpoint) *story {
	t.Helper()
	s := &story{}
	if err := s.givenFleet(routers, 20, rejectNotLoaded); err != nil {
		t.Fatal(err)
	}
	s.cfg.Slots = 9
	s.cfg.ServiceTime = 100 * ms
	s.cfg.LoadTime = 400 * ms
	s.cfg.Seed = seed
	s.cfg.UnevenTraffic = true
	s.cfg.Routes = hedgingRoutes
	settings := &s.cfg.Settings
	settings.OverloadMultiple = 2
	settings.SlowStartInitialCapacity = 0.18
	settings.SlowStartDuration = 17 * time.Second
	settings.HedgingAllowed = true
	settings.DrainGracePeriod = time.Second
	if err := s.build(); err != nil {
		t.Fatal(err)
	}
	f := s.fleet
	f.Traffic("", 0, 1000, 24*time.Second)
	s.replaceWorkers(listed)
	s.restartRouters()
	f.After(11*time.Second, func() { f.Traffic("", 0, 500, 6*time.Second) }) // 50% more traffic
	for _, at := range run.lost {
		f.After(at, func() { s.loseWorkers(11, 400*ms) })
	}
	if run.lull > 0 {
		s.burstAfterLull(run.lull, listed)
	}
	f.Run(28 * time.Second)
	return s
}

// unchanged returns the endpoint of a started worker as discovery reports it.
func unchanged(e policy.Endpoint) policy.Endpoint { return e }

// The routers together do not overload a worker in slow start, whatever their number: the requests that it receives
// exceed its budget by no more than random variation explains.
func TestRoutersTogetherDoNotOverloadWorkersInSlowStart(t *testing.T) {
	for _, run := range []slowStartRun{
		{name: "replaced"},
		{name: "lost", lost: []time.Duration{9 * time.Second}},
		{name: "lull", lull: 6 * time.Second},
	} {
		for _, routers := range []int{1, 2, 20, 30, 300} {
			t.Run(fmt.Sprintf("%s, %d routers", run.name, routers), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(1); seed <= 2; seed++ {
					s := runSlowStart(t, routers, seed, run, unchanged)
					deviations, overLimit := s.excess()
					received := s.receivedByStarted()
					t.Logf("%d routers, seed %d: largest excess %.1f sqrt(N); %d requests at started workers",
						routers, seed, deviations, received)
					if overLimit > 0 {
						t.Errorf("seed %d: %.0f requests more than N + 2 sqrt(N) + 2", seed, overLimit)
					}
					if received < 600 {
						t.Errorf("seed %d: started workers received %d requests in total", seed, received)
					}
				}
			})
		}
	}
}

// Verifies the check above: routers that are not told when a worker started overload it.
func TestSlowStartCheckDetectsUnreportedStart(t *testing.T) {
	withoutStart := func(e policy.Endpoint) policy.Endpoint {
		e.Started = 0
		return e
	}
	s := runSlowStart(t, 30, 1, slowStartRun{}, withoutStart)
	if _, overLimit := s.excess(); overLimit <= 0 {
		t.Error("the check did not report the fault")
	}
}

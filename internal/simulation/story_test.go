package simulation

import (
	"fmt"
	"time"

	"crankhold/policy"
)

const ms = time.Millisecond

// gracePeriod is how long a terminated router accepts requests. According to the platform's page, new connections
// arrive for 0.4 s, and requests on open connections for another 0.2 s.
const gracePeriod = 750 * ms

// How workers handle a request for a function that is not loaded.
const (
	rejectNotLoaded = "reject functions that are not loaded"
	loadOnDemand    = "load functions on demand"
)

// story holds the state that the steps of one scenario share.
type story struct {
	cfg        Config
	fleet      *Fleet
	traffic    []func() // schedule the traffic when the fleet is built
	started    *Worker
	terminated []*Router
}

// build creates the fleet and schedules its traffic. It is called after all Given steps; later calls do nothing.
func (s *story) build() error {
	if s.fleet != nil {
		return nil
	}
	fleet, err := New(s.cfg)
	if err != nil {
		return err
	}
	s.fleet = fleet
	for _, plan := range s.traffic {
		plan()
	}
	return nil
}

// storyConfig returns the configuration that all stories start from.
func storyConfig(routers, workers int, notLoaded string) Config {
	return Config{
		Routers:     routers,
		Workers:     workers,
		Functions:   60,
		ServiceTime: 40 * ms,
		Slots:       12,
		LoadTime:    400 * ms,
		Seed:        7,
		Settings: policy.Config{
			Tick:                     4 * ms,
			MaxAttempts:              5,
			CancelSupported:          true,
			HealthCheckSupported:     true,
			OverQuotaWeight:          0.2,
			SlowStartInitialCapacity: 0.2,
			SlowStartDuration:        10 * time.Second,
			OverloadMultiple:         4,
			OverloadWindow:           time.Second,
			DrainGracePeriod:         500 * ms,
			MissWhenNotLoaded:        notLoaded == rejectNotLoaded,
			LoadCommandsSupported:    true,
			LoadStatusReported:       true,
			KeepAlive:                10 * time.Second,
			LoadTimeout:              10 * time.Second,
			LoadBudgetWindow:         10 * time.Second,
			LoadBudgetMinimum:        4,
			LoadBudgetRatio:          0.3,
			Classes: []policy.Class{{
				LatencyObjective:   time.Second,
				Deadline:           3 * time.Second,
				PriorityWeight:     3,
				LatePriorityWeight: 0.3,
			}},
		},
	}
}

func (s *story) givenFleet(routers, workers int, notLoaded string) error {
	if notLoaded != rejectNotLoaded && notLoaded != loadOnDemand {
		return fmt.Errorf("unknown behavior of workers: %q", notLoaded)
	}
	s.cfg = storyConfig(routers, workers, notLoaded)
	return nil
}

func (s *story) givenQuotas(tenantA string, quotaA int, tenantB string, quotaB int) error {
	s.cfg.Tenants = []string{tenantA, tenantB}
	s.cfg.Settings.Tenants = []policy.Tenant{{RequestsPerSecond: float64(quotaA)}, {RequestsPerSecond: float64(quotaB)}}
	return nil
}

func (s *story) givenTenantTraffic(rate int, tenant string, seconds int) error {
	s.traffic = append(s.traffic, func() {
		s.fleet.Traffic(tenant, 0, float64(rate), time.Duration(seconds)*time.Second)
	})
	return nil
}

func (s *story) givenTraffic(rate, seconds int) error {
	return s.givenTenantTraffic(rate, "", seconds)
}

// whenTimePasses runs the fleet for a time, and then for 4 s more, so that the timeout of every request has passed.
func (s *story) whenTimePasses(seconds int) error {
	if err := s.build(); err != nil {
		return err
	}
	s.fleet.Run(time.Duration(seconds)*time.Second + 4*time.Second)
	return nil
}

// scheduleAndRun schedules do after a time, and runs the six seconds of a story.
func (s *story) scheduleAndRun(seconds int, do func()) error {
	if err := s.build(); err != nil {
		return err
	}
	s.fleet.After(time.Duration(seconds)*time.Second, do)
	return s.whenTimePasses(6)
}

func (s *story) whenWorkerLeaves(after, worker int, state string, within int) error {
	states := map[string]policy.WorkerState{"draining": policy.Draining, "gone": policy.Gone}
	endpoint := policy.Endpoint{Worker: policy.WorkerID(worker), Weight: 1, State: states[state]}
	return s.scheduleAndRun(after, func() { s.fleet.Notify(time.Duration(within)*ms, endpoint) })
}

func (s *story) whenWorkerStarts(after, within int) error {
	return s.scheduleAndRun(after, func() {
		s.started = s.fleet.StartWorker()
		s.fleet.Notify(time.Duration(within)*ms, policy.Endpoint{
			Worker:  s.started.ID,
			State:   policy.Ready,
			Weight:  1,
			Started: s.fleet.Now(),
		})
	})
}

func (s *story) whenRoutersAreTerminated(after int) error {
	return s.scheduleAndRun(after, func() {
		for i, r := range s.fleet.Routers {
			if i%10 == 0 {
				s.terminated = append(s.terminated, r)
				r.Terminate(gracePeriod)
			}
		}
	})
}

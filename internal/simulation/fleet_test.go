package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/cucumber/godog"

	"crankhold/internal/router"
	"crankhold/policy"
)

const ms = time.Millisecond

// linger is the service's, from the platform's page: connections come for 0.4 s, requests on open ones for 0.2 s more.
const linger = 750 * ms

// story is what the steps of one scenario share.
type story struct {
	cfg    Config
	fleet  *Fleet
	starts []func()
	worker *Worker
	ended  []*Router
}

// build makes the fleet once all that is given of it is known.
func (s *story) build() error {
	if s.fleet != nil {
		return nil
	}
	var err error
	if s.fleet, err = New(s.cfg); err == nil {
		for _, start := range s.starts {
			start()
		}
	}
	return err
}

func (s *story) routers(n, workers int, cold string) error {
	s.cfg = Config{Routers: n, Workers: workers, Functions: 60, Work: 40 * ms, Slots: 12, Load: 400 * ms, Seed: 7,
		Settings: policy.Config{Tick: 4 * ms, MaxAttempts: 5, CancelSupported: true, HealthCheckSupported: true, OverQuotaWeight: 0.2, SlowStartInitialCapacity: 0.2, SlowStartDuration: 10 * time.Second,
			OverloadMultiple: 4, OverloadWindow: time.Second, DrainGracePeriod: 500 * ms, MissWhenNotLoaded: cold == "answer misses", LoadOrdersSupported: true, LoadStatusReported: true,
			KeepAlive: 10 * time.Second, LoadTimeout: 10 * time.Second, LoadBudgetWindow: 10 * time.Second, LoadBudgetMinimum: 4, LoadBudgetRatio: 0.3,
			Classes: []policy.Class{{LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 3, LatePriorityWeight: 0.3}}}}
	if cold != "answer misses" && cold != "load by the way" {
		return fmt.Errorf("workers can't %q", cold)
	}
	return nil
}

func (s *story) allowances(a string, perA int, b string, perB int) error {
	s.cfg.Tenants = []string{a, b}
	s.cfg.Settings.Tenants = []policy.Tenant{{RequestsPerSecond: float64(perA)}, {RequestsPerSecond: float64(perB)}}
	return nil
}

func (s *story) trafficOf(n int, tenant string, seconds int) error {
	s.starts = append(s.starts, func() { s.fleet.Traffic(tenant, 0, float64(n), time.Duration(seconds)*time.Second) })
	return nil
}

func (s *story) traffic(n, seconds int) error { return s.trafficOf(n, "", seconds) }

// pass lets time go by until all calls have had theirs.
func (s *story) pass(seconds int) error {
	if err := s.build(); err != nil {
		return err
	}
	s.fleet.Run(time.Duration(seconds)*time.Second + 4*time.Second)
	return nil
}

func (s *story) when(seconds int, do func()) error {
	if err := s.build(); err != nil {
		return err
	}
	s.fleet.After(time.Duration(seconds)*time.Second, do)
	return s.pass(6)
}

func (s *story) changed(after, worker int, state string, within int) error {
	e := policy.Endpoint{Worker: policy.WorkerID(worker), Weight: 1, State: map[string]policy.WorkerState{"draining": policy.Draining, "gone": policy.Gone}[state]}
	return s.when(after, func() { s.fleet.Tell(time.Duration(within)*ms, e) })
}

func (s *story) started(after, within int) error {
	return s.when(after, func() {
		s.worker = s.fleet.StartWorker()
		s.fleet.Tell(time.Duration(within)*ms, policy.Endpoint{Worker: s.worker.ID, State: policy.Ready, Weight: 1, Started: s.fleet.Now()})
	})
}

func (s *story) terminated(after int) error {
	return s.when(after, func() {
		for i, r := range s.fleet.Routers {
			if i%10 == 0 {
				s.ended = append(s.ended, r)
				r.Terminate(linger)
			}
		}
	})
}

func (s *story) drainKept(int) error {
	late := 0
	for _, r := range s.fleet.Routers {
		late += r.LateSends
	}
	if w := s.fleet.Workers[5]; late > 0 || len(w.Taken) == 0 {
		return fmt.Errorf("%d sent too late; the worker took %d in all", late, len(w.Taken))
	}
	return nil
}

func (s *story) oneAnswer() error {
	if len(s.fleet.Calls) < 1000 {
		return fmt.Errorf("only %d calls", len(s.fleet.Calls))
	}
	for _, c := range s.fleet.Calls {
		if len(c.Answers) != 1 || c.Took > c.Left {
			return fmt.Errorf("a call at %v has %d answers, the last after %v", c.At, len(c.Answers), c.Took)
		}
	}
	return nil
}

func share(calls []*Call, of func(*Call) bool, is func(*Call) bool) (hundredths, n int) {
	good := 0
	for _, c := range calls {
		if of(c) {
			if n++; is(c) {
				good++
			}
		}
	}
	return good * 100 / max(n, 1), n
}

func servedIn(most time.Duration) func(*Call) bool {
	return func(c *Call) bool {
		return len(c.Answers) == 1 && c.Answers[0].Status == router.Served && c.Took <= most
	}
}

func (s *story) served(least int) error {
	if got, n := share(s.fleet.Calls, func(c *Call) bool { return !c.Late }, servedIn(time.Hour)); got < least {
		return fmt.Errorf("%d in 100 of %d calls were served", got, n)
	}
	return nil
}

func (s *story) servedOf(least int, tenant string) error {
	if got, n := share(s.fleet.Calls, func(c *Call) bool { return c.Tenant == tenant }, servedIn(time.Second)); got < least || n == 0 {
		return fmt.Errorf("%d in 100 of %d calls were served in time", got, n)
	}
	return nil
}

// notPushedOver counts what came to the worker in each second after its start. At the start it can do a fifth of what a
// warm one can; what the settings allow then is N, and chance 3 root N + 3.
func (s *story) notPushedOver() error {
	warm := float64(s.cfg.Slots) / s.cfg.Work.Seconds()
	first := s.worker.Taken
	for i, from := range first {
		n := 0
		for _, at := range first[i:] {
			if at < from+s.cfg.Settings.OverloadWindow {
				n++
			}
		}
		if allowed := s.cfg.Settings.OverloadMultiple * s.cfg.Settings.SlowStartInitialCapacity * warm; float64(n) > allowed {
			return fmt.Errorf("%d calls within a second, %.0f allowed", n, allowed)
		}
	}
	return nil
}

func (s *story) getsSome() error {
	if len(s.worker.Taken) < 10 {
		return fmt.Errorf("it got %d calls", len(s.worker.Taken))
	}
	return nil
}

func (s *story) lateRefused() error {
	got, n := share(s.fleet.Calls, func(c *Call) bool { return c.Late },
		func(c *Call) bool { return c.Answers[0].Status == router.Rejected && c.Took == 0 })
	if got != 100 && n > 0 {
		return fmt.Errorf("%d in 100 of %d calls past the linger were refused at once", got, n)
	}
	return nil
}

func (s *story) haveEnded() error {
	for _, r := range s.ended {
		if !r.Down || r.Open() > 0 {
			return fmt.Errorf("down %v with %d open", r.Down, r.Open())
		}
	}
	if len(s.ended) == 0 {
		return fmt.Errorf("none was told to end")
	}
	return nil
}

func TestStories(t *testing.T) {
	suite := godog.TestSuite{Options: &godog.Options{Format: "progress", NoColors: true, Paths: []string{"features"}, TestingT: t, Strict: true, Output: t.Output()},
		ScenarioInitializer: func(c *godog.ScenarioContext) {
			s := &story{}
			c.Step(`^(\d+) routers before (\d+) workers that (.+)$`, s.routers)
			c.Step(`^tenant "(\w+)" has an allowance of (\d+) calls a second, and "(\w+)" of (\d+)$`, s.allowances)
			c.Step(`^(\d+) calls a second for (\d+) s$`, s.traffic)
			c.Step(`^(\d+) calls a second of tenant "(\w+)" for (\d+) s$`, func(n int, tenant string, d int) error { return s.trafficOf(n, tenant, d) })
			c.Step(`^(\d+) s pass$`, s.pass)
			c.Step(`^after (\d+) s worker (\d+) is (draining|gone), which each router is told within (\d+) ms$`, s.changed)
			c.Step(`^after (\d+) s a worker starts, which each router is told within (\d+) ms$`, s.started)
			c.Step(`^after (\d+) s a tenth of the routers are told to end$`, s.terminated)
			c.Step(`^nothing goes to worker (\d+) later than a router's grace$`, s.drainKept)
			c.Step(`^each call has one answer within its time$`, s.oneAnswer)
			c.Step(`^at least (\d+) in 100 calls are served$`, s.served)
			c.Step(`^at least (\d+) in 100 calls of tenant "(\w+)" are served in time$`, func(n int, tenant string) error { return s.servedOf(n, tenant) })
			c.Step(`^in no second does it get more calls than its capacity allows$`, s.notPushedOver)
			c.Step(`^it gets some calls$`, s.getsSome)
			c.Step(`^what comes to a router past its linger is refused$`, s.lateRefused)
			c.Step(`^the routers that were told to end have ended$`, s.haveEnded)
		}}
	if suite.Run() != 0 {
		t.Fail()
	}
}

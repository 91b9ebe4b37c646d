package simulation

import (
	"testing"

	"github.com/cucumber/godog"
)

// initializeScenario creates a story for a scenario and registers the steps that the files in features use.
func initializeScenario(c *godog.ScenarioContext) {
	s := &story{}
	c.Step(`^(\d+) routers in front of (\d+) workers that (.+)$`, s.givenFleet)
	c.Step(`^tenant "(\w+)" has a quota of (\d+) requests per second, and "(\w+)" of (\d+)$`, s.givenQuotas)
	c.Step(`^(\d+) requests per second for (\d+) s$`, s.givenTraffic)
	c.Step(`^(\d+) requests per second of tenant "(\w+)" for (\d+) s$`, s.givenTenantTraffic)
	c.Step(`^(\d+) s pass$`, s.whenTimePasses)
	c.Step(`^after (\d+) s worker (\d+) is (draining|gone) and each router is notified within (\d+) ms$`, s.whenWorkerLeaves)
	c.Step(`^after (\d+) s a worker starts and each router is notified within (\d+) ms$`, s.whenWorkerStarts)
	c.Step(`^after (\d+) s a tenth of the routers are terminated$`, s.whenRoutersAreTerminated)
	c.Step(`^nothing is sent to worker (\d+) after a router's drain grace period$`, s.thenDrainIsFollowed)
	c.Step(`^each request has one response within its timeout$`, s.thenEachRequestHasOneResponse)
	c.Step(`^at least (\d+) in 100 requests are served$`, s.thenServed)
	c.Step(`^at least (\d+) in 100 requests of tenant "(\w+)" are served in time$`, s.thenTenantServed)
	c.Step(`^the started worker never receives more requests within a second than its capacity allows$`, s.thenNotOverloaded)
	c.Step(`^the started worker receives some requests$`, s.thenReceivesSome)
	c.Step(`^requests that reach a router after its grace period are rejected$`, s.thenLateRequestsAreRejected)
	c.Step(`^the terminated routers have exited$`, s.thenTerminatedHaveExited)
}

func TestStories(t *testing.T) {
	suite := godog.TestSuite{
		Options: &godog.Options{
			Format:   "progress",
			NoColors: true,
			Paths:    []string{"features"},
			TestingT: t,
			Strict:   true,
			Output:   t.Output(),
		},
		ScenarioInitializer: initializeScenario,
	}
	if suite.Run() != 0 {
		t.Fail()
	}
}

package simulation_test

import (
	"fmt"
	"time"

	"crankhold/internal/router"
	"crankhold/internal/simulation"
	"crankhold/policy"
)

// Two routers in front of four workers keep serving while one of the workers drains.
func Example() {
	fleet, err := simulation.New(simulation.Config{
		Routers: 2, Workers: 4, Functions: 8,
		ServiceTime: 20 * time.Millisecond,
		Slots:       8,
		LoadTime:    200 * time.Millisecond,
		Seed:        1,
		Settings: policy.Config{
			Tick:             4 * time.Millisecond,
			MaxAttempts:      3,
			OverQuotaWeight:  1,
			DrainGracePeriod: time.Second,
			KeepAlive:        10 * time.Second,
			Classes: []policy.Class{{
				LatencyObjective: time.Second,
				Deadline:         2 * time.Second,
				PriorityWeight:   1,
			}},
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fleet.Traffic("", 0, 100, 4*time.Second)
	fleet.After(2*time.Second, func() {
		fleet.Notify(500*time.Millisecond, policy.Endpoint{Worker: 1, State: policy.Draining})
	})
	fleet.Run(6 * time.Second)

	served := 0
	for _, request := range fleet.Requests {
		if len(request.Responses) == 1 && request.Responses[0].Status == router.Served {
			served++
		}
	}
	sentAfterDrain := 0
	for _, r := range fleet.Routers {
		sentAfterDrain += r.Violations.SentAfterDrain
	}
	fmt.Println("all served:", served == len(fleet.Requests))
	fmt.Println("sent after the drain grace period:", sentAfterDrain)
	// Output:
	// all served: true
	// sent after the drain grace period: 0
}

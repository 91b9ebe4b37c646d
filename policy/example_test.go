package policy_test

import (
	"fmt"
	"time"

	"crankhold/policy"
)

// A dispatcher feeds events in as they happen and carries out the actions it gets back.
func Example() {
	cfg := policy.Config{
		Routers: 1, Tick: 2 * time.Millisecond, MaxAttempts: 3, KeepAlive: 10 * time.Second, OverQuotaWeight: 1,
		Classes: []policy.Class{{LatencyObjective: 400 * time.Millisecond, Deadline: 4 * time.Second, Idempotency: policy.Idempotent, PriorityWeight: 1}},
	}
	p, err := policy.New(cfg, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0) // the dispatcher's own clock
	p.Handle(now, policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{
		{Worker: 7, State: policy.Ready},
	}}, nil)
	for _, action := range p.Handle(now, policy.RequestArrived{
		Request: 1, Function: 5, Lanes: 4, LoadTime: time.Second, Remaining: 4 * time.Second,
	}, nil) {
		switch a := action.(type) {
		case policy.StartAttempt:
			fmt.Println("send request", a.Request, "to worker", a.Worker)
		case policy.SetTimer:
			fmt.Println("set a timer")
		}
	}
	// Output:
	// set a timer
	// send request 1 to worker 7
}

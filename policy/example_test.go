package policy_test

import (
	"fmt"
	"time"

	"crankhold/policy"
)

// A router passes events to the policy as they happen and carries out the returned actions.
func Example() {
	p, err := policy.New(policy.Config{
		Routers:         1,
		Tick:            2 * time.Millisecond,
		MaxAttempts:     3,
		KeepAlive:       10 * time.Second,
		OverQuotaWeight: 1,
		Classes: []policy.Class{{
			LatencyObjective: 400 * time.Millisecond,
			Deadline:         4 * time.Second,
			Idempotency:      policy.Idempotent,
			PriorityWeight:   1,
		}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0) // the router's own clock
	router := func(event policy.Event) {
		for _, action := range p.Handle(now, event, nil) {
			switch a := action.(type) {
			case policy.StartAttempt:
				fmt.Println(now, "send request", a.Request, "to worker", a.Worker)
			case policy.FailRequest:
				fmt.Println(now, "fail request", a.Request)
			case policy.Reject:
				fmt.Println(now, "reject request", a.Request)
			case policy.SetTimer:
				fmt.Println(now, "set a timer of", a.After)
			}
		}
	}

	// Discovery lists one worker.
	router(policy.EndpointList{
		Kind:    policy.EndpointSnapshot,
		Workers: []policy.Endpoint{{Worker: 7, State: policy.Ready}},
	})

	// A client requests a function that takes a second to load.
	router(policy.RequestArrived{
		Request:   1,
		Function:  5,
		Lanes:     4,
		LoadTime:  time.Second,
		Remaining: 4 * time.Second,
	})

	// The worker responds, and the router passes the response to the client.
	now = 1200 * time.Millisecond
	router(policy.AttemptCompleted{
		Request:       1,
		Worker:        7,
		Outcome:       policy.Served,
		RequestClosed: true,
		Took:          1200 * time.Millisecond,
	})

	// The worker drains. A request that arrives now is sent to no worker.
	router(policy.EndpointList{
		Kind:    policy.EndpointSnapshot,
		Workers: []policy.Endpoint{{Worker: 7, State: policy.Draining}},
	})
	router(policy.RequestArrived{
		Request:   2,
		Function:  5,
		Lanes:     4,
		LoadTime:  time.Second,
		Remaining: 50 * time.Millisecond,
	})
	// Output:
	// 0s set a timer of 50ms
	// 0s set a timer of 3.996s
	// 0s send request 1 to worker 7
	// 1.2s set a timer of 46ms
	// 1.2s reject request 2
}

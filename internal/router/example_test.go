package router_test

import (
	"fmt"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// printingFront is a fake front that prints each response.
type printingFront struct{}

// Respond implements router.Responder.
func (printingFront) Respond(response router.Response) {
	fmt.Printf("response: %v, %q\n", response.Status, response.Body)
}

// printingWorkerClient is a fake worker client. It prints each attempt, and stores the last one so that the example can
// complete it.
type printingWorkerClient struct{ attempt router.Attempt }

func (c *printingWorkerClient) StartAttempt(worker policy.WorkerID, attempt router.Attempt, r *router.Request, budget time.Duration) {
	c.attempt = attempt
	fmt.Printf("attempt %d: request %s to worker %d, %v left\n", attempt.Number, r.ID, worker, budget)
}
func (c *printingWorkerClient) CancelAttempt(policy.WorkerID, router.Attempt)             {}
func (c *printingWorkerClient) WithdrawUnsent(policy.WorkerID, router.Attempt) bool       { return false }
func (c *printingWorkerClient) Load(policy.WorkerID, policy.FunctionID, int, uint64)      {}
func (c *printingWorkerClient) CancelCommand(policy.WorkerID, uint64)                     {}
func (c *printingWorkerClient) Unload(worker policy.WorkerID, function policy.FunctionID) {}
func (c *printingWorkerClient) CheckHealth(worker policy.WorkerID, commandID uint64)      {}
func (c *printingWorkerClient) CloseIdle(worker policy.WorkerID)                          {}

// A core serves one request: a front passes it to the core, the core forwards it to a worker, and the worker's response
// becomes the final response.
func Example() {
	// Create the decision module, with one class of requests.
	module, err := policy.New(policy.Config{
		Routers:         1,
		Tick:            4 * time.Millisecond,
		MaxAttempts:     3,
		KeepAlive:       10 * time.Second,
		OverQuotaWeight: 1,
		Classes: []policy.Class{{
			LatencyObjective: 400 * time.Millisecond,
			Deadline:         2 * time.Second,
			Idempotency:      policy.Idempotent,
			PriorityWeight:   1,
		}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}

	// Create the core, with a worker client and one worker.
	workers := &printingWorkerClient{}
	core := router.New(module, router.Config{
		Limits:          router.Limits{MaxConcurrentRequests: 100, MaxBytes: 1 << 20, MaxAttempts: 3},
		NewWorkerClient: func(*router.Core) router.WorkerClient { return workers },
		OnCompleted: func(_ time.Duration, r *router.Request, completion router.Completion) {
			fmt.Printf("completed: request %s, %s\n", r.ID, completion)
		},
	})
	core.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{
		{Worker: 7, State: policy.Ready},
	}})

	// A front passes a request to the core. Process lets the module choose a worker, and forwards the request to it.
	now := time.Duration(0) // the event loop's clock
	core.Accept(now, router.Request{
		Front:     router.Thrift,
		Responder: printingFront{},
		ID:        "9b1f03aa5c7e2d41",
		Function:  router.Function{Key: "7f3a9c21e0b4d655", ID: 0x7f3a9c21e0b4d655, Lanes: 4, LoadTime: time.Second},
		Body:      []byte("in"),
		Deadline:  now + 2*time.Second,
	})
	core.Process(now)

	// The worker responds 80 ms later.
	now += 80 * time.Millisecond
	core.SetNow(now)
	core.AttemptCompleted(workers.attempt, router.AttemptResult{
		Outcome:    policy.Served,
		LoadStatus: policy.StartedLoad,
		Body:       []byte("out"),
	})
	core.Process(now)
	fmt.Println("open requests:", core.OpenRequests())
	// Output:
	// attempt 0: request 9b1f03aa5c7e2d41 to worker 7, 2s left
	// response: served, "out"
	// completed: request 9b1f03aa5c7e2d41, served
	// open requests: 0
}

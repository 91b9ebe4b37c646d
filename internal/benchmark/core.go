package benchmark

import (
	"fmt"
	"io"
	"runtime"
	"time"
)

// Core measures the cost of a request in the router's core and the decision module, by the number of workers. It runs
// the production code in virtual time on one goroutine, without sockets.
type Core struct {
	Short bool  `help:"Fewer requests."`
	Sizes []int `help:"Workers." default:"12,100,1000,5000"`
	Calls int   `help:"Requests measured at each size, after as many to warm up." default:"40000"`
}

// requestsPerWorker is the rate of the load for each worker, in requests per second.
const requestsPerWorker = 15

// requestCost is the measured mean cost of a request.
type requestCost struct {
	microseconds float64
	allocations  float64
	bytes        float64 // allocated on the heap
}

// Run measures the cost for each number of workers and prints a row for it.
func (c Core) Run(out io.Writer) error {
	if c.Short {
		c.Calls /= 4
	}
	f := &figures{}
	fmt.Fprintf(out, "%8s %10s %10s %10s %12s\n", "workers", "req/s", "us/req", "allocs", "bytes/req")
	for _, workers := range c.Sizes {
		cost, err := measureCore(workers, c.Calls)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%8d %10d %10.2f %10.1f %12.0f\n",
			workers, requestsPerWorker*workers, cost.microseconds, cost.allocations, cost.bytes)
		f.add(fmt.Sprintf("us_%d", workers), cost.microseconds)
		f.add(fmt.Sprintf("allocs_%d", workers), cost.allocations)
	}
	return f.print(out)
}

// measureCore measures the given number of requests. To have replicas loaded, it first sends as many requests to warm
// up, or one second of load if that is more.
func measureCore(workers, requests int) (requestCost, error) {
	fleet, err := newCoreFleet(workers)
	if err != nil {
		return requestCost{}, err
	}
	fleet.run(max(requests, requestsPerWorker*workers))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	startedAt := time.Now()
	fleet.run(requests)
	elapsed := time.Since(startedAt)
	runtime.ReadMemStats(&after)
	n := float64(requests)
	return requestCost{
		microseconds: float64(elapsed.Nanoseconds()) / 1000 / n,
		allocations:  float64(after.Mallocs-before.Mallocs) / n,
		bytes:        float64(after.TotalAlloc-before.TotalAlloc) / n,
	}, nil
}

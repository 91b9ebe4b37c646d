package benchmark

import (
	"fmt"
	"io"
	"runtime"
	"time"
)

// Core measures what a request costs the core and the module by the size of the fleet, in virtual time: no sockets, one
// goroutine, the code that serves.
type Core struct {
	Short bool  `help:"Fewer requests."`
	Sizes []int `help:"Workers." default:"12,100,1000,5000"`
	Calls int   `help:"Requests measured at each size, after as many to warm up." default:"40000"`
}

// requestsPerWorker is the rate of the load, per second.
const requestsPerWorker = 15

// requestCost is what a request costs, by measurement.
type requestCost struct {
	microseconds float64
	allocations  float64
	bytes        float64 // allocated
}

// Run prints a row for each size.
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

// measureCore measures requests once replicas are loaded: after as many to warm up, and a second of load at least.
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

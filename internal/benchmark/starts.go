package benchmark

import (
	"fmt"
	"io"
	"slices"
	"time"

	"crankhold/internal/fake"
)

// Starts measures how long routers take to become ready if many are started at once on one machine while discovery is
// down. Half of them know a worker from their configuration; the other half start with an empty endpoint list.
type Starts struct {
	Short   bool          `help:"Start once in place of three times."`
	Router  string        `help:"The program to measure; the one beside this one unless given." type:"path"`
	Routers int           `help:"How many are started at once." default:"30"`
	Within  time.Duration `help:"The time in which nine in ten must be ready." default:"10s"`
}

// readyTimeout is the time after which the experiment fails if a router is not ready.
const readyTimeout = 30 * time.Second

// Run starts the routers in several rounds, and prints a row for each round and the share that was ready in time.
func (s Starts) Run(out io.Writer) error {
	program, err := findRouter(s.Router)
	if err != nil {
		return err
	}
	rounds := 3
	if s.Short {
		rounds = 1
	}
	var all []time.Duration
	fmt.Fprintf(out, "%6s %10s %10s %10s\n", "round", "median ms", "90% ms", "slowest ms")
	for n := range rounds {
		times, err := s.round(program)
		if err != nil {
			return err
		}
		slices.Sort(times)
		median := times[len(times)/2]
		p90 := times[len(times)*9/10]
		slowest := times[len(times)-1]
		fmt.Fprintf(out, "%6d %10d %10d %10d\n",
			n+1, median.Milliseconds(), p90.Milliseconds(), slowest.Milliseconds())
		all = append(all, times...)
	}
	return s.report(out, all)
}

func (s Starts) report(out io.Writer, all []time.Duration) error {
	inTime := 0
	for _, d := range all {
		if d <= s.Within {
			inTime++
		}
	}
	f := &figures{}
	f.add("starts", len(all))
	f.require("ready_in_time", inTime, inTime*10 >= len(all)*9)
	f.add("slowest_ms", slices.Max(all).Milliseconds())
	return f.print(out)
}

// round starts all routers at once and returns how long each took to become ready.
func (s Starts) round(program string) ([]time.Duration, error) {
	bed, err := startTestbed(workerConfigs(1, "s-%d", fake.WorkerConfig{Kind: "std", Warm: true}), nil)
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	bed.Site.Discovery.Close() // queries now fail with ECONNREFUSED
	var routers []*process
	defer func() {
		for _, p := range routers {
			p.kill()
		}
	}()
	startedAt := time.Now()
	for n := range s.Routers {
		p, err := launchRouter(bed, program, n)
		if err != nil {
			return nil, err
		}
		routers = append(routers, p)
	}
	return awaitReady(routers, startedAt)
}

// launchRouter launches the n-th router. Every second router knows no worker.
func launchRouter(bed *fake.Testbed, program string, n int) (*process, error) {
	listen, err := fake.FreeAddr()
	if err != nil {
		return nil, err
	}
	config := bed.Site.Config(listen)
	if n%2 == 1 {
		config = bed.Site.ConfigWithoutWorkers(listen)
	}
	path, err := bed.WriteFile(fmt.Sprintf("%d.json", n), config)
	if err != nil {
		return nil, err
	}
	return launch(program, listen, "EDGE_CONFIG="+path)
}

// awaitReady waits for all routers at once. It returns how long after startedAt each router was ready, and the first
// error if there is one.
func awaitReady(routers []*process, startedAt time.Time) ([]time.Duration, error) {
	times := make([]time.Duration, len(routers))
	errs := make(chan error, len(routers))
	for i, p := range routers {
		go func() {
			err := p.awaitReady(startedAt.Add(readyTimeout))
			times[i] = time.Since(startedAt)
			errs <- err
		}()
	}
	var first error
	for range routers {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return times, first
}

// awaitReady asks a router repeatedly until it responds that it accepts requests.
func (p *process) awaitReady(deadline time.Time) error {
	for time.Now().Before(deadline) {
		if p.isReady() {
			return nil
		}
		select {
		case <-p.exited:
			return fmt.Errorf("a router exited: %s", p.log.lastLines())
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("a router is not ready: %s", p.log.lastLines())
}

// isReady asks a router once whether it accepts requests.
func (p *process) isReady() bool {
	client, err := fake.Dial(p.listen)
	if err != nil {
		return false
	}
	defer client.Close()
	healthy, err := client.CheckHealth()
	return err == nil && healthy
}

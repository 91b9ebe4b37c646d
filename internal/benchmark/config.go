package benchmark

import (
	"fmt"
	"io"
	"time"
)

// Config measures the routes language and the routing that it describes.
type Config struct {
	Short  bool          `help:"Take under a minute."`
	Router string        `help:"The program to measure; the one beside this one unless given." type:"path"`
	Rate   int           `help:"Requests per second." default:"500"`
	Length time.Duration `help:"How long the load lasts; a minute, or 20 s with --short, unless given."`
	Seed   uint64        `help:"Of the load." default:"1"`
}

// What must hold of the costs.
const (
	maxMatchNanoseconds  = 1000
	maxCheckMilliseconds = 200
)

// reloadBurstSize is how many requests are sent at once, once a second: more than the cap of the pool that they go to.
const reloadBurstSize = 60

// Run measures look-ups and checks, and then a load with a reload each second and the death of a pool. It blocks until
// the load has ended.
func (c Config) Run(out io.Writer) error {
	f := &figures{}
	for _, n := range []int{10, 1000} {
		ns, allocs := matchCost(n)
		f.require(fmt.Sprintf("match_ns_%d", n), ns, ns < maxMatchNanoseconds)
		f.require(fmt.Sprintf("match_allocs_%d", n), allocs, allocs == 0)
	}
	lines, ms, err := checkCost(10000)
	if err != nil {
		return err
	}
	f.add("check_lines", lines)
	f.require("check_ms", ms, ms < maxCheckMilliseconds)
	run, err := c.load()
	if err != nil {
		return err
	}
	run.printPhases(out)
	run.report(f)
	return f.print(out)
}

// loadLength returns how long the load lasts.
func (c Config) loadLength() time.Duration {
	switch {
	case c.Length > 0:
		return c.Length
	case c.Short:
		return 20 * time.Second
	default:
		return time.Minute
	}
}

// load starts a router before workers of three kinds, and loads it.
func (c Config) load() (*reloadRun, error) {
	program, err := findRouter(c.Router)
	if err != nil {
		return nil, err
	}
	run, err := startReloadRun(program)
	if err != nil {
		return nil, err
	}
	defer run.close()
	clients, err := dialClients(run.router.listen, mixedLoadClients)
	if err != nil {
		return nil, err
	}
	defer closeClients(clients)

	length := c.loadLength()
	run.schedule = newReloadSchedule(time.Now(), length)
	scheduleDone := make(chan error, 1)
	go func() { scheduleDone <- run.followSchedule() }()
	newMixedLoad(mixedLoadConfig{
		record:    run.record,
		clients:   clients,
		rate:      c.Rate,
		length:    length,
		seed:      c.Seed,
		burstSize: reloadBurstSize,
	}).run(run.schedule.startedAt)
	if err := <-scheduleDone; err != nil {
		return nil, err
	}
	run.unmatchedResponses = awaitResponses(clients)
	return run, nil
}

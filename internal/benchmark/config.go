package benchmark

import (
	"fmt"
	"io"
	"time"
)

// Config measures the cost of checking routes files and of matching routes, and how the router behaves when routes are
// reloaded under load.
type Config struct {
	Short  bool          `help:"Take under a minute."`
	Router string        `help:"The program to measure; the one beside this one unless given." type:"path"`
	Rate   int           `help:"Requests per second." default:"500"`
	Length time.Duration `help:"How long the load lasts; a minute, or 20 s with --short, unless given."`
	Seed   uint64        `help:"Of the load." default:"1"`
}

// Upper limits on the cost of one match, and on the cost of checking 10000 lines.
const (
	maxMatchNanoseconds  = 1000
	maxCheckMilliseconds = 200
)

// reloadBurstSize is the number of requests in the burst that is sent each second. It exceeds the cap of the pool that
// the requests are routed to.
const reloadBurstSize = 60

// Run measures route matching and checks of routes files. It then runs a load during which the routes are reloaded each
// second and the workers of one pool are killed and restarted. It blocks until the load has ended.
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

// loadLength returns the duration of the load.
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

// load starts a router and workers of three kinds, and sends requests to the router. It blocks until the load has
// ended.
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

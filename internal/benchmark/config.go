package benchmark

import (
	"fmt"
	"io"
	"time"

	"crankhold/internal/fake"
)

// Config measures the routes language and the routing that it describes.
type Config struct {
	Short  bool          `help:"Take under a minute."`
	Router string        `help:"The program to measure; the one beside this one unless given." type:"path"`
	Rate   int           `help:"Calls a second." default:"500"`
	Length time.Duration `help:"How long the load lasts; a minute, or 20 s with --short, unless given."`
	Seed   uint64        `help:"Of the load." default:"1"`
}

// What must hold of the costs.
const (
	maxMatchNanoseconds  = 1000
	maxCheckMilliseconds = 200
)

// burstSize is how many requests are sent at once, once a second: more than the cap of the pool that they go to.
const burstRequests = 60

// Run measures look-ups and checks, and then a load with a reload each second and the death of a pool.
func (c Config) Run(out io.Writer) error {
	f := &figures{}
	for _, n := range []int{10, 1000} {
		ns, allocs := matchCost(n)
		f.must(fmt.Sprintf("match_ns_%d", n), ns, ns < maxMatchNanoseconds)
		f.must(fmt.Sprintf("match_allocs_%d", n), allocs, allocs == 0)
	}
	lines, ms, err := checkCost(10000)
	if err != nil {
		return err
	}
	f.add("check_lines", lines)
	f.must("check_ms", ms, ms < maxCheckMilliseconds)
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

// reloadRun is one load with reloads and the death of a pool, and what came of it.
type reloadRun struct {
	*record
	pools              *poolWatch
	bed                *fake.Testbed
	router             *process
	routesPath         string // the path of the routes file
	reloads            int
	unmatchedResponses int // responses to no request

	startedAt       time.Time
	poolKilledAt    time.Time // the large workers are killed
	poolRestartedAt time.Time // and started again
	endsAt          time.Time
}

// load starts a router before workers of three kinds, and loads it.
func (c Config) load() (*reloadRun, error) {
	program, err := findRouter(c.Router)
	if err != nil {
		return nil, err
	}
	run := &reloadRun{record: newRecord(), pools: newPoolWatch()}
	run.record.watch = run.pools.event
	if err := run.start(program); err != nil {
		return nil, err
	}
	defer run.bed.Close()
	defer run.router.stop()
	clients, err := dialClients(run.router.listen, mixedLoadClients)
	if err != nil {
		return nil, err
	}
	defer closeClients(clients)

	length := c.loadLength()
	run.startedAt = time.Now()
	run.poolKilledAt = run.startedAt.Add(length * 4 / 10)
	run.poolRestartedAt = run.startedAt.Add(length * 6 / 10)
	run.endsAt = run.startedAt.Add(length)
	disturbed := make(chan error, 1)
	go func() { disturbed <- run.disturb() }()
	load := newMixedLoad(run.record, clients, c.Rate, length, c.Seed)
	load.burstSize = func(n int) int {
		if n%c.Rate == c.Rate/2 {
			return burstRequests
		}
		return 0
	}
	load.run(run.startedAt)
	if err := <-disturbed; err != nil {
		return nil, err
	}
	run.unmatchedResponses = awaitResponses(clients)
	return run, nil
}

// start starts the fakes and the router, which routes by routesA.
func (r *reloadRun) start(program string) error {
	workers := workerConfigs(12, "s-%d", fake.WorkerConfig{
		ServiceTime: 20 * time.Millisecond, LoadTime: 300 * time.Millisecond, KeepAlive: 10 * time.Second, Lanes: 8, Queue: 64})
	kinds := []string{kindLarge, kindLarge, kindSmall, kindSmall, kindSpare}
	for i := range workers {
		workers[i].Kind = kinds[i%len(kinds)]
	}
	bed, err := startTestbed(workers, r.event)
	if err != nil {
		return err
	}
	r.bed = bed
	r.routesPath = bed.Path("routes.crank")
	if err := r.writeRoutes(0); err != nil {
		bed.Close()
		return err
	}
	r.router, err = startRouterOn(bed, program, "CRANKHOLD_ROUTES="+r.routesPath)
	if err != nil {
		bed.Close()
		return err
	}
	r.pools.reloadEnds()
	return nil
}

func (r *reloadRun) writeRoutes(file int) error {
	_, err := r.bed.WriteFile("routes.crank", []byte(watchedRoutes[file].text))
	return err
}

// disturb reloads the other routes file each second, and kills the large workers for a time.
func (r *reloadRun) disturb() error {
	dead := false
	for n := 1; ; n++ {
		next := r.startedAt.Add(time.Duration(n) * time.Second)
		if next.After(r.endsAt) {
			return nil
		}
		time.Sleep(time.Until(next))
		now := time.Now()
		switch {
		case !dead && now.After(r.poolKilledAt) && now.Before(r.poolRestartedAt):
			r.killPool()
			dead = true
		case dead && now.After(r.poolRestartedAt):
			if err := r.restartPool(); err != nil {
				return err
			}
			dead = false
		}
		if err := r.reload(n % len(watchedRoutes)); err != nil {
			return err
		}
	}
}

// poolWorkers returns the workers of the pool that dies.
func (r *reloadRun) poolWorkers() (list []*fake.Worker) {
	for _, w := range r.bed.Site.Workers {
		if w.Kind == kindLarge {
			list = append(list, w)
		}
	}
	return list
}

func (r *reloadRun) killPool() {
	for _, w := range r.poolWorkers() {
		w.Kill()
	}
}

func (r *reloadRun) restartPool() error {
	for _, w := range r.poolWorkers() {
		if err := w.Start(); err != nil {
			return err
		}
	}
	return nil
}

// reload replaces the routes file and has the router follow.
func (r *reloadRun) reload(file int) error {
	r.mu.Lock()
	r.pools.reloadBegins(file)
	r.mu.Unlock()
	if err := r.writeRoutes(file); err != nil {
		return err
	}
	if err := r.router.reload(); err != nil {
		return err
	}
	r.reloads++
	r.mu.Lock()
	r.pools.reloadEnds()
	r.mu.Unlock()
	return nil
}

// printPhases prints a row for each class before, during and after the death of the pool.
func (r *reloadRun) printPhases(out io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(out, "%-24s %8s %8s %8s %8s\n", "phase", "calls", "served", "refused", "failed")
	for _, phase := range []struct {
		name     string
		from, to time.Time
	}{
		{"before the pool dies", r.startedAt, r.poolKilledAt},
		{"while it is dead", r.poolKilledAt.Add(time.Second), r.poolRestartedAt},
		{"after its return", r.poolRestartedAt.Add(time.Second), r.endsAt},
	} {
		for _, class := range fake.Classes {
			t := r.tally(class.Name, phase.from, phase.to)
			fmt.Fprintf(out, "%-24s %8d %8d %8d %8d\n", phase.name+", "+class.Name[:3], t.sent, t.served, t.rejected, t.failed)
		}
	}
}

// secondsUntilServed returns how many seconds after the pool's return 95 in 100 of its class's requests were served in
// a second, or -1.
func (r *reloadRun) secondsUntilServed() int {
	for s := range 60 {
		from := r.poolRestartedAt.Add(time.Duration(s) * time.Second)
		t := r.tally(fake.DimLevel.Name, from, from.Add(time.Second))
		if t.sent > 0 && t.served*100 >= t.sent*95 {
			return s
		}
	}
	return -1
}

// maxSpillTolerance is what the platform allows for requests that are under way.
const overflowTolerance = 1.02

// report adds the load's figures.
func (r *reloadRun) report(f *figures) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.violations(fake.RepairOrder.Name)
	returned := r.secondsUntilServed()
	f.must("seconds_until_95_in_100", returned, returned >= 0)
	f.add("calls", len(r.requests))
	f.must("reloads", r.reloads, r.reloads > 0)
	f.mustBeZero("lost", v.lost)
	f.mustBeZero("late", v.late)
	f.mustBeZero("extra_answers", r.unmatchedResponses)
	f.add("orders", v.notIdempotent)
	f.mustBeZero("doubled", v.doubled)
	f.mustBeZero("outside_pool", r.pools.outsidePool)
	f.mustBeZero("ration_breaches", v.loadBudgetBreaches)
	f.mustBeZero("over_cap", r.pools.overCap)
	peak := r.pools.maxInFlight
	f.must("peak_of_cap", fmt.Sprintf("%d/%d", peak, routesACap), peak <= routesACap && peak >= routesBCap)
	spilled := len(r.pools.overflowed)
	share := r.pools.maxOverflowShare(r.record)
	f.must("spilled", spilled, spilled > 0)
	f.must("spill_share_max", share, share <= overflowLimit*overflowTolerance)
	f.add("loads_in_10s_after_return", r.loadCommandsBetween(r.poolRestartedAt, r.poolRestartedAt.Add(10*time.Second)))
	f.add("p99_ms", r.latencyPercentile(0.99))
}

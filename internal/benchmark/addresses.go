package benchmark

import (
	"fmt"
	"io"
	"sync"
	"time"

	"crankhold/internal/fake"
)

// Addresses measures workers with several addresses, of which each keeps one while the others fail at random.
type Addresses struct {
	Short  bool          `help:"Take under a minute."`
	Router string        `help:"The program to measure; the one beside this one unless given." type:"path"`
	Before string        `help:"A build to measure on the same faults too." type:"path"`
	Rate   int           `help:"Requests per second." default:"500"`
	Length time.Duration `help:"How long each load lasts; ten minutes, or 15 s with --short, unless given."`
	Seed   uint64        `help:"Of the load and the faults." default:"1"`
}

// maxServedLoss is by how much faults may lower the share of served requests.
const maxServedLoss = 0.02

// addressRun is one load and what came of it. The fields beside the record are complete once load has returned.
type addressRun struct {
	*record
	total              tally
	p99                float64       // milliseconds
	cpu                time.Duration // processor time of the router
	unmatchedResponses int           // responses to no request
	faults             int
	drains             int
	lateSends          int // messages to a worker after its drain
	// The router's own counters, as its log has them.
	recoveryDials string
	resent        string // requests that went over another connection, for they had not left
}

// cpuPerRequest returns the router's processor time for a request, in microseconds.
func (r *addressRun) cpuPerRequest() float64 {
	return float64(r.cpu.Microseconds()) / float64(r.total.sent)
}

// faultMode says whether a load has faults.
type faultMode int

// Modes of a load.
const (
	withoutFaults faultMode = iota
	withFaults
)

// Run loads the router without faults and with them, and the build before alike. It blocks until the loads have ended.
func (a Addresses) Run(out io.Writer) error {
	program, err := findRouter(a.Router)
	if err != nil {
		return err
	}
	if a.Length == 0 {
		a.Length = 10 * time.Minute
		if a.Short {
			a.Length = 15 * time.Second
		}
	}
	f := &figures{}
	fmt.Fprintf(out, "%-22s %8s %8s %8s %8s %8s %8s %10s %10s\n",
		"run", "requests", "served", "rejected", "failed", "p99 ms", "faults", "cpu us", "resent")
	baseline, err := a.measure(out, "no faults", program, withoutFaults)
	if err != nil {
		return err
	}
	faulty, err := a.measure(out, "faults", program, withFaults)
	if err != nil {
		return err
	}
	if a.Before != "" {
		if err := a.compareWithPreviousBuild(out, f, baseline); err != nil {
			return err
		}
	}
	reportAddresses(f, baseline, faulty)
	return f.print(out)
}

// compareWithPreviousBuild measures the build before and adds its figures to f.
func (a Addresses) compareWithPreviousBuild(out io.Writer, f *figures, baseline *addressRun) error {
	previousBaseline, err := a.measure(out, "no faults, before", a.Before, withoutFaults)
	if err != nil {
		return err
	}
	f.add("cpu_us_per_call", baseline.cpuPerRequest())
	f.add("cpu_us_per_call_before", previousBaseline.cpuPerRequest())
	previousFaulty, err := a.measure(out, "faults, before", a.Before, withFaults)
	if err != nil {
		return err
	}
	f.add("served_before", previousFaulty.total.servedShare())
	return nil
}

// reportAddresses adds the figures of the run with faults, which are compared with those of the run without.
func reportAddresses(f *figures, baseline, faulty *addressRun) {
	v := faulty.violations(fake.RepairOrder.Name)
	served := faulty.total.servedShare()
	baselineServed := baseline.total.servedShare()
	f.add("requests", len(faulty.requests))
	f.add("not_idempotent", v.notIdempotent)
	f.requireZero("doubled", v.ranTwice)
	f.requireZero("late_sends", faulty.lateSends)
	f.requireZero("answers_missing", v.lost)
	f.requireZero("answers_late", v.late)
	f.requireZero("extra_answers", faulty.unmatchedResponses)
	f.requireZero("ration_breaches", v.loadBudgetBreaches)
	f.require("faults", faulty.faults, faulty.faults > 0)
	f.require("drains", faulty.drains, faulty.drains > 0)
	f.add("recovery_dials", faulty.recoveryDials)
	f.add("resent", faulty.resent)
	f.add("served_no_faults", baselineServed)
	f.require("served", served, served >= baselineServed-maxServedLoss)
}

// measure runs a load and prints its row.
func (a Addresses) measure(out io.Writer, name, program string, mode faultMode) (*addressRun, error) {
	r, err := a.load(program, mode)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(out, "%-22s %8d %8d %8d %8d %8.1f %8d %10.1f %10s\n",
		name, len(r.requests), r.total.served, r.total.rejected, r.total.failed,
		r.p99, r.faults, r.cpuPerRequest(), r.resent)
	return r, nil
}

// load starts a router and twelve workers of three addresses each, and loads it. It blocks until the load has ended.
func (a Addresses) load(program string, mode faultMode) (*addressRun, error) {
	r := &addressRun{record: newRecord(nil)}
	bed, err := startTestbed(addressWorkers(), r.event)
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	router, err := startAddressRouter(bed, program)
	if err != nil {
		return nil, err
	}
	defer router.stop()
	clients, err := dialClients(router.listen, mixedLoadClients)
	if err != nil {
		return nil, err
	}
	defer closeClients(clients)

	startedAt := time.Now()
	var faults sync.WaitGroup
	if mode == withFaults {
		faults.Go(func() { r.injectFaults(bed.Site, a.Seed, startedAt.Add(a.Length)) })
		faults.Go(func() { r.drainWorkers(bed.Site, startedAt.Add(a.Length)) })
	}
	newMixedLoad(mixedLoadConfig{
		record:  r.record,
		clients: clients,
		rate:    a.Rate,
		length:  a.Length,
		seed:    a.Seed,
	}).run(startedAt)
	faults.Wait()
	r.unmatchedResponses = awaitResponses(clients)
	router.stop()
	r.summarize(router, startedAt)
	return r, nil
}

// startAddressRouter starts a router that uses the workers' Unix sockets, with every third worker listed twice.
func startAddressRouter(bed *fake.Testbed, program string) (*process, error) {
	bed.Site.Discovery.Set(endpointsWithAliases(bed.Site, noneDraining))
	addresses, err := bed.WriteFile("addresses.toml", []byte("unix_in_txt = true\n"))
	if err != nil {
		return nil, err
	}
	return startRouterOn(bed, program, "CRANKHOLD_ADDRESSES="+addresses)
}

// injectFaults has addresses fail until a time, and blocks until then.
func (r *addressRun) injectFaults(site *fake.Site, seed uint64, until time.Time) {
	injector := newFaultInjector(site, seed)
	injector.run(until)
	r.faults = injector.count
}

// addressWorkers describes twelve workers that listen on IPv4, on IPv6 where there is one, and on a Unix socket.
func addressWorkers() []fake.WorkerConfig {
	workers := workerConfigs(12, "s-%02d", fake.WorkerConfig{
		Kind:        "std",
		ServiceTime: 20 * time.Millisecond,
		LoadTime:    300 * time.Millisecond,
		KeepAlive:   10 * time.Second,
		Lanes:       8,
		Queue:       64,
	})
	for i := range workers {
		workers[i].MoreAddrs = []fake.Address{
			{Network: fake.NetworkTCP6, Addr: "::1"},
			{Network: fake.NetworkUnix, Addr: fmt.Sprintf("w%d.sock", i+1)},
		}
	}
	return workers
}

// summarize computes the figures of a load that has ended.
func (r *addressRun) summarize(router *process, startedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total = r.tally("", startedAt, time.Now())
	r.p99 = r.latencyPercentile(0.99)
	r.cpu = router.cpuTimeAfterExit()
	r.recoveryDials = router.log.counter("dials", "recovery_dials")
	r.resent = router.log.counter("dials", "resent")
}

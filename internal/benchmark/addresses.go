package benchmark

import (
	"fmt"
	"io"
	"sync"
	"time"

	"crankhold/internal/fake"
)

// Addresses measures a router whose workers have several addresses each. The addresses fail at random, but every worker
// always keeps a healthy one.
type Addresses struct {
	Short  bool          `help:"Take under a minute."`
	Router string        `help:"The program to measure; the one beside this one unless given." type:"path"`
	Before string        `help:"A build to measure on the same faults too." type:"path"`
	Rate   int           `help:"Requests per second." default:"500"`
	Length time.Duration `help:"How long each load lasts; ten minutes, or 15 s with --short, unless given."`
	Seed   uint64        `help:"Of the load and the faults." default:"1"`
}

// maxServedLoss is the most by which faults may lower the share of served requests.
const maxServedLoss = 0.02

// addressRun holds the results of one load. The fields beside the record are set when load returns.
type addressRun struct {
	*record
	total              tally
	p99                float64       // latency, in milliseconds
	cpu                time.Duration // CPU time of the router
	unmatchedResponses int           // responses that match no request in flight
	faults             int
	drains             int
	lateMessages       int // messages to a worker after its drain grace period
	// Counters from the router's log.
	recoveryDials string
	resent        string // requests resent over another connection because they had not left on the first one
}

// cpuPerRequest returns the router's CPU time per request, in microseconds.
func (r *addressRun) cpuPerRequest() float64 {
	return float64(r.cpu.Microseconds()) / float64(r.total.sent)
}

// faultMode says whether faults are injected during a load.
type faultMode int

// Values of faultMode.
const (
	withoutFaults faultMode = iota
	withFaults
)

// Run loads the router without faults and then with faults. It does the same with the build named by Before, if one is
// given. It blocks until all loads have ended.
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

// compareWithPreviousBuild measures the build named by Before and adds its figures to f.
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

// reportAddresses adds the figures of the run with faults to f. The share of served requests is compared with that of
// the run without faults.
func reportAddresses(f *figures, baseline, faulty *addressRun) {
	v := faulty.violations(fake.RepairOrder.Name)
	served := faulty.total.servedShare()
	baselineServed := baseline.total.servedShare()
	f.add("requests", len(faulty.requests))
	f.add("not_idempotent", v.notIdempotent)
	f.requireZero("doubled", v.ranTwice)
	f.requireZero("late_sends", faulty.lateMessages)
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

// measure runs a load and prints a row of its results.
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

// load starts twelve workers with three addresses each, and a router, and sends requests to it. It blocks until the
// load has ended.
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

// startAddressRouter starts a router that uses the workers' Unix sockets. Every third worker is listed twice.
func startAddressRouter(bed *fake.Testbed, program string) (*process, error) {
	bed.Site.Discovery.SetEndpoints(endpointsWithAliases(bed.Site, noneDraining))
	addresses, err := bed.WriteFile("addresses.toml", []byte("unix_in_txt = true\n"))
	if err != nil {
		return nil, err
	}
	return startRouterOn(bed, program, "CRANKHOLD_ADDRESSES="+addresses)
}

// injectFaults makes addresses fail at random until the given time. It blocks until then.
func (r *addressRun) injectFaults(site *fake.Site, seed uint64, until time.Time) {
	injector := newFaultInjector(site, seed)
	injector.run(until)
	r.faults = injector.count
}

// addressWorkers returns the configurations of twelve workers. Each listens on IPv4, on IPv6 if the machine has it, and
// on a Unix socket.
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

// summarize computes the results of a load that has ended.
func (r *addressRun) summarize(router *process, startedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total = r.tally("", startedAt, time.Now())
	r.p99 = r.latencyPercentile(0.99)
	r.cpu = router.cpuTimeAfterExit()
	r.recoveryDials = router.log.counter("dials", "recovery_dials")
	r.resent = router.log.counter("dials", "resent")
}

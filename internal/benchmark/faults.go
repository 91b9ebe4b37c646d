package benchmark

import (
	"math/rand/v2"
	"time"

	"crankhold/internal/fake"
)

// How often a fault is injected, and how long it lasts.
const (
	faultInterval    = 100 * time.Millisecond
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3300 * time.Millisecond
	// flappingTicks is the length of a phase, in fault intervals. The flapping address changes its mode at each
	// interval of every second phase, and keeps its mode in the other phases.
	flappingTicks = 100
)

// flappingModes are the modes that the flapping address cycles through.
var flappingModes = []fake.PortMode{fake.ModeHealthy, fake.ModeRefuse, fake.ModeHealthy, fake.ModeReset}

// addressFault is a fault of one address that is in progress.
type addressFault struct {
	port *fake.Port
	end  time.Time
}

// faultInjector makes addresses fail at random. Each worker keeps at least one healthy address. One address of the
// first worker flaps; its other addresses never fail. A faultInjector is not safe for concurrent use.
type faultInjector struct {
	workers  []*fake.Worker // workers whose addresses fail at random
	flapping *fake.Port
	random   *rand.Rand
	faults   []addressFault // in progress
	count    int            // faults started, and mode changes of the flapping address
}

func newFaultInjector(site *fake.Site, seed uint64) *faultInjector {
	return &faultInjector{
		workers:  site.Workers[1:],
		flapping: site.Workers[0].Ports()[0],
		random:   rand.New(rand.NewPCG(seed, 11)),
	}
}

// run injects faults until the given time and blocks until then. When it returns, all addresses are healthy.
func (i *faultInjector) run(until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(faultInterval)
		now := time.Now()
		i.endFaults(func(fault addressFault) bool { return !now.Before(fault.end) })
		if n/flappingTicks%2 == 1 {
			i.flapping.SetMode(flappingModes[n%len(flappingModes)])
			i.count++
		}
		i.startFault(now)
	}
	i.endFaults(func(addressFault) bool { return true })
	i.flapping.SetMode(fake.ModeHealthy)
}

// endFaults ends the selected faults, so that their addresses are healthy again.
func (i *faultInjector) endFaults(selected func(addressFault) bool) {
	var remaining []addressFault
	for _, fault := range i.faults {
		if !selected(fault) {
			remaining = append(remaining, fault)
			continue
		}
		fault.port.SetMode(fake.ModeHealthy)
	}
	i.faults = remaining
}

// startFault makes a random address fail, in a random mode and for a random duration. It does nothing if the address
// can't fail in that mode, is failing already, or is the worker's last healthy one.
func (i *faultInjector) startFault(now time.Time) {
	ports := i.workers[i.random.IntN(len(i.workers))].Ports()
	port := ports[i.random.IntN(len(ports))]
	mode := fake.Modes[1+i.random.IntN(len(fake.Modes)-1)]
	durationRange := (maxFaultDuration - minFaultDuration).Milliseconds()
	duration := minFaultDuration + time.Duration(i.random.IntN(int(durationRange)))*time.Millisecond
	possible := mode != fake.ModeStaleSocket || port.Network == fake.NetworkUnix
	if !possible || port.Mode() != fake.ModeHealthy || countHealthy(ports) < 2 {
		return
	}
	port.SetMode(mode)
	i.faults = append(i.faults, addressFault{port: port, end: now.Add(duration)})
	i.count++
}

func countHealthy(ports []*fake.Port) (n int) {
	for _, port := range ports {
		if port.Mode() == fake.ModeHealthy {
			n++
		}
	}
	return n
}

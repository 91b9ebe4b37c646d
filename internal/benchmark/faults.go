package benchmark

import (
	"math/rand/v2"
	"time"

	"crankhold/internal/fake"
)

// How often addresses are made to fail, and for how long.
const (
	faultInterval    = 100 * time.Millisecond
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3300 * time.Millisecond
	// turnsOfFlapping are how many intervals the flapping address flaps, and stays well, in turn.
	turnsOfFlapping = 100
)

// flapModes are what the flapping address is, one after the other.
var flapModes = []fake.PortMode{fake.ModeHealthy, fake.ModeRefuse, fake.ModeHealthy, fake.ModeReset}

// addressFault is an address that fails until a time.
type addressFault struct {
	port *fake.Port
	end  time.Time
}

// failAddresses has addresses fail at random until a time, and returns how often. Each worker keeps one that is well.
// One address of the first worker flaps.
func failAddresses(site *fake.Site, seed uint64, until time.Time) (count int) {
	random := rand.New(rand.NewPCG(seed, 11))
	flapping := site.Workers[0].Ports()[0]
	var faults []addressFault
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(faultInterval)
		now := time.Now()
		faults = endFaults(faults, now)
		if n/turnsOfFlapping%2 == 1 {
			flapping.Set(flapModes[n%len(flapModes)])
			count++
		}
		if fault, begun := beginFault(site, random, now); begun {
			faults = append(faults, fault)
			count++
		}
	}
	for _, fault := range faults {
		fault.port.Set(fake.ModeHealthy)
	}
	flapping.Set(fake.ModeHealthy)
	return count
}

// endFaults has addresses be well again whose time is up, and returns the other faults.
func endFaults(faults []addressFault, now time.Time) (remaining []addressFault) {
	for _, fault := range faults {
		if now.Before(fault.end) {
			remaining = append(remaining, fault)
		} else {
			fault.port.Set(fake.ModeHealthy)
		}
	}
	return remaining
}

// beginFault draws an address, a mode and a duration. It does nothing if the address can't fail so, fails already, or
// is the worker's last one that is well.
func beginFault(site *fake.Site, random *rand.Rand, now time.Time) (fault addressFault, begun bool) {
	worker := site.Workers[1+random.IntN(len(site.Workers)-1)]
	ports := worker.Ports()
	port := ports[random.IntN(len(ports))]
	mode := fake.Modes[1+random.IntN(len(fake.Modes)-1)]
	span := (maxFaultDuration - minFaultDuration).Milliseconds()
	duration := minFaultDuration + time.Duration(random.IntN(int(span)))*time.Millisecond
	possible := mode != fake.ModeStaleSocket || port.Network == fake.NetworkUnix
	if !possible || port.Mode() != fake.ModeHealthy || countWell(ports) < 2 {
		return addressFault{}, false
	}
	port.Set(mode)
	return addressFault{port: port, end: now.Add(duration)}, true
}

func countWell(ports []*fake.Port) (n int) {
	for _, port := range ports {
		if port.Mode() == fake.ModeHealthy {
			n++
		}
	}
	return n
}

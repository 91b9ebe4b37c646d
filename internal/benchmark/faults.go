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
	possible := mode != fake.ModeStaleSocket || port.Network == "unix"
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

// noDrain is given to listTwice where no worker drains.
const noDrain = -1

// listTwice lists every third worker a second time, with the same addresses under another name. The worker of an index
// drains under that second name.
func listTwice(site *fake.Site, draining int) (list []fake.Endpoint) {
	for i, entry := range site.Endpoints() {
		list = append(list, entry)
		if i%3 != 0 {
			continue
		}
		entry.Name += "-local"
		entry.Draining = i == draining
		list = append(list, entry)
	}
	return list
}

// Times of a drain, and what a router may take to follow it.
const (
	drainPause       = 1500 * time.Millisecond
	drainDuration    = 3 * time.Second
	drainGracePeriod = time.Second
)

// drainWorkers has workers that are listed twice drain under their second name, one after the other until a time, and
// counts what was sent to any address of theirs after the grace period.
func (r *addressRun) drainWorkers(site *fake.Site, until time.Time) {
	for n := 0; time.Now().Add(5 * time.Second).Before(until); n++ {
		time.Sleep(drainPause)
		index := n * 3 % len(site.Workers)
		serial := site.Discovery.Set(listTwice(site, index))
		r.drains++
		time.Sleep(drainDuration)
		answered := site.Discovery.AnsweredAt(serial)
		end := time.Now()
		site.Discovery.Set(listTwice(site, noDrain))
		if !answered.IsZero() {
			r.lateSends += r.countArrivals(site.Workers[index], answered.Add(drainGracePeriod), end)
		}
	}
}

// countArrivals counts the requests and load commands that came to a worker between two times.
func (r *record) countArrivals(worker *fake.Worker, after, before time.Time) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.Worker == worker && e.IsArrival() && e.At.After(after) && e.At.Before(before) {
			n++
		}
	}
	return n
}

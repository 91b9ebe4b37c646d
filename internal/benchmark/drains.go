package benchmark

import (
	"time"

	"crankhold/internal/fake"
)

// noneDraining is passed to endpointsWithAliases if no worker drains.
const noneDraining = -1

// endpointsWithAliases returns the endpoint list of a site, with every third worker listed a second time: the same
// addresses under an alias. The alias of the worker with index draining is listed as draining.
func endpointsWithAliases(site *fake.Site, draining int) (list []fake.Endpoint) {
	for i, endpoint := range site.Endpoints() {
		list = append(list, endpoint)
		if i%3 != 0 {
			continue
		}
		endpoint.Name += "-local"
		endpoint.Draining = i == draining
		list = append(list, endpoint)
	}
	return list
}

// Times of a drain. The router may send nothing more to the worker after the grace period.
const (
	drainPause       = 1500 * time.Millisecond
	drainDuration    = 3 * time.Second
	drainGracePeriod = time.Second
	// drainMargin is the time before the end of the load in which no further drain is scheduled. It is longer than
	// drainPause and drainDuration together.
	drainMargin = 5 * time.Second
)

// drainWorkers drains the workers that are listed twice under their aliases, one after the other, until the given time.
// It counts the messages sent to any address of a worker after its drain grace period. It blocks until the last drain
// has ended.
func (r *addressRun) drainWorkers(site *fake.Site, until time.Time) {
	for n := 0; time.Now().Add(drainMargin).Before(until); n++ {
		time.Sleep(drainPause)
		index := n * 3 % len(site.Workers)
		serial := site.Discovery.SetEndpoints(endpointsWithAliases(site, index))
		r.drains++
		time.Sleep(drainDuration)
		servedAt := site.Discovery.FirstServedAt(serial)
		end := time.Now()
		site.Discovery.SetEndpoints(endpointsWithAliases(site, noneDraining))
		if !servedAt.IsZero() {
			r.lateMessages += r.countArrivals(site.Workers[index], servedAt.Add(drainGracePeriod), end)
		}
	}
}

// countArrivals counts the requests and load commands that reached a worker between two times.
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

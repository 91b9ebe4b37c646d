package benchmark

import (
	"time"

	"crankhold/internal/fake"
)

// noDrain is given to listTwice where no worker drains.
const noneDraining = -1

// endpointsWithAliases lists every third worker a second time, with the same addresses under another name. The worker of an index
// drains under that second name.
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

// Times of a drain, and how long after it a router may still send.
const (
	drainPause       = 1500 * time.Millisecond
	drainDuration    = 3 * time.Second
	drainGracePeriod = time.Second
	// drainMargin is how long before the end the last drain begins.
	drainMargin = 5 * time.Second
)

// drainWorkers has workers that are listed twice drain under their second name, one after the other until a time. It
// counts what was sent to any address of theirs after the grace period, and blocks until the last drain is over.
func (r *addressRun) drainWorkers(site *fake.Site, until time.Time) {
	for n := 0; time.Now().Add(drainMargin).Before(until); n++ {
		time.Sleep(drainPause)
		index := n * 3 % len(site.Workers)
		serial := site.Discovery.Set(endpointsWithAliases(site, index))
		r.drains++
		time.Sleep(drainDuration)
		servedAt := site.Discovery.FirstServedAt(serial)
		end := time.Now()
		site.Discovery.Set(endpointsWithAliases(site, noneDraining))
		if !servedAt.IsZero() {
			r.lateSends += r.countArrivals(site.Workers[index], servedAt.Add(drainGracePeriod), end)
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

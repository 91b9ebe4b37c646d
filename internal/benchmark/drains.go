package benchmark

import (
	"time"

	"crankhold/internal/fake"
)

// noDrain is given to listTwice where no worker drains.
const noDrain = -1

// listTwice lists every third worker a second time, with the same addresses under another name. The worker of an index
// drains under that second name.
func listTwice(site *fake.Site, draining int) (list []fake.Endpoint) {
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

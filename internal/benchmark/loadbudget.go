package benchmark

import (
	"slices"
	"time"

	"crankhold/internal/fake"
)

// The load budget of the fake site's configuration, and what the platform adds to it for load commands in flight on
// sockets: a share and one load command.
const (
	loadBudgetWindow  = 10 * time.Second
	loadBudgetMinimum = 4
	loadBudgetRatio   = 0.3
	loadBudgetSlack   = 1.15
)

// loadCommandTimes returns when load commands came to workers.
func (r *record) loadCommandTimes() (times []time.Time) {
	for _, e := range r.events {
		if e.Kind == fake.EventLoadCommand {
			times = append(times, e.At)
		}
	}
	return times
}

// loadBudgetBreaches counts the load commands that exceed the budget, as the platform counts them. Both lists are in
// ascending order.
func loadBudgetBreaches(commands, requests []time.Time) (breaches int) {
	for _, at := range commands {
		budget := loadBudgetMinimum + loadBudgetRatio*float64(countInWindow(requests, at))
		if float64(countInWindow(commands, at)) > budget*loadBudgetSlack+1 {
			breaches++
		}
	}
	return breaches
}

// countInWindow returns how many of the times, which are in ascending order, are in the load budget's window that ends
// at a time, which it includes.
func countInWindow(times []time.Time, end time.Time) int {
	first, _ := slices.BinarySearchFunc(times, end.Add(-loadBudgetWindow), time.Time.Compare)
	beyond, _ := slices.BinarySearchFunc(times, end, func(t, end time.Time) int {
		if t.After(end) {
			return 1
		}
		return -1
	})
	return beyond - first
}

// loadCommandsBetween counts the load commands of a time.
func (r *record) loadCommandsBetween(from, to time.Time) (n int) {
	for _, at := range r.loadCommandTimes() {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

package benchmark

import (
	"slices"
	"time"

	"crankhold/internal/fake"
)

// The load budget in the fake site's configuration. For load commands in flight on sockets, the platform tolerates
// loadBudgetSlack times the budget, and one load command more.
const (
	loadBudgetWindow  = 10 * time.Second
	loadBudgetMinimum = 4
	loadBudgetRatio   = 0.3
	loadBudgetSlack   = 1.15
)

// loadCommandTimes returns the times at which load commands reached workers.
func (r *record) loadCommandTimes() (times []time.Time) {
	for _, e := range r.events {
		if e.Kind == fake.EventLoadCommand {
			times = append(times, e.At)
		}
	}
	return times
}

// loadBudgetBreaches counts the load commands that exceed the load budget, with the platform's tolerance. Both lists
// are in ascending order.
func loadBudgetBreaches(commands, requests []time.Time) (breaches int) {
	for _, at := range commands {
		budget := loadBudgetMinimum + loadBudgetRatio*float64(countInWindow(requests, at))
		if float64(countInWindow(commands, at)) > budget*loadBudgetSlack+1 {
			breaches++
		}
	}
	return breaches
}

// countInWindow returns how many of the times are in the load budget's window that ends at end. The window includes
// end. The times are in ascending order.
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

// loadCommandsBetween counts the load commands that reached workers between from (inclusive) and to (exclusive).
func (r *record) loadCommandsBetween(from, to time.Time) (n int) {
	for _, at := range r.loadCommandTimes() {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

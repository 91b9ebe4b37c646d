package simulation

import (
	"time"

	"crankhold/policy"
)

// Violations counts messages that a router sent and should not have.
type Violations struct {
	// SentAfterDrain counts requests and load commands that left for a worker after the drain grace period, which
	// begins when this router is notified that the worker drains.
	SentAfterDrain int
	// LoadsOverBudget counts load commands beyond the load budget.
	LoadsOverBudget int
}

// checkDrain counts a message that leaves now for a worker.
func (r *Router) checkDrain(id policy.WorkerID) {
	notified, draining := r.drainNotified[id]
	if draining && r.fleet.now > notified+r.fleet.cfg.Settings.DrainGracePeriod {
		r.Violations.SentAfterDrain++
	}
}

// loadBudget counts what one incarnation of a router accepted and commanded, independently of the decision module.
type loadBudget struct {
	accepted  []time.Duration
	commanded []time.Duration
}

func (b *loadBudget) requestAccepted(now time.Duration) {
	b.accepted = append(b.accepted, now)
}

// checkLoadBudget counts a load command that leaves now.
func (r *Router) checkLoadBudget() {
	settings := r.fleet.cfg.Settings
	r.budget.commanded = append(r.budget.commanded, r.fleet.now)
	since := r.fleet.now - settings.LoadBudgetWindow
	commanded := float64(countAfter(r.budget.commanded, since))
	accepted := float64(countAfter(r.budget.accepted, since))
	if commanded > settings.LoadBudgetMinimum+settings.LoadBudgetRatio*accepted {
		r.Violations.LoadsOverBudget++
	}
}

// countAfter returns how many of the times, which are in ascending order, are after a time.
func countAfter(times []time.Duration, after time.Duration) (n int) {
	for i := len(times) - 1; i >= 0 && times[i] > after; i-- {
		n++
	}
	return n
}

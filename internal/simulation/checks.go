package simulation

import (
	"time"

	"crankhold/policy"
)

// Violations counts messages that a router was not allowed to send.
type Violations struct {
	// SentAfterDrain counts requests and load commands that were sent to a worker after the drain grace period, which
	// starts when this router is notified that the worker is draining.
	SentAfterDrain int
	// LoadsOverBudget counts load commands that exceeded the load budget.
	LoadsOverBudget int
}

// checkDrain is called for each message that is sent to a worker. It counts a violation if the worker's drain grace
// period has passed.
func (r *Router) checkDrain(id policy.WorkerID) {
	notified, draining := r.drainNotified[id]
	if draining && r.fleet.now > notified+r.fleet.cfg.Settings.DrainGracePeriod {
		r.Violations.SentAfterDrain++
	}
}

// loadBudget records when one incarnation of a router accepted requests and sent load commands. It is independent of
// the decision module, so that it can check the module's own load budget.
type loadBudget struct {
	accepted     []time.Duration
	loadCommands []time.Duration
}

func (b *loadBudget) requestAccepted(now time.Duration) {
	b.accepted = append(b.accepted, now)
}

// checkLoadBudget records a load command that is sent now, and counts a violation if it exceeds the load budget.
func (r *Router) checkLoadBudget() {
	settings := r.fleet.cfg.Settings
	r.budget.loadCommands = append(r.budget.loadCommands, r.fleet.now)
	since := r.fleet.now - settings.LoadBudgetWindow
	loadCommands := float64(countAfter(r.budget.loadCommands, since))
	accepted := float64(countAfter(r.budget.accepted, since))
	if loadCommands > settings.LoadBudgetMinimum+settings.LoadBudgetRatio*accepted {
		r.Violations.LoadsOverBudget++
	}
}

// countAfter returns how many of the times are later than after. The times must be in ascending order.
func countAfter(times []time.Duration, after time.Duration) (n int) {
	for i := len(times) - 1; i >= 0 && times[i] > after; i-- {
		n++
	}
	return n
}

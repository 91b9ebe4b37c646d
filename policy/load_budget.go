package policy

import (
	"time"

	"crankhold/internal/stats"
)

// loadBudget counts requests and load commands over a sliding window, and limits the load commands by the
// number of requests.
//
// Invariant: the load commands in the window never exceed LoadBudgetMinimum plus LoadBudgetRatio times the
// requests in it. Canceled requests do not count.
type loadBudget struct {
	cfg      *Config
	arrivals stats.SlidingWindow
	commands stats.SlidingWindow
}

// recordArrival counts a request.
func (b *loadBudget) recordArrival(now time.Duration) { b.arrivals.Add(now, b.cfg.LoadBudgetWindow) }

// withdrawArrival removes a canceled request, given by its arrival time, from the count.
func (b *loadBudget) withdrawArrival(arrivedAt time.Duration) { b.arrivals.Remove(arrivedAt) }

// recordCommand counts a load command.
func (b *loadBudget) recordCommand(now time.Duration) { b.commands.Add(now, b.cfg.LoadBudgetWindow) }

// recentRequests returns the number of requests in the window.
func (b *loadBudget) recentRequests(now time.Duration) float64 {
	return float64(b.arrivals.CountSince(now - b.cfg.LoadBudgetWindow + 1))
}

// allowance returns the number of load commands that are allowed in the window now.
func (b *loadBudget) allowance(now time.Duration) float64 {
	return b.cfg.LoadBudgetMinimum + b.cfg.LoadBudgetRatio*b.recentRequests(now)
}

// bounded reports whether the settings limit load commands by a budget.
func (b *loadBudget) bounded() bool { return b.cfg.LoadBudgetWindow > 0 }

// allowsCommand reports whether a further load command is within the budget, and can be counted at its own
// time.
func (b *loadBudget) allowsCommand(now time.Duration) bool {
	return !b.bounded() || float64(b.recentCommands(now)+1) <= b.allowance(now) && !b.commands.IsFull()
}

// allowsQueuedCommand reports whether a load command that was counted when it was decided on may be sent now.
// Workers count it when it arrives, and by then the requests that allowed it may have left the window.
func (b *loadBudget) allowsQueuedCommand(now time.Duration) bool {
	return !b.bounded() || float64(b.recentCommands(now)) <= b.allowance(now)
}

func (b *loadBudget) recentCommands(now time.Duration) int {
	return b.commands.CountSince(now - b.cfg.LoadBudgetWindow)
}

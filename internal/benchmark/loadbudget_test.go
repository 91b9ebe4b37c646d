package benchmark

import (
	"testing"
	"time"
)

// Without requests, the load budget is four load commands. The tolerance for load commands in flight is 15 in 100 and
// one load command more. The sixth load command is therefore a breach, unless it comes after the window or there are
// enough requests.
func TestLoadCommandsBeyondTheBudgetAreBreaches(t *testing.T) {
	commands := func(n int, interval time.Duration) (times []time.Time) {
		for i := range n {
			times = append(times, start.Add(time.Duration(i)*interval))
		}
		return times
	}
	requests := make([]time.Time, 100)
	for i := range requests {
		requests[i] = start
	}
	for _, tt := range []struct {
		name     string
		commands []time.Time
		requests []time.Time
		want     int
	}{
		{"five at once", commands(5, 0), nil, 0},
		{"six at once", commands(6, 0), nil, 6},
		{"six in a window", commands(6, time.Second), nil, 1},
		{"six in more than a window", commands(6, 3*time.Second), nil, 0},
		{"six at once, with requests", commands(6, 0), requests, 0},
	} {
		t.Run(tt.name, func(t *testing.T) { expectEqual(t, loadBudgetBreaches(tt.commands, tt.requests), tt.want) })
	}
}

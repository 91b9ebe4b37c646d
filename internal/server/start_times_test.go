package server

import (
	"fmt"
	"testing"
	"time"

	"crankhold/internal/discovery"
	"crankhold/policy"
)

// A step of the wall clock changes no start time that is already known: a start time is compared with the wall clock
// when discovery first reports it, and kept on the monotonic clock. An impossible start time is limited by the last
// list without that worker.
func TestStartTimesSurviveClockSteps(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 10 * time.Second, -10 * time.Second} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			m := newTestMembership(t)
			wall := time.Now()
			now := m.loop.Now()
			m.starts = newStartTimes(func() time.Time { return wall }, now)
			known := listEntry(t, "s-1", policy.Ready, "127.0.0.1:1")
			known.Started = wall.Add(-3 * time.Second).UnixMilli()
			m.update([]discovery.Worker{known})
			m.listConfirmed()
			before := m.startTime(known).at
			if age := now - before; age < 2*time.Second || age > 4*time.Second {
				t.Fatalf("a worker that started 3 s ago counts as started %v ago", age)
			}
			wall = wall.Add(step)
			m.publish()
			if at := m.startTime(known).at; at != before {
				t.Errorf("the start time moved by %v", at-before)
			}
			// The clocks of discovery and of the workers may be stepped too, or not.
			for name, started := range map[string]time.Time{"stepped": wall.Add(-time.Second), "not stepped": wall.Add(-step - time.Second)} {
				fresh := listEntry(t, "s-"+name, policy.Ready, "127.0.0.1:2")
				fresh.Started = started.UnixMilli()
				m.update([]discovery.Worker{known, fresh})
				m.listConfirmed()
				if age := now - m.startTime(fresh).at; age < 0 || age > 5*time.Second {
					t.Errorf("%s: a worker that started a second ago counts as started %v ago", name, age)
				}
			}
		})
	}
}

package benchmark

import (
	"fmt"
	"io"
	"time"

	"crankhold/internal/fake"
)

// printPhases prints a row for each class and phase: before the pool's workers are killed, while they are down, and
// after they are restarted.
func (r *reloadRun) printPhases(out io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(out, "%-24s %8s %8s %8s %8s\n", "phase", "requests", "served", "rejected", "failed")
	for _, phase := range []struct {
		name string
		from time.Time
		to   time.Time
	}{
		{"before the kill", r.schedule.startedAt, r.schedule.poolKilledAt},
		{"while it is down", r.schedule.poolKilledAt.Add(time.Second), r.schedule.poolRestartedAt},
		{"after the restart", r.schedule.poolRestartedAt.Add(time.Second), r.schedule.endsAt},
	} {
		for _, class := range fake.Classes {
			t := r.tally(class.Name, phase.from, phase.to)
			fmt.Fprintf(out, "%-24s %8d %8d %8d %8d\n",
				phase.name+", "+class.Name[:3], t.sent, t.served, t.rejected, t.failed)
		}
	}
}

// secondsUntilRecovered returns how many seconds after the restart of the pool's workers at least 95 in 100 of the
// requests of class dim-level were served within one second. It returns -1 if that did not happen within a minute.
func (r *reloadRun) secondsUntilRecovered() int {
	for s := range 60 {
		from := r.schedule.poolRestartedAt.Add(time.Duration(s) * time.Second)
		t := r.tally(fake.DimLevel.Name, from, from.Add(time.Second))
		if t.sent > 0 && t.served*100 >= t.sent*95 {
			return s
		}
	}
	return -1
}

// overflowTolerance is the factor by which the overflow limit may be exceeded. The platform allows it for requests that
// are in flight.
const overflowTolerance = 1.02

// report adds the figures of the load to f.
func (r *reloadRun) report(f *figures) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.violations(fake.RepairOrder.Name)
	recoverySeconds := r.secondsUntilRecovered()
	f.require("seconds_until_95_in_100", recoverySeconds, recoverySeconds >= 0)
	f.add("requests", len(r.requests))
	f.require("reloads", r.reloads, r.reloads > 0)
	f.requireZero("lost", v.lost)
	f.requireZero("late", v.late)
	f.requireZero("extra_answers", r.unmatchedResponses)
	f.add("not_idempotent", v.notIdempotent)
	f.requireZero("doubled", v.ranTwice)
	f.requireZero("outside_pool", r.watch.outsidePool)
	f.requireZero("ration_breaches", v.loadBudgetBreaches)
	f.requireZero("over_cap", r.watch.overCap)
	peak := r.watch.maxInFlight
	f.require("peak_of_cap", fmt.Sprintf("%d/%d", peak, routesACap), peak <= routesACap && peak >= routesBCap)
	overflows := len(r.watch.overflowed)
	share := r.watch.maxOverflowShare(r.record)
	f.require("overflows", overflows, overflows > 0)
	f.require("spill_share_max", share, share <= overflowLimit*overflowTolerance)
	restarted := r.schedule.poolRestartedAt
	f.add("loads_in_10s_after_return", r.loadCommandsBetween(restarted, restarted.Add(10*time.Second)))
	f.add("p99_ms", r.latencyPercentile(0.99))
}

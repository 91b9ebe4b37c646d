package server

import (
	"log/slog"

	"crankhold/internal/discovery"
	"crankhold/internal/router"
	"crankhold/internal/workerclient"
	"crankhold/policy"
)

// printCounters logs what was taken, sent and answered.
func printCounters(core *router.Core, pool *workerclient.Pool, d *discovery.Client, h *hooks) {
	n := &core.Count
	for f, name := range []string{"thrift", "webhook"} {
		slog.Info("counters", "front", name, "taken", n.Taken[f], "served", n.Served[f], "refused", n.Refused[f], "failed", n.Failed[f],
			"left", n.Left[f], "turned_away", n.Turned[f], "unrouted", n.Unrouted[f])
	}
	slog.Info("counters", append([]any{"sent", n.Sent, "overdue", n.Overdue}, byOutcome(n.Ended)...)...)
	slog.Info("counters", append([]any{"orders", n.Orders, "unloads", n.Unloads}, byOutcome(n.OrderEnded)...)...)
	slog.Info("counters", append([]any{"probes", n.Probes}, byOutcome(n.ProbeEnded)...)...)
	k := pool.Count
	slog.Info("counters", "dials", k.Dials, "dials_failed", k.DialsFailed, "trials", k.Trials, "trials_failed", k.TrialsFailed, "moved", k.Moved, "pings", k.Pings)
	if t := core.Routes(); t != nil {
		for _, p := range t.Pools() {
			slog.Info("counters", "pool", p.Spec.Name, "workers", p.Size(), "calls", p.Calls, "in_flight", p.InFlight(), "peak", p.Peak(),
				"spilled", p.Spills, "spill_denied", p.Turned, "orders", p.Loads)
		}
	}
	h.print()
	slog.Info("counters", "directory_asked", d.Asked, "directory_heard", d.Heard)
}

// byOutcome lists the outcomes that occurred.
func byOutcome(counts [policy.NotLoaded + 1]uint64) (pairs []any) {
	for o, name := range []string{"served", "errored", "full", "timed_out", "unreachable", "reset", "cancelled", "moot", "missed"} {
		if counts[o] > 0 {
			pairs = append(pairs, name, counts[o])
		}
	}
	return pairs
}

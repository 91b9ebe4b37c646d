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
	n := &core.Counters
	for f, name := range []string{"thrift", "webhook"} {
		slog.Info("counters_reported", "front", name, "taken", n.Accepted[f], "served", n.Served[f], "refused", n.Rejected[f], "failed", n.Failed[f],
			"left", n.Canceled[f], "turned_away", n.RejectedUnaccepted[f], "unrouted", n.RejectedUnrouted[f])
	}
	slog.Info("counters_reported", append([]any{"sent", n.AttemptsStarted, "overdue", n.DeadlineExceeded}, byOutcome(n.AttemptsByOutcome)...)...)
	slog.Info("counters_reported", append([]any{"orders", n.LoadsOrdered, "unloads", n.Unloads}, byOutcome(n.LoadsByOutcome)...)...)
	slog.Info("counters_reported", append([]any{"probes", n.HealthChecks}, byOutcome(n.HealthChecksByOutcome)...)...)
	k := pool.Counters
	slog.Info("counters_reported", "dials", k.Dials, "dials_failed", k.DialsFailed, "trials", k.RecoveryDials, "trials_failed", k.RecoveryDialsFailed, "moved", k.CallsResent, "pings", k.Pings)
	if t := core.Routes(); t != nil {
		for _, p := range t.Pools() {
			slog.Info("counters_reported", "pool", p.Spec.Name, "workers", p.Size(), "calls", p.Requests, "in_flight", p.InFlight(), "peak", p.Peak(),
				"spilled", p.Overflows, "spill_denied", p.CapacityExceeded, "orders", p.Loads)
		}
	}
	h.print()
	slog.Info("counters_reported", "directory_asked", d.QueriesSent, "directory_heard", d.ResponsesRead)
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

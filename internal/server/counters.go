package server

import (
	"context"
	"log/slog"

	"crankhold/internal/router"
	"crankhold/policy"
)

// frontNames are the values of the attribute front, in the order of router.Front.
var frontNames = [...]string{router.Thrift: "thrift", router.Webhook: "webhook"}

// outcomeNames are the attributes under which attempts, loads and health checks are counted by outcome. Operators'
// queries rest on them, so they stay as they are when outcomes are renamed in the code.
var outcomeNames = [...]string{
	policy.Served:          "served",
	policy.Failed:          "errored",
	policy.Overloaded:      "full",
	policy.TimedOut:        "timed_out",
	policy.Unreachable:     "unreachable",
	policy.ConnectionReset: "reset",
	policy.Canceled:        "cancelled",
	policy.NotSent:         "moot",
	policy.NotLoaded:       "missed",
}

// logCounters logs what was accepted, forwarded and answered since the start.
func (s *Server) logCounters() {
	s.logRequestCounters()
	s.logWorkerCounters()
	s.logPoolCounters()
	s.integrations.logCounters()
	logCounterLine(slog.Uint64("directory_asked", s.discovery.QueriesSent), slog.Uint64("directory_heard", s.discovery.ResponsesRead))
}

// logCounterLine logs one line of counters.
func logCounterLine(attributes ...slog.Attr) {
	slog.LogAttrs(context.Background(), slog.LevelInfo, "counters_reported", attributes...)
}

// logRequestCounters logs one line for each front.
func (s *Server) logRequestCounters() {
	counters := &s.core.Counters
	for front, name := range frontNames {
		logCounterLine(
			slog.String("front", name),
			slog.Uint64("taken", counters.Accepted[front]),
			slog.Uint64("served", counters.Served[front]),
			slog.Uint64("refused", counters.Rejected[front]),
			slog.Uint64("failed", counters.Failed[front]),
			slog.Uint64("left", counters.Canceled[front]),
			slog.Uint64("turned_away", counters.RejectedUnaccepted[front]),
			slog.Uint64("unrouted", counters.RejectedUnrouted[front]))
	}
}

// logWorkerCounters logs what went to the workers, and what became of the connections to them.
func (s *Server) logWorkerCounters() {
	counters := &s.core.Counters
	attempts := []slog.Attr{slog.Uint64("sent", counters.AttemptsStarted), slog.Uint64("overdue", counters.DeadlineExceeded)}
	logCounterLine(append(attempts, outcomeAttributes(counters.AttemptsByOutcome)...)...)
	loads := []slog.Attr{slog.Uint64("orders", counters.LoadsSent), slog.Uint64("unloads", counters.Unloads)}
	logCounterLine(append(loads, outcomeAttributes(counters.LoadsByOutcome)...)...)
	healthChecks := []slog.Attr{slog.Uint64("probes", counters.HealthChecks)}
	logCounterLine(append(healthChecks, outcomeAttributes(counters.HealthChecksByOutcome)...)...)

	connections := s.workers.Counters
	logCounterLine(
		slog.Uint64("dials", connections.Dials),
		slog.Uint64("dials_failed", connections.DialsFailed),
		slog.Uint64("trials", connections.RecoveryDials),
		slog.Uint64("trials_failed", connections.RecoveryDialsFailed),
		slog.Uint64("moved", connections.RequestsResent),
		slog.Uint64("pings", connections.Pings))
}

// logPoolCounters logs one line for each pool of the routes in force.
func (s *Server) logPoolCounters() {
	table := s.core.Routes()
	if table == nil {
		return
	}
	for _, pool := range table.Pools() {
		logCounterLine(
			slog.String("pool", pool.Spec.Name),
			slog.Int("workers", pool.Size()),
			slog.Uint64("calls", pool.Requests),
			slog.Int("in_flight", pool.InFlight()),
			slog.Int("peak", pool.Peak()),
			slog.Uint64("spilled", pool.Overflows),
			slog.Uint64("spill_denied", pool.CapacityExceeded),
			slog.Uint64("orders", pool.Loads))
	}
}

// outcomeAttributes returns a count for each outcome that occurred.
func outcomeAttributes(counts [policy.NotLoaded + 1]uint64) []slog.Attr {
	var attributes []slog.Attr
	for outcome, name := range outcomeNames {
		if counts[outcome] > 0 {
			attributes = append(attributes, slog.Uint64(name, counts[outcome]))
		}
	}
	return attributes
}

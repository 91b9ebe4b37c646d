package server

import (
	"context"
	"log/slog"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/internal/workerclient"
	"crankhold/policy"
)

// frontNames holds the values of the log attribute front, indexed by router.Front.
var frontNames = [...]string{router.Thrift: "thrift", router.Webhook: "webhook"}

// logCounters logs the counters of requests, workers, pools, the event loop, the integrations and discovery since the
// start.
func (s *Server) logCounters() {
	s.logRequestCounters()
	s.logWorkerCounters()
	s.logTableCounters()
	s.logPoolCounters()
	s.logLoopCounters()
	s.integrations.logCounters()
	logCounterLine(s.logger,
		slog.Uint64("discovery_queries", s.discovery.QueriesSent),
		slog.Uint64("discovery_responses", s.discovery.ResponsesRead))
}

// logCounterLine logs one line of counters.
func logCounterLine(logger *slog.Logger, attributes ...slog.Attr) {
	logger.LogAttrs(context.Background(), slog.LevelInfo, "counters_reported", attributes...)
}

// logRequestCounters logs one line of request counters for each front.
func (s *Server) logRequestCounters() {
	counters := &s.core.Counters
	for front, name := range frontNames {
		logCounterLine(s.logger,
			slog.String("front", name),
			slog.Uint64("accepted", counters.Accepted[front]),
			slog.Uint64("served", counters.Served[front]),
			slog.Uint64("rejected", counters.Rejected[front]),
			slog.Uint64("failed", counters.Failed[front]),
			slog.Uint64("canceled", counters.Canceled[front]),
			slog.Uint64("rejected_at_capacity", counters.RejectedAtCapacity[front]),
			slog.Uint64("rejected_unrouted", counters.RejectedUnrouted[front]))
	}
}

// logWorkerCounters logs the counters of attempts, load commands and health checks with their outcomes, and those of
// the connections to workers.
func (s *Server) logWorkerCounters() {
	counters := &s.core.Counters
	attempts := []slog.Attr{
		slog.Uint64("attempts_sent", counters.AttemptsStarted),
		slog.Uint64("deadline_exceeded", counters.DeadlineExceeded),
	}
	logCounterLine(s.logger, append(attempts, outcomeAttributes(counters.AttemptsByOutcome)...)...)
	loads := []slog.Attr{slog.Uint64("loads_sent", counters.LoadsSent), slog.Uint64("unloads", counters.Unloads)}
	logCounterLine(s.logger, append(loads, outcomeAttributes(counters.LoadsByOutcome)...)...)
	healthChecks := []slog.Attr{slog.Uint64("health_checks", counters.HealthChecks)}
	logCounterLine(s.logger, append(healthChecks, outcomeAttributes(counters.HealthChecksByOutcome)...)...)

	connections := s.workers.Counters
	logCounterLine(s.logger,
		slog.Uint64("dials", connections.Dials),
		slog.Uint64("dials_failed", connections.DialsFailed),
		slog.Uint64("recovery_dials", connections.RecoveryDials),
		slog.Uint64("recovery_dials_failed", connections.RecoveryDialsFailed),
		slog.Uint64("resent", connections.RequestsResent),
		slog.Uint64("pings", connections.Pings),
		slog.Uint64("former_process_connections", connections.FormerProcessConnections))
	s.logMalformedResponses()
	s.reloader.membership.unknown.logCounters()
}

// logMalformedResponses logs one line for each violation of the protocol for which a connection to a worker was closed.
func (s *Server) logMalformedResponses() {
	for violation, count := range s.workers.Counters.MalformedResponses {
		if count == 0 {
			continue
		}
		logCounterLine(s.logger,
			slog.String("malformed_response", workerclient.Violation(violation).String()),
			slog.Uint64("connections", count))
	}
}

// logLoopCounters logs the counters of the event loop, and one line for each cause for which client connections were
// closed.
func (s *Server) logLoopCounters() {
	counters := s.loop.Counters()
	logCounterLine(s.logger,
		slog.Uint64("turns", counters.Turns),
		slog.Int64("longest_turn_us", counters.LongestTurn.Microseconds()),
		slog.Int64("longest_wait_us", counters.LongestWait.Microseconds()),
		slog.Uint64("poller_calls", counters.PollerCalls))
	for cause, count := range counters.Closes {
		if count.Connections == 0 {
			continue
		}
		logCounterLine(s.logger,
			slog.String("ended_by", eventloop.CloseCause(cause).String()),
			slog.Uint64("connections", count.Connections),
			slog.Uint64("response_due", count.ResponseDue))
	}
}

// logTableCounters logs how full the tables of the decision module and of the core are.
func (s *Server) logTableCounters() {
	counters := s.core.TableCounters()
	spentIDs, spentIDsEvicted := s.core.SpentIDs()
	logCounterLine(s.logger,
		slog.Int("functions", counters.Functions),
		slog.Uint64("functions_evicted", counters.FunctionsEvicted),
		slog.Int("replicas", counters.Replicas),
		slog.Uint64("replicas_evicted", counters.ReplicasEvicted),
		slog.Int("spent_ids", spentIDs),
		slog.Uint64("spent_ids_evicted", spentIDsEvicted))
}

// logPoolCounters logs one line for each pool of the routes in force.
func (s *Server) logPoolCounters() {
	table := s.core.Routes()
	if table == nil {
		return
	}
	for _, pool := range table.Pools() {
		logCounterLine(s.logger,
			slog.String("pool", pool.Spec.Name),
			slog.Int("workers", pool.Size()),
			slog.Uint64("requests", pool.Requests),
			slog.Int("in_flight", pool.InFlight()),
			slog.Int("peak", pool.Peak()),
			slog.Uint64("overflows", pool.Overflows),
			slog.Uint64("overflows_denied", pool.OverflowsDenied),
			slog.Uint64("loads_sent", pool.Loads))
	}
}

// outcomeAttributes returns one attribute for each outcome that occurred: its name and its count.
func outcomeAttributes(counts [policy.OutcomeCount]uint64) []slog.Attr {
	var attributes []slog.Attr
	for outcome, count := range counts {
		if count > 0 {
			attributes = append(attributes, slog.Uint64(policy.Outcome(outcome).String(), count))
		}
	}
	return attributes
}

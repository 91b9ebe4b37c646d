package workerclient

import (
	"time"

	"crankhold/policy"
)

// maxHealthCheckResends is how often a health check is sent again after its connection was reset.
const maxHealthCheckResends = 2

// healthCheckCommand is an INFO: it asks whether a worker responds, and for its load report.
type healthCheckCommand struct {
	commandID uint64 // chosen by the decision module
	resets    int    // connections that were reset while it was in flight
}

func (h *healthCheckCommand) checkBeforeWrite(time.Duration, bool, ResultHandler) (policy.Outcome, bool) {
	return policy.NotSent, false
}

func (h *healthCheckCommand) encode(id string, _ time.Duration) [][]byte {
	return [][]byte{encodeInfo(id)}
}

func (h *healthCheckCommand) isHealthQuery() bool { return true }

// keepOnDrain keeps the health check queued, because draining workers are checked as well.
func (h *healthCheckCommand) keepOnDrain() (policy.Outcome, bool) { return policy.NotSent, true }

// retryAfterReset allows a few resets before the worker counts as failed: one broken connection proves little, because
// others may still work. If the check is sent over a new connection, a worker that has died refuses the connection, and
// one that is healthy responds.
func (h *healthCheckCommand) retryAfterReset() bool {
	if h.resets >= maxHealthCheckResends {
		return false
	}
	h.resets++
	return true
}

func (h *healthCheckCommand) fail(results ResultHandler, outcome policy.Outcome) {
	results.HealthCheckCompleted(h.commandID, outcome, nil)
}

func (h *healthCheckCommand) complete(c *connection, r response) {
	report := r.fields.loadReport(c.pool.cfg.ReportFields)
	c.pool.results.HealthCheckCompleted(h.commandID, outcomeByStatus[r.status], report)
}

// pingCommand is a NOOP: a keepalive ping, which a connection sends by itself. It has no result: only the arrival of a
// response matters.
type pingCommand struct{}

func (pingCommand) checkBeforeWrite(time.Duration, bool, ResultHandler) (policy.Outcome, bool) {
	return policy.NotSent, false
}

func (pingCommand) encode(id string, _ time.Duration) [][]byte { return [][]byte{encodeNoop(id)} }

func (pingCommand) isHealthQuery() bool { return true }

func (pingCommand) keepOnDrain() (policy.Outcome, bool) { return policy.Unreachable, false }

func (pingCommand) retryAfterReset() bool { return false }

func (pingCommand) fail(ResultHandler, policy.Outcome) {}

func (pingCommand) complete(*connection, response) {}

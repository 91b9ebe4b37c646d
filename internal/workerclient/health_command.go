package workerclient

import (
	"time"

	"crankhold/policy"
)

// maxHealthCheckResends is how often a health check is sent again after its connection ended.
const maxHealthCheckResends = 2

// healthCheckCommand is an INFO: it asks whether a worker responds, and for its load report.
type healthCheckCommand struct {
	commandID uint64 // of the decision module
	resets    int    // that were reset under it
}

func (h *healthCheckCommand) checkBeforeWrite(time.Duration, bool, ResultHandler) (policy.Outcome, bool) {
	return policy.NotSent, false
}

func (h *healthCheckCommand) encode(id string, _ time.Duration) [][]byte {
	return [][]byte{encodeInfo(id)}
}

func (h *healthCheckCommand) isHealthQuery() bool { return true }

// keepOnDrain keeps the health check: workers that drain are checked as well.
func (h *healthCheckCommand) keepOnDrain() (policy.Outcome, bool) { return policy.NotSent, true }

// retryAfterReset lets a few connections be reset before the worker counts as failed: one that breaks proves little,
// since others may well be in use. Over a new one a worker that died refuses, and one that is well responds.
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

// pingCommand is a NOOP: a keepalive ping that a connection sends on its own account. It has no result: that a response
// arrived is all that counts.
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

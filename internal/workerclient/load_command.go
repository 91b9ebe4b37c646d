package workerclient

import (
	"time"

	"crankhold/policy"
)

// loadCommand is a HOLD: it has a worker load replicas of a function, or asks how many there are.
type loadCommand struct {
	commandID uint64 // of the decision module
	function  policy.FunctionID
	replicas  int // to load; 0 only asks
}

// checkBeforeWrite ends a load that waited for a connection while the budget of loads was used up. One that is sent at once
// has just been decided on.
func (l *loadCommand) checkBeforeWrite(_ time.Duration, waited bool, results ResultHandler) (policy.Outcome, bool) {
	return policy.Overloaded, l.replicas > 0 && waited && !results.MaySendLoad(l.commandID)
}

func (l *loadCommand) encode(id string, _ time.Duration) [][]byte {
	return [][]byte{encodeHold(id, l.function, l.replicas)}
}

func (l *loadCommand) isHealthQuery() bool { return false }

// keepOnDrain ends the load as a draining worker would have responded.
func (l *loadCommand) keepOnDrain() (policy.Outcome, bool) { return policy.Overloaded, false }

func (l *loadCommand) retryAfterReset() bool { return false }

func (l *loadCommand) fail(results ResultHandler, outcome policy.Outcome) {
	results.LoadCompleted(l.commandID, outcome, 0)
}

func (l *loadCommand) complete(c *connection, r response) {
	c.pool.results.LoadCompleted(l.commandID, outcomeByStatus[r.status], r.fields.replicas())
}

package workerclient

import (
	"time"

	"crankhold/policy"
)

// loadCommand is a HOLD: it makes a worker load replicas of a function, or asks how many are loaded.
type loadCommand struct {
	commandID uint64 // chosen by the decision module
	function  policy.FunctionID
	replicas  int // to load; 0 asks how many are loaded
}

// checkBeforeWrite rejects a load that waited for a connection if the load budget was used up in the meantime. A load
// that did not wait has just been decided on and is not checked again.
func (l *loadCommand) checkBeforeWrite(_ time.Duration, waited bool, results ResultHandler) (policy.Outcome, bool) {
	return policy.Overloaded, l.replicas > 0 && waited && !results.MaySendLoad(l.commandID)
}

func (l *loadCommand) encode(id string, _ time.Duration) [][]byte {
	return [][]byte{encodeHold(id, l.function, l.replicas)}
}

func (l *loadCommand) isHealthQuery() bool { return false }

// keepOnDrain completes the load with the outcome that a response of a draining worker would give.
func (l *loadCommand) keepOnDrain() (policy.Outcome, bool) { return policy.Overloaded, false }

func (l *loadCommand) retryAfterReset() bool { return false }

func (l *loadCommand) fail(results ResultHandler, outcome policy.Outcome) {
	results.LoadCompleted(l.commandID, outcome, 0)
}

func (l *loadCommand) complete(c *connection, r response) {
	c.pool.results.LoadCompleted(l.commandID, outcomeByStatus[r.status], r.fields.replicas())
}

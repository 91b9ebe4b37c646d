package workerclient

import (
	"cmp"
	"slices"
	"time"

	"crankhold/policy"
)

// command is a message to a worker that awaits a response. kind determines what it asks of the worker, and sendState
// records how far it has been sent. A command belongs to at most one connection at a time.
type command struct {
	id        string // on the wire; the response carries the same id
	kind      commandKind
	sendState sendState
}

// sendState records how far a command has been sent to its worker.
type sendState struct {
	connection *connection   // the latest one that the command was given to; nil before the first
	waited     bool          // the command has waited for a connection at least once
	written    bool          // the command was written to connection
	sentAt     time.Duration // when it was written
	endOffset  int           // bytes written to connection up to the end of the command
	canceled   bool          // nobody waits for its result, so it is not sent again
	resends    int           // connections that ended before the command was sent whole
}

// commandKind is the behavior in which kinds of commands differ. Each kind holds the data that only it needs. The kinds
// are requestCommand, loadCommand, healthCheckCommand and pingCommand.
type commandKind interface {
	// checkBeforeWrite reports whether the command is rejected because it may no longer be written, and the outcome
	// with which it then completes. waited is whether the command has waited for a connection.
	checkBeforeWrite(now time.Duration, waited bool, results ResultHandler) (outcome policy.Outcome, rejected bool)
	// encode returns the encoded command as buffers, which are written one after the other.
	encode(id string, now time.Duration) [][]byte
	// isHealthQuery reports whether the command only queries the worker's health, so that it may be sent twice.
	isHealthQuery() bool
	// keepOnDrain reports whether the command stays queued when its worker stops accepting new commands. If not, the
	// command completes with outcome.
	keepOnDrain() (outcome policy.Outcome, keep bool)
	// retryAfterReset reports whether the command is sent again after its connection was reset, although it may have
	// arrived. It counts these resets.
	retryAfterReset() bool
	// fail reports outcome as the result of a command that got no response.
	fail(results ResultHandler, outcome policy.Outcome)
	// complete reports the result that the response r gives, which arrived on c. r is passed by value so that it need
	// not be allocated.
	complete(c *connection, r response)
}

// request returns the data of a command that is a request, and nil for any other.
func (cmd *command) request() *requestCommand {
	request, _ := cmd.kind.(*requestCommand)
	return request
}

// dialBudget returns how long a dial for the command may take, or 0 if there is no limit.
func (cmd *command) dialBudget(now time.Duration) time.Duration {
	request := cmd.request()
	if request == nil {
		return 0
	}
	return max(request.deadline-now, 0)
}

// neverArrived reports whether the worker certainly did not receive the whole command, given that at most the first
// bytesSent bytes written to its connection can have arrived. A worker acts only on a command that has arrived whole.
// Health queries are excluded because they may be sent twice.
func (cmd *command) neverArrived(bytesSent int) bool {
	return !cmd.kind.isHealthQuery() && cmd.sendState.written && cmd.sendState.endOffset > bytesSent
}

// mayBeResent reports whether a command that never arrived may be sent over another connection.
func (cmd *command) mayBeResent() bool {
	return !cmd.sendState.canceled && cmd.sendState.resends < maxResends
}

// sortByID puts commands in a fixed order, because equal runs must pass equal events to the decision module.
func sortByID(commands []*command) {
	slices.SortFunc(commands, func(a, b *command) int { return cmp.Compare(a.id, b.id) })
}

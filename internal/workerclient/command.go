package workerclient

import (
	"cmp"
	"slices"
	"time"

	"crankhold/policy"
)

// command is a message to a worker that awaits a response. Its kind says what it asks of the worker, delivery how far
// it has come. A command belongs to at most one connection at a time.
type command struct {
	id        string // on the wire; the response names it
	kind      commandKind
	sendState sendState
}

// sendState is how far a command has come on its way to its worker.
type sendState struct {
	connection *connection   // the latest; nil before the first
	waited     bool          // for a connection
	written    bool          // to connection
	sentAt     time.Duration // when it was written
	endOffset  int           // of its last byte in what was written to connection, in bytes
	canceled   bool          // nobody waits for its result, so it is not sent again
	resends    int           // connections that ended before it had left whole
}

// commandKind is what the kinds of commands do in different ways. Each kind keeps the data that it alone needs:
// requestCommand, loadCommand, healthCheckCommand and pingCommand.
type commandKind interface {
	// mayNotSend reports whether the command may not be written any more, and the outcome with which it ends then.
	checkBeforeWrite(now time.Duration, waited bool, results ResultHandler) (outcome policy.Outcome, rejected bool)
	// encode returns the bytes of a command as buffers that are written one after the other.
	encode(id string, now time.Duration) [][]byte
	// isHealthQuery reports whether the command asks how the worker is, and nothing that it may do only once.
	isHealthQuery() bool
	// outlivesDrain reports whether the command stays queued when its worker takes nothing new any more. Otherwise it
	// ends with the outcome.
	keepOnDrain() (outcome policy.Outcome, keep bool)
	// retryAfterReset reports whether the command goes over another connection after its own has been reset, although
	// it may have arrived, and counts that.
	retryAfterReset() bool
	// fail hands over a result that no response gave.
	fail(results ResultHandler, outcome policy.Outcome)
	// complete hands over the result that a response on a connection gives. The response is passed by value, so that it
	// need not be allocated.
	complete(c *connection, r response)
}

// request returns the data of a command that is a request, and nil for any other.
func (cmd *command) request() *requestCommand {
	request, _ := cmd.kind.(*requestCommand)
	return request
}

// dialBudget is the time that a dial for the command may take, 0 for one that sets no limit.
func (cmd *command) dialBudget(now time.Duration) time.Duration {
	request := cmd.request()
	if request == nil {
		return 0
	}
	return max(request.deadline-now, 0)
}

// neverArrived reports whether the command certainly did not reach its worker, of whose connection the first arrivable
// bytes may have arrived: a worker acts on a command that arrived whole. Health queries are left out, since they may
// be sent twice.
func (cmd *command) neverArrived(bytesSent int) bool {
	return !cmd.kind.isHealthQuery() && cmd.sendState.written && cmd.sendState.endOffset > bytesSent
}

// mayBeResent reports whether a command that never arrived may go over a further connection.
func (cmd *command) mayBeResent() bool {
	return !cmd.sendState.canceled && cmd.sendState.resends < maxResends
}

// sortByID gives commands a fixed order: equal runs must hand the decision module equal events.
func sortByID(commands []*command) {
	slices.SortFunc(commands, func(a, b *command) int { return cmp.Compare(a.id, b.id) })
}

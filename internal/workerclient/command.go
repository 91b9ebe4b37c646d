package workerclient

import (
	"cmp"
	"slices"
	"time"

	"crankhold/internal/router"
)

// commandKind is what a command asks of its worker.
type commandKind uint8

const (
	runCommand         commandKind = iota // RUN: a request
	loadCommand                           // HOLD: an order to load
	healthCheckCommand                    // INFO
	pingCommand                           // NOOP: a connection's own, whose result nobody else receives
)

// String returns the kind's name.
func (k commandKind) String() string {
	return [...]string{"run", "load", "health check", "ping"}[k]
}

// isHealthQuery reports whether the command asks how the worker is, and nothing that it may do only once.
func (k commandKind) isHealthQuery() bool { return k == healthCheckCommand || k == pingCommand }

// command is one that awaits its response.
type command struct {
	kind    commandKind
	attempt router.Attempt // runCommand
	tag     uint64         // loadCommand, healthCheckCommand: by which the result is told
	count   int            // loadCommand: replicas to load; 0 only asks
	id      string         // on the wire
	header  []byte         // all of the command but the body; of a RUN from when it is written on
	run     *runParameters // runCommand: what header is made of
	body    []byte         // runCommand
	expires time.Duration  // runCommand: when the time that the request has left is over
	sendBy  time.Duration  // runCommand: it is not written later

	conn            *connection
	waited          bool // for a connection
	written         bool
	sentAt          time.Duration
	endOffset       int  // of its last byte in what was written to conn
	abandoned       bool // nobody waits for its result, so it is not sent again
	resends         int  // connections that ended before it had left whole
	lostConnections int  // healthCheckCommand: connections that ended under it
}

// sortByID gives commands a fixed order: equal runs must hand the decision module equal events.
func sortByID(commands []*command) {
	slices.SortFunc(commands, func(a, b *command) int { return cmp.Compare(a.id, b.id) })
}

// dialBudget is the time that a dial for the command may take, 0 for one that sets no limit.
func (c *command) dialBudget(now time.Duration) time.Duration {
	if c.kind != runCommand {
		return 0
	}
	return max(c.expires-now, 0)
}

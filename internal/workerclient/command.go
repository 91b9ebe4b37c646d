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
	id      string         // on the wire
	header  []byte         // all of the command but the body of a RUN
	body    []byte         // runCommand
	budget  time.Duration  // runCommand: the time that the request has left

	conn            *conn
	written         bool
	sentAt          time.Duration
	endOffset       int // of its last byte in what was written to conn
	resends         int // connections that ended before it had left whole
	lostConnections int // healthCheckCommand: connections that ended under it
}

// sortByID gives commands a fixed order: equal runs must hand the decision module equal events.
func sortByID(commands []*command) {
	slices.SortFunc(commands, func(a, b *command) int { return cmp.Compare(a.id, b.id) })
}

package eventloop

import "time"

// EndCause is what ended an accepted connection.
type EndCause uint8

// What ends an accepted connection.
const (
	ClosedByPeer       EndCause = iota // the peer closed or reset it
	ClosedByHandler                    // its handler closed it, as a rule for a message that it can't use
	ClosedForCapacity                  // it was idle, and its slot was needed
	ClosedForTimeout                   // it was idle for too long, or its peer read or wrote too slowly
	ClosedForShutdown                  // it was at rest after CloseClients
	ClosedAfterFailure                 // a write failed, or all peers together left too much unread
	closeCauses
)

// String returns the cause as a word for logs.
func (e EndCause) String() string {
	names := [closeCauses]string{"peer", "handler", "room", "timeout", "shutdown", "failure"}
	if e >= closeCauses {
		return "unknown"
	}
	return names[e]
}

// CloseCount counts ends of accepted connections by one cause.
type CloseCount struct {
	Connections uint64
	ResponseDue uint64 // of Connections: those on which a response was due, or had yet to leave
}

// Counters counts what the loop and its poller did since the start. They tell a loop that is held up from one that
// spins: the first has long turns, the second has far more calls of the poller than messages.
type Counters struct {
	Turns       uint64
	LongestTurn time.Duration // since Loop.Counters was last called
	PollerCalls uint64        // calls of the poller for a socket that can be read
	Ends        [closeCauses]CloseCount
}

// countTurn counts a turn that took so long.
func (c *Counters) countTurn(took time.Duration) {
	c.Turns++
	c.LongestTurn = max(c.LongestTurn, took)
}

// connectionClosed counts the end of an accepted connection.
func (c *Counters) connectionClosed(conn *Conn) {
	count := &c.Ends[conn.state.cause]
	count.Connections++
	if conn.handler != nil && conn.isBusy() || conn.UnsentBytes() > 0 {
		count.ResponseDue++
	}
}

// Counters returns the counters. It begins a new search for the longest turn.
func (l *Loop) Counters() Counters {
	counters := l.counters
	counters.PollerCalls = l.poller.calls.Load()
	l.counters.LongestTurn = 0
	return counters
}

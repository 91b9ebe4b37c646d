package eventloop

import "time"

// EndCause is what ended an accepted connection.
type EndCause uint8

// What ends an accepted connection.
const (
	EndedByPeer       EndCause = iota // the peer closed or reset it
	EndedByHandler                    // its handler closed it, as a rule for a message that it can't use
	EndedForRoom                      // it was idle, and its slot was needed
	EndedForTimeout                   // it was idle for too long, or its peer read or wrote too slowly
	EndedForShutdown                  // it was at rest after CloseClients
	EndedAfterFailure                 // a write failed, or all peers together left too much unread
	endCauses
)

// String returns the cause as a word for logs.
func (e EndCause) String() string {
	names := [endCauses]string{"peer", "handler", "room", "timeout", "shutdown", "failure"}
	if e >= endCauses {
		return "unknown"
	}
	return names[e]
}

// EndCount counts ends of accepted connections by one cause.
type EndCount struct {
	Connections uint64
	ResponseDue uint64 // of Connections: those on which a response was due, or had yet to leave
}

// Counters counts what the loop and its poller did since the start. They tell a loop that is held up from one that
// spins: the first has long turns, the second has far more calls of the poller than messages.
type Counters struct {
	Turns       uint64
	LongestTurn time.Duration // since Loop.Counters was last called
	PollerCalls uint64        // calls of the poller for a socket that can be read
	Ends        [endCauses]EndCount
}

// turnEnded counts a turn that took so long.
func (c *Counters) turnEnded(took time.Duration) {
	c.Turns++
	c.LongestTurn = max(c.LongestTurn, took)
}

// connectionEnded counts the end of an accepted connection.
func (c *Counters) connectionEnded(conn *Conn) {
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

package eventloop

import "time"

// CloseCause is the reason why an accepted connection was closed.
type CloseCause uint8

// Reasons why accepted connections are closed.
const (
	ClosedByPeer       CloseCause = iota // the peer closed or reset it
	ClosedByHandler                      // its handler closed it, usually because of an invalid message
	ClosedForCapacity                    // it was idle, and its connection slot was needed
	ClosedForTimeout                     // it was idle for too long, or its peer read or wrote too slowly
	ClosedForShutdown                    // it was idle after CloseClients
	ClosedAfterFailure                   // a write failed, or all peers together left too many bytes unread
	ClosedForMemory                      // its incomplete message was the oldest, and all of them took too much memory
	closeCauses
)

// String returns the cause as it is logged.
func (c CloseCause) String() string {
	names := [closeCauses]string{"peer", "handler", "room", "timeout", "shutdown", "failure", "memory"}
	if c >= closeCauses {
		return "unknown"
	}
	return names[c]
}

// CloseCount counts the accepted connections that were closed for one cause.
type CloseCount struct {
	Connections uint64
	ResponseDue uint64 // how many of them still owed a response: it was due, or the kernel had not accepted it
}

// Counters counts what the loop and its poller have done since the start. They tell a blocked loop, which has long
// turns, from a spinning poller, which makes far more calls than messages arrive.
type Counters struct {
	Turns       uint64
	LongestTurn time.Duration // since the last call of Loop.Counters
	LongestWait time.Duration // of a client's data for its handler, since the last call of Loop.Counters
	PollerCalls uint64        // calls of the poller for a readable socket
	Closes      [closeCauses]CloseCount
}

// countTurn counts a turn and its duration.
func (c *Counters) countTurn(took time.Duration) {
	c.Turns++
	c.LongestTurn = max(c.LongestTurn, took)
}

// connectionClosed counts an accepted connection that was closed, and reports whether a response was due on it.
func (c *Counters) connectionClosed(conn *Conn) (responseDue bool) {
	count := &c.Closes[conn.state.cause]
	count.Connections++
	responseDue = conn.handler != nil && conn.isBusy() || conn.UnsentBytes() > 0
	if responseDue {
		count.ResponseDue++
	}
	return responseDue
}

// Counters returns the counters and resets LongestTurn and LongestWait.
func (l *Loop) Counters() Counters {
	counters := l.counters
	counters.PollerCalls = l.poller.calls.Load()
	counters.LongestWait = l.rotation.longestWait
	l.counters.LongestTurn = 0
	l.rotation.longestWait = 0
	return counters
}

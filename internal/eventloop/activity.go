package eventloop

import "time"

const (
	// idleTimeout is how long an accepted connection may stay silent while no response is due on it.
	idleTimeout = 15 * time.Second
	// messageTimeout is how long a client has to send its first message, or the rest of a message that has partly
	// arrived. Receiving more bytes of the message does not extend it.
	messageTimeout = 2500 * time.Millisecond
	// requestGracePeriod is how long after connecting a client may take to send its first message. After that, its
	// connection ranks as silent and is the first to be closed when a connection slot is needed.
	requestGracePeriod = 250 * time.Millisecond
)

// clientActivity records what an accepted connection has sent. Its timeouts depend on it. The loop's goroutine owns it.
// All times are those of turns.
type clientActivity struct {
	messages     int           // complete messages that have arrived
	activeAt     time.Duration // last arrival of a message or write of a response; initially the time of the accept
	partialSince time.Duration // when the incomplete message started to arrive; 0 if there is none
}

// recordMessages records the number of messages that have arrived by now, and whether another has arrived in part.
func (a *clientActivity) recordMessages(now time.Duration, messages int, partial bool) {
	if messages > a.messages {
		a.messages = messages
		a.activeAt = now
		a.partialSince = 0
	}
	switch {
	case !partial:
		a.partialSince = 0
	case a.partialSince == 0:
		a.partialSince = now
	}
}

// recordResponse records that something was written to the client. A client counts as idle from its last response on,
// however long the response took.
func (a *clientActivity) recordResponse(now time.Duration) {
	if a.messages > 0 {
		a.activeAt = now
	}
}

// hasPartialMessage reports whether a message has arrived in part.
func (a *clientActivity) hasPartialMessage() bool { return a.partialSince > 0 }

// timedOut reports whether the client has timed out. hasUnread is true if the client has not read all of its responses
// yet.
func (a *clientActivity) timedOut(now time.Duration, hasUnread bool) bool {
	switch {
	case hasUnread:
		return now-a.activeAt > idleTimeout
	case a.hasPartialMessage():
		return now-a.partialSince > messageTimeout
	case a.messages == 0:
		return now-a.activeAt > messageTimeout
	}
	return now-a.activeAt > idleTimeout
}

// closeRank orders idle clients. When a connection slot is needed, clients of the lowest rank are closed first.
type closeRank int

const (
	rankSilent closeRank = iota // has not sent a message within requestGracePeriod
	rankServed                  // has sent messages and received all responses
	rankNew                     // has just connected
)

// rank returns the client's rank at the time now.
func (a *clientActivity) rank(now time.Duration) closeRank {
	switch {
	case a.messages > 0:
		return rankServed
	case now-a.activeAt > requestGracePeriod:
		return rankSilent
	}
	return rankNew
}

// closesBefore reports whether the client is closed before another one. A lower rank is closed first and, within a
// rank, the client that has been idle for longest.
func (a *clientActivity) closesBefore(other *clientActivity, now time.Duration) bool {
	rank := a.rank(now)
	otherRank := other.rank(now)
	if rank != otherRank {
		return rank < otherRank
	}
	return a.activeAt < other.activeAt
}

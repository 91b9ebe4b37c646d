package eventloop

import "time"

const (
	// idleTimeout is how long an accepted connection on which no response is due may be silent.
	idleTimeout = 15 * time.Second
	// messageTimeout is how long a client has for its first message, and for the rest of one that has begun. Bytes
	// that arrive one by one do not extend it.
	messageTimeout = 2500 * time.Millisecond
	// requestGracePeriod is how long a client may take from its connect to its message. Later its connection counts as
	// silent and is the first to be closed to free a connection slot.
	requestGracePeriod = 250 * time.Millisecond
)

// clientActivity is what an accepted connection has sent, by which its timeouts are computed. The loop's goroutine owns
// it. Times are those of turns.
type clientActivity struct {
	messages     int           // that have arrived whole
	activeAt     time.Duration // when the last message arrived or had its response, or the connection was accepted
	partialSince time.Duration // when the first part of the next message arrived; 0: no part has
}

// recordMessages records how many messages have arrived by now, and whether a part of another has.
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

// recordResponse records that something is written to the client. A client is idle from its last response on, however
// long the response took.
func (a *clientActivity) recordResponse(now time.Duration) {
	if a.messages > 0 {
		a.activeAt = now
	}
}

// hasPartialMessage reports whether a part of a message has arrived.
func (a *clientActivity) hasPartialMessage() bool { return a.partialSince > 0 }

// timedOut reports whether the client has timed out. hasUnread is whether it has yet to read a response.
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

// closeRank orders idle clients by which is closed first to free a connection slot.
type closeRank int

const (
	rankSilent closeRank = iota // should have sent a message and did not
	rankServed                  // sent messages, and has all responses
	rankNew                     // has only just connected
)

// rank returns the client's rank by now.
func (a *clientActivity) rank(now time.Duration) closeRank {
	switch {
	case a.messages > 0:
		return rankServed
	case now-a.activeAt > requestGracePeriod:
		return rankSilent
	}
	return rankNew
}

// closesBefore reports whether the client is closed before another: by rank, and the longest idle first.
func (a *clientActivity) closesBefore(other *clientActivity, now time.Duration) bool {
	rank := a.rank(now)
	otherRank := other.rank(now)
	if rank != otherRank {
		return rank < otherRank
	}
	return a.activeAt < other.activeAt
}

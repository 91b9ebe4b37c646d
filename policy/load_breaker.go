package policy

import "time"

// maxBreakerDoublings bounds the pause between loads that fail: 50 ms doubled five times is 1.6 s.
const maxBreakerDoublings = 5

// loadBreaker is a circuit breaker for loads. All workers load from one store; while loads fail it may be
// down.
//
// Invariant: while loads fail, at most one begins for each pause, and pauses double with each further
// failure.
type loadBreaker struct {
	failures  int           // since a load succeeded
	openUntil time.Duration // no load begins before
}

// isOpen reports whether no load may begin now.
func (b *loadBreaker) isOpen(now time.Duration) bool { return now < b.openUntil }

// recordFailure opens the breaker, for longer with each failure.
func (b *loadBreaker) recordFailure(now time.Duration) {
	b.failures++
	b.open(now)
}

// recordStart records that a load begins. While loads fail the next has to wait.
func (b *loadBreaker) recordStart(now time.Duration) {
	if b.failures > 0 && !b.isOpen(now) {
		b.open(now)
	}
}

// recordSuccess closes the breaker.
func (b *loadBreaker) recordSuccess() { *b = loadBreaker{} }

func (b *loadBreaker) open(now time.Duration) {
	b.openUntil = now + housekeepingInterval<<min(b.failures, maxBreakerDoublings)
}

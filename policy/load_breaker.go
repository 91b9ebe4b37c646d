package policy

import "time"

// maxBreakerDoublings limits the delay between loads while they fail: 50 ms doubled five times is 1.6 s.
const maxBreakerDoublings = 5

// loadBreaker is a circuit breaker for loads. All workers load from one store, so if loads fail, the store
// may be down.
//
// Invariant: while loads fail, at most one load starts in each delay, and the delay doubles with each further
// failure.
type loadBreaker struct {
	failures  int           // since the last load that succeeded
	openUntil time.Duration // no load may start before this time
}

// isOpen reports whether the breaker prevents loads from starting now.
func (b *loadBreaker) isOpen(now time.Duration) bool { return now < b.openUntil }

// recordFailure opens the breaker. Each further failure opens it for longer.
func (b *loadBreaker) recordFailure(now time.Duration) {
	b.failures++
	b.open(now)
}

// recordStart records that a load starts. While loads fail, this opens the breaker for the next load.
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

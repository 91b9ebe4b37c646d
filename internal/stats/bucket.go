package stats

import "time"

// TokenBucket is an allowance that refills at a rate up to a capacity. Tokens may fall below zero; such a debt is
// refilled first.
type TokenBucket struct {
	Tokens   float64 // those left; may be less than 0
	Capacity float64 // tokens at most
	Rate     float64 // tokens per second, for Refill

	refilled time.Duration // when Refill was called last
}

// Refill adds the tokens for the time since the last Refill, or since time 0.
func (b *TokenBucket) Refill(now time.Duration) {
	b.Add(b.Rate * (now - b.refilled).Seconds())
	b.refilled = now
}

// Add adds tokens, up to the capacity.
func (b *TokenBucket) Add(tokens float64) {
	b.Tokens = min(b.Tokens+tokens, b.Capacity)
}

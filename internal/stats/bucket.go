package stats

import "time"

// TokenBucket is a token bucket. Tokens may fall below 0; a refill then starts from the negative number.
type TokenBucket struct {
	Tokens   float64 // tokens left; may be less than 0
	Capacity float64 // highest number of tokens
	Rate     float64 // tokens per second, for Refill

	refilled time.Duration // time of the last Refill
}

// Refill adds the tokens for the time since the last Refill, or since time 0 if this is the first.
func (b *TokenBucket) Refill(now time.Duration) {
	b.Add(b.Rate * (now - b.refilled).Seconds())
	b.refilled = now
}

// Add adds tokens, up to the capacity.
func (b *TokenBucket) Add(tokens float64) {
	b.Tokens = min(b.Tokens+tokens, b.Capacity)
}

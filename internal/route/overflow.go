package route

import (
	"math"
	"time"

	"crankhold/policy"
)

// overflowWindow is the length of the sliding window of the overflow limit.
const overflowWindow = 10 * time.Second

// Overflow returns the pool that takes a request that this pool can't, and counts the request as an overflow. It
// returns nil if there is no fallback or the overflow limit is reached.
func (p *Pool) Overflow(now time.Duration) policy.Pool {
	if p.fallback == nil {
		return nil
	}
	if float64(p.recentOverflows.upperBound(now)+1) > p.maxOverflows(now) {
		p.OverflowsDenied++
		return nil
	}
	p.Overflows++
	p.recentOverflows.add(now)
	p.fallback.RequestRouted(now)
	return p.fallback
}

// maxOverflows returns how many requests may overflow within the window that ends now.
func (p *Pool) maxOverflows(now time.Duration) float64 {
	limit := math.Inf(1)
	if p.Spec.OverflowShare != Unset {
		limit = p.Spec.OverflowShare * float64(p.recentRequests.lowerBound(now))
	}
	if p.Spec.OverflowRate != Unset {
		limit = min(limit, p.Spec.OverflowRate*overflowWindow.Seconds())
	}
	return limit
}

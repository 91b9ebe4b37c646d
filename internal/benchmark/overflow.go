package benchmark

import (
	"slices"
	"time"

	"crankhold/internal/fake"
)

// How the share of overflowed requests is computed.
const (
	overflowWindow        = 10 * time.Second
	minRequestsInWindow   = 100
	maxOverflowsInspected = 2000 // if there are more overflows, only a sample of them is inspected
	overflowSampling      = 7    // the sample is every seventh overflow
)

// maxOverflowShare computes the share of the requests of class dim-level that overflowed, in each window that ends at
// an overflow, and returns the largest one. Windows with fewer than minRequestsInWindow requests are left out.
func (p *poolWatch) maxOverflowShare(r *record) float64 {
	var sent []time.Time
	for _, request := range r.requests {
		if request.class == fake.DimLevel.Name {
			sent = append(sent, request.sentAt)
		}
	}
	var overflowed []time.Time
	for _, at := range p.overflowed {
		overflowed = append(overflowed, at)
	}
	slices.SortFunc(overflowed, time.Time.Compare)
	maxShare := 0.0
	for i, end := range overflowed {
		if i%overflowSampling > 0 && len(overflowed) > maxOverflowsInspected {
			continue
		}
		if n := countInOverflowWindow(sent, end); n >= minRequestsInWindow {
			maxShare = max(maxShare, float64(countInOverflowWindow(overflowed, end))/float64(n))
		}
	}
	return maxShare
}

// countInOverflowWindow returns how many of the times are in the window of length overflowWindow that ends at end. The
// window includes end.
func countInOverflowWindow(times []time.Time, end time.Time) (n int) {
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-overflowWindow)) {
			n++
		}
	}
	return n
}

package benchmark

import (
	"slices"
	"time"

	"crankhold/internal/fake"
)

// Windows in which the share of overflowed requests is computed.
const (
	overflowWindow        = 10 * time.Second
	minRequestsInWindow   = 100
	maxOverflowsInspected = 2000 // with more of them, a sample is inspected
	overflowSampling      = 7
)

// maxOverflowShare returns the largest share, of all windows, that overflowed requests were of the requests of their
// class. Windows with few requests are left out.
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
		if n := countSince(sent, end); n >= minRequestsInWindow {
			maxShare = max(maxShare, float64(countSince(overflowed, end))/float64(n))
		}
	}
	return maxShare
}

// countSince returns how many of the times are in the overflow window that ends at a time, which it includes.
func countSince(times []time.Time, end time.Time) (n int) {
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-overflowWindow)) {
			n++
		}
	}
	return n
}

package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// At every instant the exact count is between the window's two bounds, which differ by at most the events of one slot.
func TestSlidingWindowBoundsTheExactCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 10 * time.Second
		w := newSlidingWindow(span)
		var times []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 30, 99, 100, 2500, 9999, 25_000}).Draw(t, "passes")) * time.Millisecond
			if rapid.Bool().Draw(t, "event") {
				w.add(now)
				times = append(times, now)
			}
			lower, exact, upper := w.lowerBound(now), countWithin(span, now, times), w.upperBound(now)
			if lower > exact || exact > upper {
				t.Fatalf("at %v: %d events, bounds %d and %d", now, exact, lower, upper)
			}
			if least := countWithin(span-span/windowSlots, now, times); lower < least {
				t.Fatalf("at %v: lower bound %d, but %d events are newer than the oldest slot", now, lower, least)
			}
		}
	})
}

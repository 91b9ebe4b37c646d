package stats

import (
	"slices"
	"time"
)

// compactThreshold is the number of dropped times from which on a SlidingWindow may move the rest to the front of its
// memory.
const compactThreshold = 64

// SlidingWindow counts events by their times, each at or after the one before. The zero SlidingWindow is empty.
type SlidingWindow struct {
	times []time.Duration
	first int // index of the oldest that counts
}

// Add adds an event at a time and drops those that are more than span before it.
func (w *SlidingWindow) Add(at, span time.Duration) {
	w.CountSince(at - span)
	w.times = append(w.times, at)
}

// CountSince drops the events before a time and returns how many are left. Each event is dropped once, so that the cost
// of a count is small on average.
func (w *SlidingWindow) CountSince(from time.Duration) int {
	for w.first < len(w.times) && w.times[w.first] < from {
		w.first++
	}
	if w.first > compactThreshold && w.first > len(w.times)/2 {
		w.times = append(w.times[:0], w.times[w.first:]...)
		w.first = 0
	}
	return len(w.times) - w.first
}

// Remove removes one event at a time, if there is one.
func (w *SlidingWindow) Remove(at time.Duration) {
	if i, found := slices.BinarySearch(w.times[w.first:], at); found {
		w.times = slices.Delete(w.times, w.first+i, w.first+i+1)
	}
}

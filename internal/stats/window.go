package stats

import (
	"slices"
	"time"
)

// compactThreshold is the number of dropped times above which a SlidingWindow may move the remaining times to the front
// of its slice.
const compactThreshold = 64

// SlidingWindow counts events by their times. Events must be added in the order of their times. The zero SlidingWindow
// is empty.
type SlidingWindow struct {
	times []time.Duration
	first int // index of the oldest time in the window
}

// Add adds an event at a time, and drops the events that are more than span older.
func (w *SlidingWindow) Add(at, span time.Duration) {
	w.CountSince(at - span)
	w.times = append(w.times, at)
}

// CountSince drops the events before a time and returns the number of the remaining events. Each event is dropped only
// once, so that a call takes constant time on average.
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

// Remove removes one event at a time, if the window has one.
func (w *SlidingWindow) Remove(at time.Duration) {
	if i, found := slices.BinarySearch(w.times[w.first:], at); found {
		w.times = slices.Delete(w.times, w.first+i, w.first+i+1)
	}
}

package stats

import (
	"cmp"
	"slices"
	"time"
)

// compactThreshold is the number of dropped entries above which a SlidingWindow may move the remaining entries to the
// front of its slice.
const compactThreshold = 64

// maxWindowEntries limits the different times that a SlidingWindow distinguishes. Further events count as if they had
// happened at the last of these times, so they leave the window early.
const maxWindowEntries = 16 << 10

// SlidingWindow counts events by their times. Events must be added in the order of their times. The zero SlidingWindow
// is empty. Its memory is bounded, however many events it counts.
type SlidingWindow struct {
	entries []windowEntry
	first   int // index of the oldest entry in the window
	count   int // events in the window
}

// windowEntry counts the events that happened at the same time.
type windowEntry struct {
	at    time.Duration
	count int
}

// Add adds an event at a time, and drops the events that are more than span older.
func (w *SlidingWindow) Add(at, span time.Duration) {
	w.CountSince(at - span)
	w.count++
	last := len(w.entries) - 1
	if last >= w.first && (w.entries[last].at == at || w.IsFull()) {
		w.entries[last].count++
		return
	}
	w.entries = append(w.entries, windowEntry{at: at, count: 1})
}

// IsFull reports whether the window distinguishes no further times.
func (w *SlidingWindow) IsFull() bool { return len(w.entries)-w.first >= maxWindowEntries }

// CountSince drops the events before a time and returns the number of the remaining events. Each event is dropped only
// once, so that a call takes constant time on average.
func (w *SlidingWindow) CountSince(from time.Duration) int {
	for w.first < len(w.entries) && w.entries[w.first].at < from {
		w.count -= w.entries[w.first].count
		w.first++
	}
	if w.first > compactThreshold && w.first > len(w.entries)/2 {
		w.entries = append(w.entries[:0], w.entries[w.first:]...)
		w.first = 0
	}
	return w.count
}

// Remove removes one event at a time, if the window has one. It takes logarithmic time.
func (w *SlidingWindow) Remove(at time.Duration) {
	inWindow := w.entries[w.first:]
	i, found := slices.BinarySearchFunc(inWindow, at, func(e windowEntry, at time.Duration) int {
		return cmp.Compare(e.at, at)
	})
	if found && inWindow[i].count > 0 {
		inWindow[i].count--
		w.count--
	}
}

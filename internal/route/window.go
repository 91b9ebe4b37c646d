package route

import "time"

// windowSlots is the number of slots into which the span of a sliding window is divided.
const windowSlots = 100

// ringSlots is the number of slots in the ring buffer: those of the span, and one that is partly within it.
const ringSlots = windowSlots + 1

// slidingWindow counts the events of the last span of time, in slots. The oldest slot is only partly within the span,
// and which of its events are within it is unknown: upperBound counts all of them and lowerBound none. A limit that
// compares an upper bound with a lower bound is therefore never exceeded.
type slidingWindow struct {
	slotLength time.Duration
	latestSlot int64 // number of the latest slot, counted from time 0
	slotCounts [ringSlots]int
	total      int
}

func newSlidingWindow(span time.Duration) *slidingWindow {
	return &slidingWindow{slotLength: span / windowSlots}
}

// advance moves the window to the present and clears the slots that have left it.
func (w *slidingWindow) advance(now time.Duration) {
	slot := int64(now / w.slotLength)
	if slot-w.latestSlot > ringSlots {
		w.slotCounts = [ringSlots]int{}
		w.total = 0
		w.latestSlot = slot
		return
	}
	for w.latestSlot < slot {
		w.latestSlot++
		expired := &w.slotCounts[w.latestSlot%ringSlots]
		w.total -= *expired
		*expired = 0
	}
}

// add counts one event.
func (w *slidingWindow) add(now time.Duration) {
	w.advance(now)
	w.slotCounts[w.latestSlot%ringSlots]++
	w.total++
}

// upperBound returns at least the number of events within the span.
func (w *slidingWindow) upperBound(now time.Duration) int {
	w.advance(now)
	return w.total
}

// lowerBound returns at most the number of events within the span.
func (w *slidingWindow) lowerBound(now time.Duration) int {
	w.advance(now)
	oldest := w.slotCounts[(w.latestSlot+1)%ringSlots]
	return w.total - oldest
}

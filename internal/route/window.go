package route

import "time"

// windowSlots is how many slots the span of a sliding window is counted in.
const windowSlots = 100

// ringSlots is how many slots are kept: those of the span, and the one that is partly within it.
const ringSlots = windowSlots + 1

// slidingWindow counts the events of the last span, in slots. The oldest slot is partly within the span, and it is not
// known which of its events are: upperBound counts them all and lowerBound none. A limit that compares an upper bound
// with a lower bound therefore holds at every instant.
type slidingWindow struct {
	slotLength time.Duration
	latestSlot int64 // number of the latest slot since time 0
	slotCounts [ringSlots]int
	total      int
}

func newSlidingWindow(span time.Duration) *slidingWindow {
	return &slidingWindow{slotLength: span / windowSlots}
}

// advance clears the slots that are older than the span.
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

// upperBound returns how many events there were within the span, or a few more.
func (w *slidingWindow) upperBound(now time.Duration) int {
	w.advance(now)
	return w.total
}

// lowerBound returns how many events there were within the span, or a few less.
func (w *slidingWindow) lowerBound(now time.Duration) int {
	w.advance(now)
	oldest := w.slotCounts[(w.latestSlot+1)%ringSlots]
	return w.total - oldest
}

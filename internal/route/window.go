package route

import "time"

// slots is how many parts a window is counted in.
const windowSlots = 100

// slidingWindow counts what happened in the last span, in parts of it. Within one part it can't tell what is still
// inside: most counts it all, and least none of it, so that a bound that compares the two is kept at every
// instant.
type slidingWindow struct {
	slotLength time.Duration
	latestSlot int64 // the number of the latest part
	slotCounts [windowSlots + 1]int
	total      int
}

func newSlidingWindow(span time.Duration) *slidingWindow {
	return &slidingWindow{slotLength: span / windowSlots}
}

// advance empties the parts that are older than the span.
func (w *slidingWindow) advance(now time.Duration) {
	at := int64(now / w.slotLength)
	for ; w.latestSlot < at; w.latestSlot++ {
		if at-w.latestSlot > windowSlots+1 {
			w.slotCounts, w.total, w.latestSlot = [windowSlots + 1]int{}, 0, at-1
			continue
		}
		old := &w.slotCounts[(w.latestSlot+1)%(windowSlots+1)]
		w.total -= *old
		*old = 0
	}
}

func (w *slidingWindow) add(now time.Duration) {
	w.advance(now)
	w.slotCounts[w.latestSlot%(windowSlots+1)]++
	w.total++
}

// upperBound is how many there were in the span, or a few more.
func (w *slidingWindow) upperBound(now time.Duration) int {
	w.advance(now)
	return w.total
}

// lowerBound is how many there were in the span, or a few less.
func (w *slidingWindow) lowerBound(now time.Duration) int {
	w.advance(now)
	return w.total - w.slotCounts[(w.latestSlot+1)%(windowSlots+1)]
}

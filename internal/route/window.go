package route

import "time"

// slots is how many parts a window is counted in.
const slots = 100

// window counts what happened in the last span, in parts of it. Within one part it can't tell what is still
// inside: most counts it all, and least none of it, so that a bound that compares the two is kept at every
// instant.
type window struct {
	slot time.Duration
	at   int64 // the number of the latest part
	n    [slots + 1]int
	sum  int
}

func newWindow(span time.Duration) *window { return &window{slot: span / slots} }

// advance empties the parts that are older than the span.
func (w *window) advance(now time.Duration) {
	at := int64(now / w.slot)
	for ; w.at < at; w.at++ {
		if at-w.at > slots+1 {
			w.n, w.sum, w.at = [slots + 1]int{}, 0, at-1
			continue
		}
		old := &w.n[(w.at+1)%(slots+1)]
		w.sum -= *old
		*old = 0
	}
}

func (w *window) add(now time.Duration) {
	w.advance(now)
	w.n[w.at%(slots+1)]++
	w.sum++
}

// most is how many there were in the span, or a few more.
func (w *window) most(now time.Duration) int {
	w.advance(now)
	return w.sum
}

// least is how many there were in the span, or a few less.
func (w *window) least(now time.Duration) int {
	w.advance(now)
	return w.sum - w.n[(w.at+1)%(slots+1)]
}

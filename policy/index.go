package policy

import (
	"slices"
	"time"
)

// This file holds what the module keeps its beliefs in, where a plain map or slice would cost a look at all of it for
// each call. Nothing is decided here.

// times is a queue of times, each at or after the one before.
type times struct {
	list []time.Duration
	head int
}

// add enters a time and drops those that are more than a span before it.
func (t *times) add(at, span time.Duration) {
	t.since(at - span)
	t.list = append(t.list, at)
}

// since drops those before a time and returns how many are left. Each is dropped once.
func (t *times) since(from time.Duration) int {
	for t.head < len(t.list) && t.list[t.head] < from {
		t.head++
	}
	if t.head > 64 && t.head > len(t.list)/2 {
		t.list = append(t.list[:0], t.list[t.head:]...)
		t.head = 0
	}
	return len(t.list) - t.head
}

// drop takes out one entry of a time, where there is one.
func (t *times) drop(at time.Duration) {
	if i, ok := slices.BinarySearch(t.list[t.head:], at); ok {
		t.list = slices.Delete(t.list, t.head+i, t.head+i+1)
	}
}

// holders knows by function which workers we believe something of. Those of the function that was asked for last are
// marked, so that a look at all workers for one call takes no look-up for each.
type holders struct {
	by   map[FunctionID][]*instance
	seen FunctionID
	mark uint64
}

// marked is what holders notes at a worker.
type marked struct {
	mark uint64
	here *instance
}

// scratch is room that each call's look at the workers uses anew.
type scratch struct {
	cands  []*worker
	scores []float64
}

// at returns what we believe of a function at a worker, or nil.
func (h *holders) at(w *worker, f FunctionID) *instance {
	if f != h.seen || h.mark == 0 {
		h.seen = f
		h.mark++
		for _, i := range h.by[f] {
			i.w.mark, i.w.here = h.mark, i
		}
	}
	if w.mark != h.mark {
		return nil
	}
	return w.here
}

// add enters a belief.
func (h *holders) add(f FunctionID, i *instance) {
	if h.by == nil {
		h.by = map[FunctionID][]*instance{}
	}
	h.by[f] = append(h.by[f], i)
	if f == h.seen {
		i.w.mark, i.w.here = h.mark, i
	}
}

// drop forgets what we believe of a function at a worker.
func (h *holders) drop(f FunctionID, w *worker) {
	delete(w.copies, f)
	if f == h.seen {
		w.mark, w.here = 0, nil
	}
	if h.by[f] = slices.DeleteFunc(h.by[f], func(i *instance) bool { return i.w == w }); len(h.by[f]) == 0 {
		delete(h.by, f)
	}
}

// forget drops all that we believe of a worker.
func (h *holders) forget(w *worker) {
	for f := range w.copies {
		h.drop(f, w)
	}
}

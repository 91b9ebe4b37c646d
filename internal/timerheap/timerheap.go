// Package timerheap orders values by the time at which they are due. It reads no clock: the caller passes the time as
// an offset from any fixed point.
package timerheap

import (
	"container/heap"
	"time"
)

// Heap stores values until they are due. Values that are due at the same time are removed in the order in which they
// were added, so that identical runs give identical results. The zero Heap is empty and ready to use. A Heap is not
// safe for concurrent use.
type Heap[T any] struct {
	entries entries[T]
	added   uint64 // number of values added so far; the sequence of the last one
}

// Entry is a value in a Heap. It identifies the value for Heap.Remove.
type Entry[T any] struct {
	Value    T
	due      time.Duration
	sequence uint64 // orders entries that are due at the same time
	index    int    // position in the heap, or removed
}

// removed is the index of an entry that is no longer in its heap.
const removed = -1

// Add adds a value, and returns its entry. Add, Remove and PopDue take logarithmic time.
func (h *Heap[T]) Add(due time.Duration, value T) *Entry[T] {
	h.added++
	entry := &Entry[T]{Value: value, due: due, sequence: h.added}
	heap.Push(&h.entries, entry)
	return entry
}

// Remove removes an entry before it is due. It does nothing for nil and for an entry that is no longer in the heap.
func (h *Heap[T]) Remove(entry *Entry[T]) {
	if entry != nil && entry.index != removed {
		heap.Remove(&h.entries, entry.index)
	}
}

// PopDue removes and returns the first entry that is due at or before now. It returns false if there is none.
func (h *Heap[T]) PopDue(now time.Duration) (entry *Entry[T], ok bool) {
	if len(h.entries) == 0 || h.entries[0].due > now {
		return nil, false
	}
	return heap.Pop(&h.entries).(*Entry[T]), true
}

// NextDue returns the time at which the first value is due. It returns false if the heap is empty.
func (h *Heap[T]) NextDue() (due time.Duration, ok bool) {
	if len(h.entries) == 0 {
		return 0, false
	}
	return h.entries[0].due, true
}

// Len returns the number of values in the heap.
func (h *Heap[T]) Len() int { return len(h.entries) }

// Due returns the time at which the value is due.
func (e *Entry[T]) Due() time.Duration { return e.due }

// entries implements heap.Interface.
type entries[T any] []*Entry[T]

// Len implements sort.Interface.
func (e entries[T]) Len() int { return len(e) }

// Less implements sort.Interface.
func (e entries[T]) Less(i, j int) bool {
	if e[i].due != e[j].due {
		return e[i].due < e[j].due
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements sort.Interface.
func (e entries[T]) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index = i
	e[j].index = j
}

// Push implements heap.Interface.
func (e *entries[T]) Push(x any) {
	entry := x.(*Entry[T])
	entry.index = len(*e)
	*e = append(*e, entry)
}

// Pop implements heap.Interface.
func (e *entries[T]) Pop() any {
	last := len(*e) - 1
	entry := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	entry.index = removed
	return entry
}

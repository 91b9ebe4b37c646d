// Package timerheap orders values by the time at which they are due. It reads no clock: its caller passes the time, as
// an offset from any fixed point.
package timerheap

import (
	"container/heap"
	"time"
)

// Heap holds values until they are due. Values that are due at the same time leave in the order in which they were
// added, so that equal runs give equal results. The zero Heap is empty and ready to use. It is not safe for concurrent
// use: the goroutine that adds values owns it.
type Heap[T any] struct {
	entries entries[T]
	added   uint64 // values so far, for the sequence of the next
}

// Entry is a value in a Heap, by which it can be removed.
type Entry[T any] struct {
	Value    T
	due      time.Duration
	sequence uint64 // orders entries that are due at the same time
	index    int    // in the heap, or removed
}

// removed is the index of an entry that has left its heap.
const removed = -1

// Add adds a value, and returns the entry by which it can be removed. It takes logarithmic time, as does each removal.
func (h *Heap[T]) Add(due time.Duration, value T) *Entry[T] {
	h.added++
	entry := &Entry[T]{Value: value, due: due, sequence: h.added}
	heap.Push(&h.entries, entry)
	return entry
}

// Remove removes an entry before it is due. It does nothing for nil and for an entry that has left the heap.
func (h *Heap[T]) Remove(entry *Entry[T]) {
	if entry != nil && entry.index != removed {
		heap.Remove(&h.entries, entry.index)
	}
}

// PopDue removes the first value that is due by now. It returns false when there is none.
func (h *Heap[T]) PopDue(now time.Duration) (entry *Entry[T], ok bool) {
	if len(h.entries) == 0 || h.entries[0].due > now {
		return nil, false
	}
	return heap.Pop(&h.entries).(*Entry[T]), true
}

// Next returns the time at which the first value is due. It returns false when the heap is empty.
func (h *Heap[T]) Next() (due time.Duration, ok bool) {
	if len(h.entries) == 0 {
		return 0, false
	}
	return h.entries[0].due, true
}

// Len is the number of values in the heap.
func (h *Heap[T]) Len() int { return len(h.entries) }

// Due is the time at which the value is due.
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

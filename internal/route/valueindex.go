package route

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

// valueIndex holds the entries of a list by the value of a property, so that those with a value, or with values in a
// row, are found without a look at each entry.
type valueIndex[V cmp.Ordered] struct {
	values  []V   // sorted
	starts  []int // by value: the index in entries of the first one with it; the last element is the end
	entries orderedEntries
}

// valuedEntry is an entry of a list and the value of its property.
type valuedEntry[V cmp.Ordered] struct {
	entry int32
	value V
}

// newValueIndex indexes entries below limit. It may reorder the argument.
func newValueIndex[V cmp.Ordered](limit int, list []valuedEntry[V]) *valueIndex[V] {
	slices.SortFunc(list, func(a, b valuedEntry[V]) int { return cmp.Compare(a.value, b.value) })
	x := &valueIndex[V]{}
	order := make([]int32, len(list))
	for i, e := range list {
		if i == 0 || e.value != list[i-1].value {
			x.values = append(x.values, e.value)
			x.starts = append(x.starts, i)
		}
		order[i] = e.entry
	}
	x.starts = append(x.starts, len(list))
	x.entries = newOrderedEntries(limit, order)
	return x
}

// addEqual adds the entries with a value to a set.
func (x *valueIndex[V]) addEqual(set bitSet, value V) {
	if i, found := slices.BinarySearch(x.values, value); found {
		x.entries.addRange(set, x.starts[i], x.starts[i+1])
	}
}

// addEach adds the entries with one of these values to a set. A nil index has no entries.
func addEach[V cmp.Ordered](set bitSet, x *valueIndex[V], values []V) {
	if x == nil {
		return
	}
	for _, value := range values {
		x.addEqual(set, value)
	}
}

// addAtLeast adds the entries with a value or a greater one to a set.
func (x *valueIndex[V]) addAtLeast(set bitSet, value V) {
	first, _ := slices.BinarySearch(x.values, value)
	x.entries.addRange(set, x.starts[first], x.starts[len(x.values)])
}

// addMatching adds the entries with a value that one of the patterns matches to a set; see matchesAny.
func addMatching(set bitSet, x *valueIndex[string], patterns []string) {
	for _, pattern := range patterns {
		prefix, star := strings.CutSuffix(pattern, "*")
		if star {
			addPrefixed(set, x, prefix)
		} else {
			x.addEqual(set, pattern)
		}
	}
}

// addPrefixed adds the entries with a value that begins with the prefix to a set.
func addPrefixed(set bitSet, x *valueIndex[string], prefix string) {
	first, _ := slices.BinarySearch(x.values, prefix)
	rest := x.values[first:]
	count := sort.Search(len(rest), func(i int) bool { return !strings.HasPrefix(rest[i], prefix) })
	x.entries.addRange(set, x.starts[first], x.starts[first+count])
}

// Limits of the checkpoints of orderedEntries.
const (
	// minCheckpointInterval is the least distance of two checkpoints. Shorter ranges are not worth one.
	minCheckpointInterval = 128
	// maxCheckpoints bounds the memory of the sets, each of which grows with the number of entries.
	maxCheckpoints = 64
)

// orderedEntries is a list of entries of which ranges can be added to a set, at a cost that hardly grows with the
// range's length: at most the entries between two checkpoints at each of its ends are added one by one.
type orderedEntries struct {
	order    []int32
	interval int      // distance of two checkpoints
	before   []bitSet // by checkpoint: the set of the entries before it
}

func newOrderedEntries(limit int, order []int32) orderedEntries {
	e := orderedEntries{order: order, interval: max(minCheckpointInterval, len(order)/maxCheckpoints)}
	set := newBitSet(limit)
	for checkpoint := 0; checkpoint <= len(order); checkpoint += e.interval {
		e.before = append(e.before, slices.Clone(set))
		e.addOneByOne(set, checkpoint, min(checkpoint+e.interval, len(order)))
	}
	return e
}

// addRange adds the entries from the index first up to last, without last, to a set.
func (e *orderedEntries) addRange(set bitSet, first, last int) {
	firstCheckpoint := (first + e.interval - 1) / e.interval
	lastCheckpoint := last / e.interval
	if firstCheckpoint >= lastCheckpoint {
		e.addOneByOne(set, first, last)
		return
	}
	e.addOneByOne(set, first, firstCheckpoint*e.interval)
	set.addDifference(e.before[lastCheckpoint], e.before[firstCheckpoint])
	e.addOneByOne(set, lastCheckpoint*e.interval, last)
}

// addOneByOne adds the entries of a range.
func (e *orderedEntries) addOneByOne(set bitSet, first, last int) {
	for _, entry := range e.order[first:last] {
		set.add(entry)
	}
}

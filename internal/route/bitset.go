package route

import "math/bits"

// bitSet is a set of integers from 0 up to a limit.
type bitSet []uint64

// bitsPerWord is the number of integers in an element of a bitSet.
const bitsPerWord = 64

// newBitSet returns an empty set of integers below limit.
func newBitSet(limit int) bitSet { return make(bitSet, (limit+bitsPerWord-1)/bitsPerWord) }

// add adds an integer.
func (s bitSet) add(i int32) { s[i/bitsPerWord] |= 1 << (i % bitsPerWord) }

// contains reports whether the set has an integer.
func (s bitSet) contains(i int32) bool { return s[i/bitsPerWord]&(1<<(i%bitsPerWord)) != 0 }

// addAll adds the integers of another set.
func (s bitSet) addAll(other bitSet) {
	for i, word := range other {
		s[i] |= word
	}
}

// addDifference adds the integers of one set that are not in another.
func (s bitSet) addDifference(added, except bitSet) {
	for i, word := range added {
		s[i] |= word &^ except[i]
	}
}

// retain removes the integers that are not in another set.
func (s bitSet) retain(other bitSet) {
	for i, word := range other {
		s[i] &= word
	}
}

// count returns how many integers the set has.
func (s bitSet) count() int {
	count := 0
	for _, word := range s {
		count += bits.OnesCount64(word)
	}
	return count
}

// each calls yield for each integer of the set in ascending order.
func (s bitSet) each(yield func(int32)) {
	for i, word := range s {
		for ; word != 0; word &= word - 1 {
			yield(int32(i*bitsPerWord + bits.TrailingZeros64(word)))
		}
	}
}

package route

import "slices"

// FunctionSet is the set of functions that a pattern matches, except those that other patterns match.
type FunctionSet struct {
	Pattern Pattern
	Except  []Pattern
}

// Contains reports whether the function is in the set.
func (s FunctionSet) Contains(function uint64) bool {
	excepted := slices.ContainsFunc(s.Except, func(p Pattern) bool { return p.Matches(function) })
	return s.Pattern.Matches(function) && !excepted
}

// String returns the pattern and its exceptions.
func (s FunctionSet) String() string {
	b := &limitedText{}
	s.describe(b)
	return b.String()
}

// describe appends the pattern and its exceptions.
func (s FunctionSet) describe(b *limitedText) {
	b.add(s.Pattern.String())
	if len(s.Except) == 0 {
		return
	}
	b.add(" (but not")
	for _, p := range s.Except {
		if b.isFull() {
			return
		}
		b.add(" ", p.String())
	}
	b.add(")")
}

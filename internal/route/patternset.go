package route

import (
	"maps"
	"slices"
)

// patternSet is a set of patterns. The empty pattern, which matches all functions, is always in it.
type patternSet struct {
	members   map[Pattern]bool
	ancestors map[Pattern]bool // all patterns that contain a longer member
	sorted    []Pattern        // the members; a pattern is directly followed by those within it
}

func newPatternSet(list []Pattern) *patternSet {
	s := &patternSet{members: map[Pattern]bool{{}: true}, ancestors: map[Pattern]bool{}}
	for _, p := range list {
		s.members[p] = true
		for p.Digits > 0 {
			p = p.parent()
			if s.ancestors[p] {
				break
			}
			s.ancestors[p] = true
		}
	}
	s.sorted = slices.SortedFunc(maps.Keys(s.members), comparePatterns)
	return s
}

// uncoveredFunction returns a function that p matches and that no member longer than p matches. ok is false if the
// members longer than p together match all functions of p.
func (s *patternSet) uncoveredFunction(p Pattern) (function uint64, ok bool) {
	if !s.ancestors[p] {
		return p.Prefix, true
	}
	for digit := range len(hexDigits) {
		child := p.child(digit)
		if s.members[child] {
			continue
		}
		if function, ok := s.uncoveredFunction(child); ok {
			return function, true
		}
	}
	return 0, false
}

// outermostWithin returns the wanted members that are longer than p and within it. It leaves out members that are
// within another member of the result.
func (s *patternSet) outermostWithin(p Pattern, wanted func(Pattern) bool) []Pattern {
	first, found := slices.BinarySearchFunc(s.sorted, p, comparePatterns)
	if found {
		first++
	}
	var outermost []Pattern
	for _, q := range s.sorted[first:] {
		if !q.within(p) {
			break
		}
		covered := len(outermost) > 0 && q.within(outermost[len(outermost)-1])
		if wanted(q) && !covered {
			outermost = append(outermost, q)
		}
	}
	return outermost
}

package route

import "slices"

// patternSet is a set of patterns. The empty pattern, which matches all functions, is always in it.
type patternSet struct {
	sorted []Pattern // a pattern is directly followed by those within it
}

func newPatternSet(list []Pattern) *patternSet {
	sorted := append(slices.Clone(list), Pattern{})
	slices.SortFunc(sorted, comparePatterns)
	return &patternSet{slices.Clip(slices.Compact(sorted))}
}

// contains reports whether p is a member.
func (s *patternSet) contains(p Pattern) bool {
	_, found := slices.BinarySearchFunc(s.sorted, p, comparePatterns)
	return found
}

// within returns the members that are longer than p and within it, and possibly others after them.
func (s *patternSet) within(p Pattern) []Pattern {
	first, found := slices.BinarySearchFunc(s.sorted, p, comparePatterns)
	if found {
		first++
	}
	return s.sorted[first:]
}

// hasWithin reports whether a member is longer than p and within it.
func (s *patternSet) hasWithin(p Pattern) bool {
	longer := s.within(p)
	return len(longer) > 0 && longer[0].within(p)
}

// uncoveredFunction returns a function that p matches and that no member longer than p matches. ok is false if the
// members longer than p together match all functions of p.
func (s *patternSet) uncoveredFunction(p Pattern) (function uint64, ok bool) {
	if !s.hasWithin(p) {
		return p.Prefix, true
	}
	for digit := range len(hexDigits) {
		child := p.child(digit)
		if s.contains(child) {
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
	var outermost []Pattern
	for _, q := range s.within(p) {
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

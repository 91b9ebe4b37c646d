package route

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// keyDigits is how many hex digits name a function.
const keyDigits = 16

// Pattern matches the functions whose keys begin with some hex digits; with all 16 it is one function.
type Pattern struct {
	Prefix uint64 // the digits, at the upper end; zero below
	Digits int
}

// ParsePattern reads 16 hex digits in lower case, or up to 15 and a star.
func ParsePattern(s string) (Pattern, error) {
	digits, star := strings.CutSuffix(s, "*")
	p := Pattern{Digits: len(digits)}
	if star && len(digits) >= keyDigits || !star && len(digits) != keyDigits {
		return p, fmt.Errorf("%q is not 16 hex digits, nor fewer and a star", s)
	}
	for i, c := range []byte(digits) {
		v := strings.IndexByte("0123456789abcdef", c)
		if v < 0 {
			return p, fmt.Errorf("%q has %q, which is no hex digit in lower case", s, rune(c))
		}
		p.Prefix |= uint64(v) << (60 - 4*i)
	}
	return p, nil
}

// String words the pattern as configurations do.
func (p Pattern) String() string {
	s := fmt.Sprintf("%016x", p.Prefix)[:p.Digits]
	if p.Digits < keyDigits {
		s += "*"
	}
	return s
}

func (p Pattern) mask() uint64 {
	if p.Digits == 0 {
		return 0
	}
	return ^uint64(0) << (4 * (keyDigits - p.Digits))
}

// Matches tells whether the function is one of p's.
func (p Pattern) Matches(key uint64) bool { return key&p.mask() == p.Prefix }

// within tells whether every function of p is one of q's.
func (p Pattern) within(q Pattern) bool { return p.Digits >= q.Digits && q.Matches(p.Prefix) }

func (p Pattern) child(d int) Pattern {
	return Pattern{p.Prefix | uint64(d)<<(60-4*p.Digits), p.Digits + 1}
}

// patternSet is a set of them; the empty one, which matches all, is always in it.
type patternSet struct {
	members   map[Pattern]bool
	ancestors map[Pattern]bool // all that have a longer one of the set below
	sorted    []Pattern        // by prefix, shorter ones first: what is within one comes right behind it
}

func newPatternSet(list []Pattern) *patternSet {
	ps := &patternSet{members: map[Pattern]bool{{}: true}, ancestors: map[Pattern]bool{}}
	for _, p := range list {
		ps.members[p] = true
		for p.Digits > 0 {
			p.Digits--
			p.Prefix &= p.mask()
			if ps.ancestors[p] {
				break
			}
			ps.ancestors[p] = true
		}
	}
	ps.sorted = slices.SortedFunc(maps.Keys(ps.members), comparePatterns)
	return ps
}

// functionOf returns a function of p that no longer pattern of the set matches; such patterns may leave none.
func (ps *patternSet) functionOf(p Pattern) (key uint64, ok bool) {
	if !ps.ancestors[p] {
		return p.Prefix, true
	}
	for d := range 16 {
		if c := p.child(d); !ps.members[c] {
			if key, ok := ps.functionOf(c); ok {
				return key, true
			}
		}
	}
	return 0, false
}

func comparePatterns(a, b Pattern) int {
	return cmp.Or(cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.Digits, b.Digits))
}

// outermostWithin returns the set's patterns that are longer than p, within it, and wanted; of those within each other the
// outermost alone.
func (ps *patternSet) outermostWithin(p Pattern, wanted func(Pattern) bool) (list []Pattern) {
	i, found := slices.BinarySearchFunc(ps.sorted, p, comparePatterns)
	if found {
		i++
	}
	for ; i < len(ps.sorted) && ps.sorted[i].within(p); i++ {
		if q := ps.sorted[i]; wanted(q) && (len(list) == 0 || !q.within(list[len(list)-1])) {
			list = append(list, q)
		}
	}
	return list
}

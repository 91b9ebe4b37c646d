package route

import (
	"fmt"
	"slices"
)

// requestBox is a product of sets of indexes, one set for each axis.
type requestBox [axisCount][]int

// mergeOrder is the order of the axes along which boxes are merged. It determines how regions read.
var mergeOrder = [...]axis{classAxis, frontAxis, tenantAxis, patternAxis}

// regions covers the points by regions, no point twice.
func (s *requestSpace) regions(points []requestPoint) []Region {
	boxes := make([]requestBox, len(points))
	for i, p := range points {
		for a, index := range p {
			boxes[i][a] = []int{index}
		}
	}
	for _, along := range mergeOrder {
		boxes = mergeBoxes(boxes, along)
	}
	var regions []Region
	for _, b := range boxes {
		regions = append(regions, s.region(b))
	}
	return regions
}

// mergeBoxes merges the boxes that differ along one axis alone.
func mergeBoxes(boxes []requestBox, along axis) []requestBox {
	var merged []requestBox
	indexes := map[string]int{}
	for _, b := range boxes {
		key := b.keyWithout(along)
		index, ok := indexes[key]
		if !ok {
			indexes[key] = len(merged)
			merged = append(merged, b)
			continue
		}
		merged[index][along] = append(merged[index][along], b[along]...)
	}
	for _, b := range merged {
		slices.Sort(b[along])
	}
	return merged
}

// keyWithout returns text that is the same for boxes that differ along one axis alone.
func (b requestBox) keyWithout(along axis) string {
	b[along] = nil
	return fmt.Sprint(b)
}

// region returns the requests of a box.
func (s *requestSpace) region(b requestBox) Region {
	r := Region{
		Functions:   s.functionSets(b[patternAxis]),
		AnyClass:    len(b[classAxis]) == s.classCount(),
		AnyFunction: len(b[patternAxis]) == len(s.patterns),
		Example:     s.example(b),
	}
	for _, front := range b[frontAxis] {
		r.Fronts = append(r.Fronts, Front(front))
	}
	for _, class := range b[classAxis] {
		r.Classes = append(r.Classes, s.className(class))
	}
	s.setTenants(&r, b[tenantAxis])
	return r
}

// example returns the first request of a box, preferably one without a tenant.
func (s *requestSpace) example(b requestBox) Example {
	var first requestPoint
	for a, indexes := range b {
		first[a] = indexes[0]
	}
	first[tenantAxis] = slices.Max(b[tenantAxis])
	return Example{Request: s.request(first), Class: s.className(first[classAxis])}
}

// functionSets returns the functions of which one of these patterns is the longest that matches.
func (s *requestSpace) functionSets(patterns []int) []FunctionSet {
	included := map[Pattern]bool{}
	for _, p := range patterns {
		included[s.patterns[p]] = true
	}
	var sets []FunctionSet
	for _, p := range patterns {
		pattern := s.patterns[p]
		except := s.patternSet.outermostWithin(pattern, func(q Pattern) bool { return !included[q] })
		sets = append(sets, FunctionSet{Pattern: pattern, Except: except})
	}
	return sets
}

// setTenants sets a region's tenants, once its fronts are set.
func (s *requestSpace) setTenants(r *Region, tenants []int) {
	for index, name := range s.tenants {
		if slices.Contains(tenants, index) {
			r.Tenants = append(r.Tenants, name)
		} else {
			r.ExceptTenants = append(r.ExceptTenants, name)
		}
	}
	r.OtherTenant = slices.Contains(tenants, s.anyOtherTenant())
	onlyThrift := slices.Equal(r.Fronts, []Front{Thrift})
	r.AnyTenant = onlyThrift || len(tenants) == len(s.tenants)+1
}

package route

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// axis is a property by which tables tell requests apart.
type axis int

// The axes. The index of a point on an axis is a Front, or an index into the classes, patterns or tenants of a
// requestSpace.
const (
	frontAxis axis = iota
	classAxis
	patternAxis // the longest pattern that matches the function
	tenantAxis
	axisCount
)

// requestPoint has an index on each axis. It represents all requests with these indexes, which the tables of a
// requestSpace can't tell apart.
type requestPoint [axisCount]int

// pointRequest returns one of the requests that a point represents.
func (s *requestSpace) pointRequest(p requestPoint) Request {
	r := Request{Front: Front(p[frontAxis]), Class: p[classAxis], Function: s.functions[p[patternAxis]]}
	if tenant := p[tenantAxis]; tenant != s.otherTenantIndex() {
		r.Tenant = s.tenants[tenant]
	}
	return r
}

// points returns all points in the order of pattern, tenant, class and front. There are no points for Thrift with a
// named tenant, because requests by Thrift name no tenant.
func (s *requestSpace) points() []requestPoint {
	var points []requestPoint
	for pattern := range s.patterns {
		for tenant := s.otherTenantIndex(); tenant >= 0; tenant-- {
			for class := range s.classCount() {
				if tenant == s.otherTenantIndex() {
					points = append(points, requestPoint{int(Thrift), class, pattern, tenant})
				}
				points = append(points, requestPoint{int(Webhook), class, pattern, tenant})
			}
		}
	}
	return points
}

// referenceGroup is the set of requests with one key, in the order of their first points.
type referenceGroup struct {
	key     requestEffects
	regions []Region
}

// referenceGroups is the reference implementation of grouping: it classifies each point of the space in turn.
func referenceGroups(s *requestSpace, classify func(Request) (requestEffects, bool)) []referenceGroup {
	var keys []requestEffects
	points := map[requestEffects][]requestPoint{}
	for _, p := range s.points() {
		key, ok := classify(s.pointRequest(p))
		if !ok {
			continue
		}
		if points[key] == nil {
			keys = append(keys, key)
		}
		points[key] = append(points[key], p)
	}
	var groups []referenceGroup
	for _, key := range keys {
		groups = append(groups, referenceGroup{key, s.referenceRegions(points[key])})
	}
	return groups
}

// referenceBox is a set of points of a requestSpace: all combinations of one index from the set of each axis.
type referenceBox [axisCount][]int

// mergeOrder is the order of the axes along which boxes are merged. It determines the wording of regions: classes are
// merged into one list first, functions last.
var mergeOrder = [...]axis{classAxis, frontAxis, tenantAxis, patternAxis}

// coverPoints covers the points with few boxes that don't overlap. Each point starts as its own box.
func coverPoints(points []requestPoint) []referenceBox {
	boxes := make([]referenceBox, len(points))
	for i, p := range points {
		for a, index := range p {
			boxes[i][a] = []int{index}
		}
	}
	for _, along := range mergeOrder {
		boxes = mergeBoxes(boxes, along)
	}
	return boxes
}

// mergeBoxes merges the boxes that differ along only this axis.
func mergeBoxes(boxes []referenceBox, along axis) []referenceBox {
	var merged []referenceBox
	indexes := map[string]int{} // indexes in merged, by keyWithout
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

// keyWithout returns text that is equal for boxes that differ along only this axis.
func (b referenceBox) keyWithout(along axis) string {
	b[along] = nil
	return fmt.Sprint(b)
}

// examplePoint returns the first point of a box, without a tenant if the box has such a point.
func (b referenceBox) examplePoint() requestPoint {
	var point requestPoint
	for a, indexes := range b {
		point[a] = indexes[0]
	}
	point[tenantAxis] = slices.Max(b[tenantAxis]) // the last index is for requests without a named tenant
	return point
}

// referenceRegions covers the points with regions that don't overlap.
func (s *requestSpace) referenceRegions(points []requestPoint) []Region {
	var regions []Region
	for _, b := range coverPoints(points) {
		regions = append(regions, s.referenceRegion(b))
	}
	return regions
}

// referenceRegion describes the requests of a box as a Region.
func (s *requestSpace) referenceRegion(b referenceBox) Region {
	r := Region{
		AnyClass:    len(b[classAxis]) == s.classCount(),
		Functions:   s.functionSets(indexes32(b[patternAxis])),
		AnyFunction: len(b[patternAxis]) == len(s.patterns),
		Example:     s.pointExample(b.examplePoint()),
	}
	for _, front := range b[frontAxis] {
		r.Fronts = append(r.Fronts, Front(front))
	}
	for _, class := range b[classAxis] {
		r.Classes = append(r.Classes, s.className(class))
	}
	r.Tenants = s.referenceTenantSet(b[tenantAxis])
	if slices.Equal(r.Fronts, []Front{Thrift}) {
		r.Tenants.Any = true // requests by Thrift name no tenant, so the region needs no tenant condition
	}
	return r
}

// pointExample returns one request of a point, with the name of its class.
func (s *requestSpace) pointExample(p requestPoint) Example {
	return Example{Request: s.pointRequest(p), Class: s.className(p[classAxis])}
}

// referenceTenantSet returns the tenants at these indexes of the tenant axis.
func (s *requestSpace) referenceTenantSet(tenants []int) TenantSet {
	set := TenantSet{
		Any:    len(tenants) == len(s.tenants)+1,
		Others: slices.Contains(tenants, s.otherTenantIndex()),
	}
	for index, name := range s.tenants {
		if slices.Contains(tenants, index) {
			set.Names = append(set.Names, name)
		} else {
			set.Except = append(set.Except, name)
		}
	}
	return set
}

// indexes32 converts a list of indexes.
func indexes32(list []int) []int32 {
	var converted []int32
	for _, index := range list {
		converted = append(converted, int32(index))
	}
	return converted
}

// referenceChanges returns the changes of requests between two tables, by the reference implementation.
func referenceChanges(old, updated *Table, otherClasses bool) []Change {
	c := newTableComparison(old, updated, notIdempotent, 0)
	firstRequests := map[requestEffects]Request{}
	groups := referenceGroups(newRequestSpace(otherClasses, &workLimit{}, old, updated), func(r Request) (requestEffects, bool) {
		effects := c.requestEffects(old.Match(r), updated.Match(r), r.Class < len(notIdempotent) && notIdempotent[r.Class])
		if _, ok := firstRequests[effects]; !ok {
			firstRequests[effects] = r
		}
		return effects, effects.before != effects.after
	})
	var changes []Change
	for _, group := range groups {
		first := firstRequests[group.key]
		changes = append(changes, Change{group.regions, group.key.before, group.key.after,
			old.Match(first).position(), updated.Match(first).position()})
	}
	return changes
}

// referenceUnmatched returns the regions of the requests that no route matches, by the reference implementation.
func referenceUnmatched(table *Table, otherClasses bool) []Region {
	groups := referenceGroups(newRequestSpace(otherClasses, &workLimit{}, table), func(r Request) (requestEffects, bool) {
		return requestEffects{}, table.Match(r) == nil
	})
	if len(groups) == 0 {
		return nil
	}
	return groups[0].regions
}

// drawManyRoutes draws a spec like drawSpec, with more routes, tenants and nested patterns. The routes of all sixteen
// patterns within another one may cover it.
func drawManyRoutes(t *rapid.T) *Spec {
	s := drawSpec(t)
	for i := range rapid.IntRange(0, 8).Draw(t, "more routes") {
		r := drawRoute(t, fmt.Sprint("m", i))
		r.Tenants = rapid.SampledFrom([][]string{nil, {"a"}, {"b", "c"}, {"a", "b", "c", "d"}, {"d", "e"}, {"east"}}).Draw(t, "tenants")
		if rapid.Bool().Draw(t, "other functions") {
			r.Functions = nil
			for range rapid.IntRange(1, 4).Draw(t, "functions") {
				digits := rapid.IntRange(1, 4).Draw(t, "digits")
				prefix := rapid.SampledFrom([]uint64{0x7f3a, 0x7f3b, 0x7fff, 0x7000}).Draw(t, "prefix") << 48
				r.Functions = append(r.Functions, Pattern{Prefix: prefix & prefixMask(digits), Digits: digits})
			}
		}
		s.Routes = append(s.Routes, r)
	}
	if rapid.IntRange(0, 3).Draw(t, "cover") == 0 {
		for digit := range 16 {
			cover := RouteSpec{Name: fmt.Sprint("cover", digit), Pool: "b", Functions: []Pattern{{Prefix: 0x7f<<56 | uint64(digit)<<52, Digits: 3}}}
			if digit%3 == 0 {
				cover.Classes = classes[:1]
			}
			s.Routes = append(s.Routes, cover)
		}
	}
	return s
}

// Diff and UnmatchedRegions describe the same requests in the same words and the same order as the reference
// implementation, which looks at every combination of pattern, tenant, class and front.
func TestRegionsEqualThoseOfTheReference(t *testing.T) {
	compared := 0
	rapid.Check(t, func(t *rapid.T) {
		draw := drawSpec
		if rapid.Bool().Draw(t, "many routes") {
			draw = drawManyRoutes
		}
		old := draw(t)
		oldTable, err := Compile(old, classes)
		if err != nil {
			return
		}
		otherClasses := rapid.Bool().Draw(t, "other classes")
		unmatched, complete := oldTable.UnmatchedRegions(otherClasses)
		if want := referenceUnmatched(oldTable, otherClasses); !complete || fmt.Sprintf("%+v", unmatched) != fmt.Sprintf("%+v", want) {
			t.Fatalf("complete: %v, unmatched\n%+v, want\n%+v", complete, unmatched, want)
		}
		updated := draw(t)
		if rapid.Bool().Draw(t, "mutated") {
			updated = drawMutation(t, old).spec
		}
		newTable, err := Compile(updated, classes)
		if err != nil {
			return
		}
		changes := Diff(oldTable, newTable, notIdempotent, otherClasses)
		changes = slices.DeleteFunc(changes, func(c Change) bool { return len(c.Regions) == 0 })
		want := referenceChanges(oldTable, newTable, otherClasses)
		if fmt.Sprintf("%+v", changes) != fmt.Sprintf("%+v", want) {
			t.Fatalf("changes\n%+v, want\n%+v", changes, want)
		}
		compared += len(want)
	})
	if compared < 100 {
		t.Errorf("only %d changes were compared, want at least 100", compared)
	}
}

package route

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The boxes contain exactly the given points, each of them once.
func TestCoverPointsCoversEachPointOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := map[requestPoint]bool{}
		var points []requestPoint
		for range rapid.IntRange(0, 40).Draw(t, "points") {
			var p requestPoint
			for a := range p {
				p[a] = rapid.IntRange(0, 2).Draw(t, "index")
			}
			if !drawn[p] {
				drawn[p] = true
				points = append(points, p)
			}
		}
		boxes := coverPoints(points)
		for _, p := range allPoints() {
			containing := 0
			for _, b := range boxes {
				if b.contains(p) {
					containing++
				}
			}
			if drawn[p] && containing != 1 || !drawn[p] && containing != 0 {
				t.Fatalf("point %v, drawn: %v, is in %d boxes", p, drawn[p], containing)
			}
		}
		for _, b := range boxes {
			if !b.contains(b.examplePoint()) {
				t.Fatalf("box %v does not contain its example %v", b, b.examplePoint())
			}
		}
	})
	if all := coverPoints(allPoints()); len(all) != 1 {
		t.Errorf("all points together give %d boxes, want 1", len(all))
	}
}

// contains reports whether a point is in the box.
func (b referenceBox) contains(p requestPoint) bool {
	for a, index := range p {
		if !slices.Contains(b[a], index) {
			return false
		}
	}
	return true
}

// allPoints returns all points of axes with three indexes each.
func allPoints() []requestPoint {
	points := []requestPoint{{}}
	for a := range points[0] {
		var next []requestPoint
		for _, p := range points {
			for index := range 3 {
				p[a] = index
				next = append(next, p)
			}
		}
		points = next
	}
	return points
}

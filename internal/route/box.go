package route

import (
	"fmt"
	"slices"
)

// requestBox is a set of points of a requestSpace: all combinations of one index from the set of each axis.
type requestBox [axisCount][]int

// mergeOrder is the order of the axes along which boxes are merged. It determines the wording of regions: classes are
// merged into one list first, functions last.
var mergeOrder = [...]axis{classAxis, frontAxis, tenantAxis, patternAxis}

// coverPoints covers the points with few boxes that don't overlap. Each point starts as its own box.
func coverPoints(points []requestPoint) []requestBox {
	boxes := make([]requestBox, len(points))
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
func mergeBoxes(boxes []requestBox, along axis) []requestBox {
	var merged []requestBox
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
func (b requestBox) keyWithout(along axis) string {
	b[along] = nil
	return fmt.Sprint(b)
}

// examplePoint returns the first point of a box, without a tenant if the box has such a point.
func (b requestBox) examplePoint() requestPoint {
	var point requestPoint
	for a, indexes := range b {
		point[a] = indexes[0]
	}
	point[tenantAxis] = slices.Max(b[tenantAxis]) // the last index is for requests without a named tenant
	return point
}

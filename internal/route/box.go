package route

import (
	"fmt"
	"slices"
)

// requestBox is a set of points of a requestSpace: all combinations of one index out of each axis's set.
type requestBox [axisCount][]int

// mergeOrder is the order of the axes along which boxes are merged. It determines how regions read: classes are listed
// together first, functions last.
var mergeOrder = [...]axis{classAxis, frontAxis, tenantAxis, patternAxis}

// coverPoints covers points by few boxes, no point twice. Each point begins as a box of its own.
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

// mergeBoxes merges the boxes that differ along one axis alone.
func mergeBoxes(boxes []requestBox, along axis) []requestBox {
	var merged []requestBox
	indexes := map[string]int{} // in merged, by keyWithout
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

// examplePoint returns the first point of a box, preferably one without a tenant.
func (b requestBox) examplePoint() requestPoint {
	var point requestPoint
	for a, indexes := range b {
		point[a] = indexes[0]
	}
	point[tenantAxis] = slices.Max(b[tenantAxis]) // the last index is of requests without a named tenant
	return point
}

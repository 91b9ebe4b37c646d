package lang

import (
	"slices"
	"strings"

	"crankhold/internal/route"
)

// selectorType is the type of blocks that select workers. A worker must meet all settings of a selector; a pool has the
// workers that match any of its selectors.
var selectorType = &blockType{
	keyword: "workers",
	settings: map[string]settingType{
		idSetting:            listOf(readText),
		kindSetting:          listOf(readText),
		zoneSetting:          listOf(readText),
		cellSetting:          listOf(readCount(0)),
		memoryAtLeastSetting: single(readMemory),
	},
	nested: []*blockType{labelsType},
}

// newSelector returns the selector that a block describes.
func newSelector(b *block) route.Selector {
	s := route.Selector{
		IDs:      b.texts(idSetting),
		Kinds:    b.texts(kindSetting),
		Zones:    b.texts(zoneSetting),
		MemoryMB: b.value(memoryAtLeastSetting).number,
	}
	for _, cell := range b.values(cellSetting) {
		s.Cells = append(s.Cells, cell.count)
	}
	for _, labels := range b.nested {
		for _, label := range labels.settings.list {
			if len(label.values) > 0 {
				s.Labels = append(s.Labels, route.Label{Name: label.name, Values: labels.texts(label.name)})
			}
		}
	}
	slices.SortFunc(s.Labels, func(a, b route.Label) int { return strings.Compare(a.Name, b.Name) })
	return s
}

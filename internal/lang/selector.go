package lang

import (
	"fmt"
	"slices"
	"strings"

	"crankhold/internal/route"
)

// selectorType selects the workers that meet all of its settings; a pool has the workers of any of its selectors.
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

func (c *checker) buildSelector(b *block) route.Selector {
	s := route.Selector{
		IDs:      b.texts(idSetting),
		Kinds:    b.texts(kindSetting),
		Zones:    b.texts(zoneSetting),
		MemoryMB: b.value(memoryAtLeastSetting).number,
	}
	for _, cell := range b.values[cellSetting] {
		s.Cells = append(s.Cells, cell.count)
	}
	for _, labels := range b.nested {
		for name := range labels.values {
			s.Labels = append(s.Labels, route.Label{Name: name, Values: labels.texts(name)})
		}
	}
	slices.SortFunc(s.Labels, func(a, b route.Label) int { return strings.Compare(a.Name, b.Name) })
	if len(b.positions) == 0 && len(s.Labels) == 0 {
		c.report.fault(b, b.pos, "workers picks nothing out: leave the block away for all workers")
	}
	return s
}

// unsatisfiable returns why no worker can match a selector, or "" where one may.
func (c *checker) unsatisfiable(s route.Selector) string {
	if reason := c.excludedByPlatform(s); reason != "" {
		return reason
	}
	matched, mismatchOfNamed := c.matchWorkerBlocks(s)
	if matched {
		return ""
	}
	if len(s.Labels) > 0 {
		return c.missingLabel(s)
	}
	if c.namesOnlyWorkerBlocks(s) {
		return mismatchOfNamed
	}
	if s.MemoryMB > 0 {
		return c.insufficientMemory(s)
	}
	return ""
}

// excludedByPlatform returns why the platform has no worker of the selector's kinds or zones, or "".
func (c *checker) excludedByPlatform(s route.Selector) string {
	if c.platform == nil {
		return ""
	}
	for _, condition := range []struct {
		name           string
		wanted, exists []string
	}{
		{"kind", s.Kinds, c.platform.Kinds},
		{"zone", s.Zones, c.platform.Zones},
	} {
		if len(condition.exists) == 0 || len(condition.wanted) == 0 {
			continue
		}
		if !slices.ContainsFunc(condition.wanted, func(pattern string) bool { return matchesAnyOf(pattern, condition.exists) }) {
			return fmt.Sprintf("the platform has no %s %s, but %s", condition.name, strings.Join(condition.wanted, " or "), strings.Join(condition.exists, ", "))
		}
	}
	return ""
}

// matchWorkerBlocks reports whether a worker block matches the selector. Where none does, it returns why the last one
// that the selector names by id does not, or "".
func (c *checker) matchWorkerBlocks(s route.Selector) (matched bool, mismatchOfNamed string) {
	for _, w := range c.result.Spec.Workers {
		reason := mismatch(s, w)
		if reason == "" {
			return true, ""
		}
		if len(s.IDs) > 0 && (route.Selector{IDs: s.IDs}).Matches(w) {
			mismatchOfNamed = fmt.Sprintf("worker %q %s", w.Name, reason)
		}
	}
	return false, mismatchOfNamed
}

// missingLabel returns which of the selector's labels no worker block gives. No other workers have any labels.
func (c *checker) missingLabel(s route.Selector) string {
	for _, label := range s.Labels {
		given := slices.ContainsFunc(c.result.Spec.Workers, func(w route.Worker) bool { return slices.Contains(label.Values, w.Labels[label.Name]) })
		if !given {
			return fmt.Sprintf("no worker block gives the label %s = %s", label.Name, strings.Join(label.Values, " or "))
		}
	}
	return "no worker block fits all of it"
}

// namesOnlyWorkerBlocks reports whether the selector names workers by id, and all of them have worker blocks.
func (c *checker) namesOnlyWorkerBlocks(s route.Selector) bool {
	if len(s.IDs) == 0 {
		return false
	}
	return !slices.ContainsFunc(s.IDs, func(id string) bool {
		return strings.HasSuffix(id, "*") || !slices.ContainsFunc(c.result.Spec.Workers, func(w route.Worker) bool { return w.Name == id })
	})
}

// insufficientMemory returns why no worker has the memory that the selector asks for, or "" where one may.
func (c *checker) insufficientMemory(s route.Selector) string {
	if c.platform == nil || len(c.platform.KindMemoryMB) == 0 {
		return "no worker block tells of so much memory" // and nothing else does
	}
	largest := 0.0
	for kind, memoryMB := range c.platform.KindMemoryMB {
		if (route.Selector{Kinds: s.Kinds}).Matches(route.Worker{Kind: kind}) {
			largest = max(largest, memoryMB)
		}
	}
	if largest < s.MemoryMB {
		return fmt.Sprintf("the platform's workers of that kind have %.6gMB at most", largest)
	}
	return ""
}

// mismatch returns which condition of a selector a worker block contradicts, or "". What the block leaves open may
// match.
func mismatch(s route.Selector, w route.Worker) string {
	switch {
	case !(route.Selector{IDs: s.IDs}).Matches(w):
		return "has another id"
	case w.Kind != "" && !(route.Selector{Kinds: s.Kinds}).Matches(w):
		return fmt.Sprintf("is of kind %s", w.Kind)
	case w.Zone != "" && !(route.Selector{Zones: s.Zones}).Matches(w):
		return fmt.Sprintf("is in zone %s", w.Zone)
	case w.Cell != route.UnknownCell && !(route.Selector{Cells: s.Cells}).Matches(w):
		return fmt.Sprintf("is in cell %d", w.Cell)
	case w.MemoryMB > 0 && w.MemoryMB < s.MemoryMB:
		return fmt.Sprintf("has %.6gMB", w.MemoryMB)
	case !(route.Selector{Labels: s.Labels}).Matches(w):
		return "has other labels"
	}
	return ""
}

// matchesAnyOf reports whether a pattern, with or without a star at its end, matches one of the names.
func matchesAnyOf(pattern string, names []string) bool {
	selector := route.Selector{IDs: []string{pattern}}
	return slices.ContainsFunc(names, func(name string) bool { return selector.Matches(route.Worker{Name: name}) })
}

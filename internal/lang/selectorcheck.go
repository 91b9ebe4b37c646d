package lang

import (
	"fmt"
	"slices"
	"strings"

	"crankhold/internal/endpoint"
	"crankhold/internal/route"
)

// selectorChecker finds selectors that no worker can match, according to the platform's settings and the worker blocks.
type selectorChecker struct {
	platform *Platform                  // nil: unknown
	workers  []route.Worker             // from worker blocks
	byName   map[endpoint.NameKey][]int // indexes in workers
	labels   map[labelValue]bool        // that some worker has
	possible *route.PossibleWorkers
	reasons  map[string]string // results of unsatisfiableReason, by selector
}

// labelValue is a label with its value.
type labelValue struct{ name, value string }

// newSelectorChecker returns a checker for all selectors of a configuration.
func newSelectorChecker(platform *Platform, workers []route.Worker) *selectorChecker {
	c := &selectorChecker{
		platform: platform,
		workers:  workers,
		byName:   map[endpoint.NameKey][]int{},
		labels:   map[labelValue]bool{},
		possible: route.NewPossibleWorkers(workers),
		reasons:  map[string]string{},
	}
	for i, w := range workers {
		c.byName[endpoint.KeyOf(w.Name)] = append(c.byName[endpoint.KeyOf(w.Name)], i)
		for name, value := range w.Labels {
			c.labels[labelValue{name, value}] = true
		}
	}
	return c
}

// unsatisfiableReason returns why no worker can match a selector, or "" if some worker may. Pools often have equal
// selectors, which are checked once.
func (c *selectorChecker) unsatisfiableReason(s route.Selector) string {
	key := fmt.Sprintf("%#v", s)
	reason, ok := c.reasons[key]
	if !ok {
		reason = c.findReason(s)
		c.reasons[key] = reason
	}
	return reason
}

// findReason computes unsatisfiableReason.
func (c *selectorChecker) findReason(s route.Selector) string {
	if reason := c.platformMismatch(s); reason != "" {
		return reason
	}
	switch {
	case c.possible.MayMatch(s):
		return ""
	case len(s.Labels) > 0:
		return c.missingLabel(s)
	case c.namesOnlyWorkerBlocks(s):
		return c.namedWorkerMismatch(s)
	case s.MemoryMB > 0:
		return c.insufficientMemory(s)
	default:
		return ""
	}
}

// platformMismatch returns why the platform has no worker of the selector's kinds or zones. It returns "" if the
// platform has these kinds and zones, or if those of the platform are unknown.
func (c *selectorChecker) platformMismatch(s route.Selector) string {
	if c.platform == nil {
		return ""
	}
	for _, property := range []struct {
		name     string
		wanted   []string
		existing []string // empty: unknown
		matches  func(pattern, name string) bool
	}{
		{"kind", s.Kinds, c.platform.Kinds, matchesKind},
		{"zone", s.Zones, c.platform.Zones, matchesZone},
	} {
		if len(property.existing) == 0 || len(property.wanted) == 0 {
			continue
		}
		exists := func(pattern string) bool {
			matchesPattern := func(name string) bool { return property.matches(pattern, name) }
			return slices.ContainsFunc(property.existing, matchesPattern)
		}
		if !slices.ContainsFunc(property.wanted, exists) {
			return fmt.Sprintf("the platform has no %s %s, but %s", property.name,
				strings.Join(property.wanted, " or "), strings.Join(property.existing, ", "))
		}
	}
	return ""
}

// namedWorkerMismatch returns why the last worker block that a selector names by id does not match. Each of its ids
// must have a block, and none of these may match.
func (c *selectorChecker) namedWorkerMismatch(s route.Selector) string {
	last := 0
	for _, id := range s.IDs {
		last = max(last, slices.Max(c.byName[endpoint.KeyOf(id)]))
	}
	w := c.workers[last]
	return fmt.Sprintf("worker %q %s", w.Name, mismatch(s, w))
}

// namesExactly reports whether ids are names without stars, at least one.
func namesExactly(ids []string) bool {
	hasStar := func(id string) bool { return strings.HasSuffix(id, "*") }
	return len(ids) > 0 && !slices.ContainsFunc(ids, hasStar)
}

// missingLabel returns which of the selector's labels is missing from all worker blocks. Workers without a worker block
// have no labels.
func (c *selectorChecker) missingLabel(s route.Selector) string {
	for _, label := range s.Labels {
		isGiven := func(value string) bool { return c.labels[labelValue{label.Name, value}] }
		if !slices.ContainsFunc(label.Values, isGiven) {
			wanted := strings.Join(label.Values, " or ")
			return fmt.Sprintf("no worker block gives the label %s = %s", label.Name, wanted)
		}
	}
	return "no worker block fits all of it"
}

// namesOnlyWorkerBlocks reports whether the selector names workers by id, each of which has a worker block.
func (c *selectorChecker) namesOnlyWorkerBlocks(s route.Selector) bool {
	hasNoBlock := func(id string) bool { return len(c.byName[endpoint.KeyOf(id)]) == 0 }
	return namesExactly(s.IDs) && !slices.ContainsFunc(s.IDs, hasNoBlock)
}

// insufficientMemory returns why no worker has the memory that the selector requires, or "" if some worker may.
func (c *selectorChecker) insufficientMemory(s route.Selector) string {
	if c.platform == nil || len(c.platform.KindMemoryMB) == 0 {
		return "no worker block tells of so much memory" // in this case, only worker blocks give the memory of workers
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

// mismatch returns which condition of a selector a worker block does not meet, or "" if it meets all.
func mismatch(s route.Selector, w route.Worker) string {
	s = withoutUnknownProperties(s, w)
	switch {
	case !(route.Selector{IDs: s.IDs}).Matches(w):
		return "has another id"
	case !(route.Selector{Kinds: s.Kinds}).Matches(w):
		return fmt.Sprintf("is of kind %s", w.Kind)
	case !(route.Selector{Zones: s.Zones}).Matches(w):
		return fmt.Sprintf("is in zone %s", w.Zone)
	case !(route.Selector{Cells: s.Cells}).Matches(w):
		cell, _ := w.Cell.Index()
		return fmt.Sprintf("is in cell %d", cell)
	case w.MemoryMB < s.MemoryMB:
		return fmt.Sprintf("has %.6gMB", w.MemoryMB)
	case !(route.Selector{Labels: s.Labels}).Matches(w):
		return "has other labels"
	}
	return ""
}

// withoutUnknownProperties returns a selector without the conditions on properties that a worker block leaves open,
// because discovery may report a value that fits. Conditions on labels stay, because only worker blocks give labels.
func withoutUnknownProperties(s route.Selector, w route.Worker) route.Selector {
	if w.Kind == "" {
		s.Kinds = nil
	}
	if w.Zone == "" {
		s.Zones = nil
	}
	if !w.Cell.IsKnown() {
		s.Cells = nil
	}
	if w.MemoryMB == 0 {
		s.MemoryMB = 0
	}
	return s
}

// matchesKind reports whether a pattern, with or without a star at its end, matches the name of a kind.
func matchesKind(pattern, name string) bool {
	return route.Selector{Kinds: []string{pattern}}.Matches(route.Worker{Kind: name})
}

// matchesZone reports whether a pattern, with or without a star at its end, matches the name of a zone.
func matchesZone(pattern, name string) bool {
	return route.Selector{Zones: []string{pattern}}.Matches(route.Worker{Zone: name})
}

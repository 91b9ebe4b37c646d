package route

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// Selector selects the workers that meet all of its conditions. A worker meets a condition if any value of the list
// matches, or if the list is empty. A value of IDs, Kinds and Zones that ends in * is a prefix. IDs and Zones are
// compared as DNS compares names.
type Selector struct {
	IDs      []string
	Kinds    []string
	Zones    []string
	Cells    []int
	MemoryMB float64 // minimum
	Labels   []Label
}

// Label is a label's name and the values that match.
type Label struct {
	Name   string
	Values []string
}

// Matches reports whether the worker meets all conditions.
func (s Selector) Matches(w Worker) bool {
	for _, label := range s.Labels {
		value, ok := w.Labels[label.Name]
		if !ok || !slices.Contains(label.Values, value) {
			return false
		}
	}
	return matchesAnyName(s.IDs, w.Name) &&
		matchesAny(s.Kinds, w.Kind) &&
		matchesAnyName(s.Zones, w.Zone) &&
		w.MemoryMB >= s.MemoryMB &&
		s.matchesCell(w.Cell)
}

// matchesCell reports whether the selector names a cell, or names none. A cell that isn't known matches no name.
func (s Selector) matchesCell(cell policy.Group) bool {
	index, known := cell.Index()
	return len(s.Cells) == 0 || known && slices.Contains(s.Cells, index)
}

// matchesAnyName is matchesAny for names of workers and zones, which are compared as DNS compares them.
func matchesAnyName(patterns []string, name string) bool {
	if len(patterns) == 0 {
		return true
	}
	key := string(endpoint.KeyOf(name))
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		return matches(string(endpoint.KeyOf(pattern)), key)
	})
}

// matchesAny reports whether one of the patterns equals the name or, if it ends in *, is a prefix of it. An empty list
// matches every name.
func matchesAny(patterns []string, name string) bool {
	if len(patterns) == 0 {
		return true
	}
	return slices.ContainsFunc(patterns, func(pattern string) bool { return matches(pattern, name) })
}

// matches reports whether the pattern equals the name or, if it ends in *, is a prefix of it.
func matches(pattern, name string) bool {
	prefix, star := strings.CutSuffix(pattern, "*")
	return pattern == name || star && strings.HasPrefix(name, prefix)
}

// String returns the selector's conditions in canonical order, so that equivalent selectors have the same text.
func (s Selector) String() string {
	var parts []string
	add := func(name string, values []string) {
		if len(values) > 0 {
			parts = append(parts, name+" "+strings.Join(sortedUnique(values), "|"))
		}
	}
	add("id", s.IDs)
	add("kind", s.Kinds)
	add("zone", s.Zones)
	var cells []string
	for _, cell := range s.Cells {
		cells = append(cells, strconv.Itoa(cell))
	}
	add("cell", cells)
	if s.MemoryMB > 0 {
		parts = append(parts, fmt.Sprintf("memory at least %.6g MB", s.MemoryMB))
	}
	labels := slices.Clone(s.Labels)
	slices.SortFunc(labels, func(a, b Label) int { return strings.Compare(a.Name, b.Name) })
	for _, label := range labels {
		add("label "+label.Name, label.Values)
	}
	if len(parts) == 0 {
		return "any"
	}
	return strings.Join(parts, " and ")
}

// sortedUnique returns a sorted copy of the list without duplicates.
func sortedUnique[T cmp.Ordered](list []T) []T {
	list = slices.Clone(list)
	slices.Sort(list)
	return slices.Compact(list)
}

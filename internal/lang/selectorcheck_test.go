package lang

import (
	"testing"

	"crankhold/internal/route"
	"crankhold/policy"
)

// A worker block that leaves a property open does not conflict with a condition on it, because discovery may report a
// value that fits.
func TestMismatchIgnoresUnsetProperties(t *testing.T) {
	known := route.Worker{Name: "s-1", Kind: "small", Cell: policy.KnownGroup(3), MemoryMB: 100, Labels: map[string]string{"rack": "r1"}}
	unknown := route.Worker{Name: "s-1"}
	for _, c := range []struct {
		selector       route.Selector
		wantForKnown   string
		wantForUnknown string
	}{
		{route.Selector{IDs: []string{"s-*"}}, "", ""},
		{route.Selector{IDs: []string{"s-2"}}, "has another id", "has another id"},
		{route.Selector{Kinds: []string{"large"}}, "is of kind small", ""},
		{route.Selector{Zones: []string{"east"}}, "", ""},
		{route.Selector{Cells: []int{4}}, "is in cell 3", ""},
		{route.Selector{MemoryMB: 200}, "has 100MB", ""},
		{route.Selector{Labels: []route.Label{{Name: "rack", Values: []string{"r2"}}}}, "has other labels", "has other labels"},
	} {
		if got := mismatch(c.selector, known); got != c.wantForKnown {
			t.Errorf("%v: known worker %q, want %q", c.selector, got, c.wantForKnown)
		}
		if got := mismatch(c.selector, unknown); got != c.wantForUnknown {
			t.Errorf("%v: unknown worker %q, want %q", c.selector, got, c.wantForUnknown)
		}
	}
}

package route

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"crankhold/policy"
)

// The index finds exactly the workers that a look at each worker finds. Guards against a pool that lacks a worker
// because its candidates were taken from the wrong condition.
func TestWorkerIndexFindsWhatSelectorsMatch(t *testing.T) {
	names := []string{"s-1", "S-2", "s-10", "T-1", "é-1", "É-1"}
	kinds := []string{"std", "STD", "large"}
	zones := []string{"dc1", "DC1", "dc2", ""}
	patterns := func(t *rapid.T, values []string, label string) []string {
		values = append(values, "s*", "DC*", "*", "st*")
		return rapid.SliceOfN(rapid.SampledFrom(values), 0, 2).Draw(t, label)
	}
	rapid.Check(t, func(t *rapid.T) {
		var workers []Worker
		for i := range rapid.IntRange(0, 8).Draw(t, "workers") {
			w := Worker{
				ID:       policy.WorkerID(i + 1),
				Name:     rapid.SampledFrom(names).Draw(t, "name"),
				Kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
				Zone:     rapid.SampledFrom(zones).Draw(t, "zone"),
				MemoryMB: float64(rapid.IntRange(0, 2).Draw(t, "memory")),
			}
			if cell := rapid.IntRange(-1, 1).Draw(t, "cell"); cell >= 0 {
				w.Cell = policy.KnownGroup(cell)
			}
			if rapid.Bool().Draw(t, "labeled") {
				w.Labels = map[string]string{"rack": fmt.Sprint(i % 2)}
			}
			workers = append(workers, w)
		}
		var selectors []Selector
		for range rapid.IntRange(0, 2).Draw(t, "selectors") {
			s := Selector{
				IDs:      patterns(t, names, "ids"),
				Kinds:    patterns(t, kinds, "kinds"),
				Zones:    patterns(t, zones, "zones"),
				Cells:    rapid.SliceOfN(rapid.IntRange(0, 1), 0, 1).Draw(t, "cells"),
				MemoryMB: float64(rapid.IntRange(0, 2).Draw(t, "memory")),
			}
			if rapid.Bool().Draw(t, "label") {
				s.Labels = []Label{{"rack", rapid.SliceOfN(rapid.SampledFrom([]string{"0", "1"}), 1, 2).Draw(t, "values")}}
			}
			selectors = append(selectors, s)
		}
		members := newWorkerIndex(workers).members(selectors)
		for _, w := range workers {
			want := len(selectors) == 0
			for _, s := range selectors {
				want = want || s.Matches(w)
			}
			if members[w.ID] != want {
				t.Fatalf("worker %+v: member %v, want %v", w, members[w.ID], want)
			}
		}
	})
}

// Pools and static entries find a worker and a zone by any spelling, because lists spell names as they like; kinds are
// no names of DNS. A worker whose cell isn't known is in no cell.
func TestNamesOfWorkersAndZonesHaveNoCase(t *testing.T) {
	s := &Spec{Workers: []Worker{{Name: "S-1", Labels: map[string]string{"rack": "r1"}}}}
	for name, selector := range map[string]Selector{
		"id":    {IDs: []string{"s-1"}},
		"ids":   {IDs: []string{"S-*"}},
		"zone":  {Zones: []string{"DC1"}},
		"label": {Labels: []Label{{"rack", []string{"r1"}}}},
		"kind":  {Kinds: []string{"STD"}},
		"cell":  {Cells: []int{0}},
	} {
		p := unlimitedPool(name)
		p.Selectors = []Selector{selector}
		s.Pools = append(s.Pools, p)
	}
	table := mustCompile(t, s)
	table.SetWorkers([]Worker{{ID: 1, Name: "s-1", Kind: "std", Zone: "dC1"}})
	for name, want := range map[string]bool{"id": true, "ids": true, "zone": true, "label": true, "kind": false, "cell": false} {
		if got := table.pool(name).Contains(1); got != want {
			t.Errorf("pool by %s: contains the worker: %v, want %v", name, got, want)
		}
	}
}

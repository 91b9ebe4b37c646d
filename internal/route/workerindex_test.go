package route

import (
	"fmt"
	"runtime"
	"slices"
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
		values = append(slices.Clone(values), "s*", "s-1*", "DC*", "*", "st*")
		return rapid.SliceOfN(rapid.SampledFrom(values), 0, 3).Draw(t, label)
	}
	rapid.Check(t, func(t *rapid.T) {
		var workers []Worker
		for i := range rapid.IntRange(0, 8).Draw(t, "workers") {
			w := Worker{
				ID:       policy.WorkerID(rapid.IntRange(1, i+1).Draw(t, "id")),
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
		want := map[policy.WorkerID]bool{}
		for _, w := range workers {
			matches := func(s Selector) bool { return s.Matches(w) }
			want[w.ID] = want[w.ID] || len(selectors) == 0 || slices.ContainsFunc(selectors, matches)
		}
		size := 0
		for id := range policy.WorkerID(10) {
			if members.contains(id) != want[id] {
				t.Fatalf("worker %d of %+v: member %v, want %v", id, workers, members.contains(id), want[id])
			}
			if want[id] {
				size++
			}
		}
		if members.size() != size {
			t.Fatalf("%d members, want %d", members.size(), size)
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

// A range of ordered entries is the same whether it is added one by one or between checkpoints.
func TestRangesOfOrderedEntriesAreWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5*minCheckpointInterval).Draw(t, "limit")
		all := make([]int32, limit)
		for i := range all {
			all[i] = int32(i)
		}
		order := rapid.Permutation(all).Draw(t, "order")[:rapid.IntRange(0, limit).Draw(t, "length")]
		entries := newOrderedEntries(limit, order)
		first := rapid.IntRange(0, len(order)).Draw(t, "first")
		last := rapid.IntRange(first, len(order)).Draw(t, "last")
		set := newBitSet(limit)
		entries.addRange(set, first, last)
		var got []int32
		set.each(func(entry int32) { got = append(got, entry) })
		if want := slices.Sorted(slices.Values(order[first:last])); !slices.Equal(got, want) {
			t.Fatalf("entries %v, want %v", got, want)
		}
	})
}

// distinctPools returns a table of pools, no two of which select workers by equal texts, and a list of workers.
func distinctPools(t testing.TB, pools, workers int, selector func(i int) Selector) (*Table, []Worker) {
	t.Helper()
	s := &Spec{Routes: []RouteSpec{{Name: "rest", Pool: "p0"}}}
	for i := range pools {
		p := unlimitedPool(fmt.Sprint("p", i))
		p.Selectors = []Selector{selector(i)}
		s.Pools = append(s.Pools, p)
	}
	var list []Worker
	for i := range workers {
		list = append(list, Worker{
			ID:       policy.WorkerID(i*7919 + 1),
			Name:     fmt.Sprintf("s-%04x", i),
			Zone:     fmt.Sprint("dc", i%2),
			Cell:     policy.KnownGroup(i % 500),
			MemoryMB: float64(8000 + i),
		})
	}
	return mustCompile(t, s), list
}

// byMemory returns a selector that matches all workers of distinctPools, differently for each pool.
func byMemory(i int) Selector { return Selector{MemoryMB: float64(1 + i)} }

// What the members of one more pool take in memory is about a bit for each worker. Guards against a new list of workers,
// or a reload, that takes the router over its memory and holds the event loop: each pool had a map of its workers.
func TestMembersOfPoolsTakeLittleMemory(t *testing.T) {
	const pools, workers = 1000, 1000
	allocated := func(pools int) uint64 {
		table, list := distinctPools(t, pools, workers, byMemory)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		table.SetWorkers(list)
		runtime.ReadMemStats(&after)
		for _, p := range table.Pools() {
			if p.Size() != workers {
				t.Fatalf("pool %s has %d workers, want %d", p.Spec.Name, p.Size(), workers)
			}
		}
		return after.TotalAlloc - before.TotalAlloc
	}
	const maxBytes = pools * workers // a byte for each pool and worker
	if added := allocated(2*pools) - allocated(pools); added > maxBytes {
		t.Errorf("%d bytes were allocated for %d further pools of %d workers each, want at most %d", added, pools, workers, maxBytes)
	}
}

// What a new list of workers costs with as many pools as the limits on a routes file allow.
func BenchmarkSetWorkers(b *testing.B) {
	const pools, workers = 3100, 5000
	for name, selector := range map[string]func(i int) Selector{
		"cell":   func(i int) Selector { return Selector{Cells: []int{i % 500, i}} },
		"memory": byMemory,
		"ids":    func(i int) Selector { return Selector{IDs: []string{"s-*", fmt.Sprint("x", i)}} },
		"zone":   func(i int) Selector { return Selector{Zones: []string{"dc*"}, MemoryMB: float64(8000 + i)} },
	} {
		b.Run(name, func(b *testing.B) {
			table, list := distinctPools(b, pools, workers, selector)
			b.ReportAllocs()
			for b.Loop() {
				table.SetWorkers(list)
			}
		})
	}
}

package route

import (
	"maps"
	"slices"
	"strings"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// workerIndex finds the workers that a selector matches without looking at each worker.
type workerIndex struct {
	workers []Worker
	all     []int32
	names   valueIndex
	kinds   valueIndex
	zones   valueIndex
	labels  map[labelValue][]int32 // indexes in workers
}

// labelValue is a label with its value.
type labelValue struct{ name, value string }

// newWorkerIndex indexes workers. Their properties must not change afterwards.
func newWorkerIndex(workers []Worker) *workerIndex {
	x := &workerIndex{workers: workers, labels: map[labelValue][]int32{}}
	for i, w := range workers {
		x.all = append(x.all, int32(i))
		for name, value := range w.Labels {
			key := labelValue{name, value}
			x.labels[key] = append(x.labels[key], int32(i))
		}
	}
	x.names = newValueIndex(workers, func(w Worker) string { return string(endpoint.KeyOf(w.Name)) })
	x.kinds = newValueIndex(workers, func(w Worker) string { return w.Kind })
	x.zones = newValueIndex(workers, func(w Worker) string { return string(endpoint.KeyOf(w.Zone)) })
	return x
}

// members returns the workers that one of the selectors matches; no selectors match all workers.
func (x *workerIndex) members(selectors []Selector) map[policy.WorkerID]bool {
	members := map[policy.WorkerID]bool{}
	if len(selectors) == 0 {
		selectors = []Selector{{}}
	}
	for _, s := range selectors {
		for _, i := range x.candidates(s) {
			if s.Matches(x.workers[i]) {
				members[x.workers[i].ID] = true
			}
		}
	}
	return members
}

// candidates returns workers among which are all that the selector matches: those that meet the condition that the
// fewest workers meet.
func (x *workerIndex) candidates(s Selector) []int32 {
	fewest := x.all
	keepFewer := func(candidates []int32) {
		if len(candidates) < len(fewest) {
			fewest = candidates
		}
	}
	if len(s.IDs) > 0 {
		keepFewer(x.names.matching(keysOf(s.IDs)))
	}
	if len(s.Kinds) > 0 {
		keepFewer(x.kinds.matching(s.Kinds))
	}
	if len(s.Zones) > 0 {
		keepFewer(x.zones.matching(keysOf(s.Zones)))
	}
	for _, label := range s.Labels {
		var candidates []int32
		for _, value := range label.Values {
			candidates = append(candidates, x.labels[labelValue{label.Name, value}]...)
		}
		keepFewer(candidates)
	}
	return fewest
}

// keysOf returns the keys of names or patterns of names.
func keysOf(names []string) []string {
	keys := make([]string, len(names))
	for i, name := range names {
		keys[i] = string(endpoint.KeyOf(name))
	}
	return keys
}

// valueIndex holds workers by the value of a property.
type valueIndex struct {
	values  []string           // sorted
	workers map[string][]int32 // by value
}

func newValueIndex(workers []Worker, value func(Worker) string) valueIndex {
	x := valueIndex{workers: map[string][]int32{}}
	for i, w := range workers {
		x.workers[value(w)] = append(x.workers[value(w)], int32(i))
	}
	x.values = slices.Sorted(maps.Keys(x.workers))
	return x
}

// matching returns the workers with a value that one of the patterns matches; see matchesAny. A worker may occur
// several times.
func (x *valueIndex) matching(patterns []string) []int32 {
	var workers []int32
	for _, pattern := range patterns {
		workers = append(workers, x.workers[pattern]...)
		prefix, star := strings.CutSuffix(pattern, "*")
		if !star {
			continue
		}
		first, _ := slices.BinarySearch(x.values, prefix)
		for _, value := range x.values[first:] {
			if !strings.HasPrefix(value, prefix) {
				break
			}
			workers = append(workers, x.workers[value]...)
		}
	}
	return workers
}

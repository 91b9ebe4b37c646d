package route

import (
	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// workerIndex finds the workers that selectors match, by the values of the workers' properties.
//
// Several entries of a list of workers may be of one worker. A selector has to match one of them as a whole.
type workerIndex struct {
	positions  map[policy.WorkerID]int32 // of the workers, in the order of their first entries
	position   []int32                   // by entry: that of its worker
	all        bitSet                    // entries
	properties properties
	unknown    unknownProperties // entries that a condition on a property does not exclude

	matched   bitSet // entries that meet the conditions of a selector so far
	condition bitSet // entries that meet the current condition
}

// properties holds the entries of a list by the values of their properties. What an entry lacks has no value.
type properties struct {
	names  *valueIndex[string] // by endpoint.KeyOf
	kinds  *valueIndex[string]
	zones  *valueIndex[string] // by endpoint.KeyOf
	cells  *valueIndex[int]
	memory *valueIndex[float64]
	labels map[string]*valueIndex[string] // by the label's name
}

// unknownProperties holds the entries that lack a property. A nil set is empty.
type unknownProperties struct {
	kinds  bitSet
	zones  bitSet
	cells  bitSet
	memory bitSet
}

// newWorkerIndex indexes the entries of a list. What an entry lacks excludes it from conditions on that.
func newWorkerIndex(list []Worker) *workerIndex {
	x := &workerIndex{
		positions:  map[policy.WorkerID]int32{},
		all:        newBitSet(len(list)),
		properties: newProperties(list),
		matched:    newBitSet(len(list)),
		condition:  newBitSet(len(list)),
	}
	for i, w := range list {
		if _, known := x.positions[w.ID]; !known {
			x.positions[w.ID] = int32(len(x.positions))
		}
		x.position = append(x.position, x.positions[w.ID])
		x.all.add(int32(i))
	}
	return x
}

func newProperties(list []Worker) properties {
	var names, kinds, zones []valuedEntry[string]
	var cells []valuedEntry[int]
	var memory []valuedEntry[float64]
	labels := map[string][]valuedEntry[string]{}
	for i, w := range list {
		entry := int32(i)
		names = append(names, valuedEntry[string]{entry, string(endpoint.KeyOf(w.Name))})
		kinds = append(kinds, valuedEntry[string]{entry, w.Kind})
		zones = append(zones, valuedEntry[string]{entry, string(endpoint.KeyOf(w.Zone))})
		memory = append(memory, valuedEntry[float64]{entry, w.MemoryMB})
		if cell, known := w.Cell.Index(); known {
			cells = append(cells, valuedEntry[int]{entry, cell})
		}
		for name, value := range w.Labels {
			labels[name] = append(labels[name], valuedEntry[string]{entry, value})
		}
	}
	p := properties{
		names:  newValueIndex(len(list), names),
		kinds:  newValueIndex(len(list), kinds),
		zones:  newValueIndex(len(list), zones),
		cells:  newValueIndex(len(list), cells),
		memory: newValueIndex(len(list), memory),
		labels: map[string]*valueIndex[string]{},
	}
	for name, entries := range labels {
		p.labels[name] = newValueIndex(len(list), entries)
	}
	return p
}

// members returns the workers that one of the selectors matches; no selectors match all workers.
func (x *workerIndex) members(selectors []Selector) workerSet {
	set := workerSet{positions: x.positions, members: newBitSet(len(x.positions))}
	if len(selectors) == 0 {
		selectors = []Selector{{}}
	}
	hasAliases := len(x.positions) < len(x.position)
	for _, s := range selectors {
		matched := x.matching(s)
		if hasAliases {
			matched.each(func(entry int32) { set.members.add(x.position[entry]) })
		} else {
			set.members.addAll(matched) // the position of a worker is its entry
		}
	}
	return set
}

// matching returns the entries that a selector matches; see Selector.Matches. The result is valid until the next call.
func (x *workerIndex) matching(s Selector) bitSet {
	p := x.properties
	copy(x.matched, x.all)
	if len(s.IDs) > 0 {
		x.retain(nil, func(set bitSet) { addMatching(set, p.names, keysOf(s.IDs)) })
	}
	if len(s.Kinds) > 0 {
		x.retain(x.unknown.kinds, func(set bitSet) { addMatching(set, p.kinds, s.Kinds) })
	}
	if len(s.Zones) > 0 {
		x.retain(x.unknown.zones, func(set bitSet) { addMatching(set, p.zones, keysOf(s.Zones)) })
	}
	if len(s.Cells) > 0 {
		x.retain(x.unknown.cells, func(set bitSet) { addEach(set, p.cells, s.Cells) })
	}
	x.retain(x.unknown.memory, func(set bitSet) { p.memory.addAtLeast(set, s.MemoryMB) })
	for _, label := range s.Labels {
		x.retain(nil, func(set bitSet) { addEach(set, p.labels[label.Name], label.Values) })
	}
	return x.matched
}

// retain removes the matched entries that neither meet a condition nor are in the set except. add adds those that meet
// it to a set.
func (x *workerIndex) retain(except bitSet, add func(set bitSet)) {
	clear(x.condition)
	x.condition.addAll(except)
	add(x.condition)
	x.matched.retain(x.condition)
}

// keysOf returns the keys of names or patterns of names.
func keysOf(names []string) []string {
	keys := make([]string, len(names))
	for i, name := range names {
		keys[i] = string(endpoint.KeyOf(name))
	}
	return keys
}

package route

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// frontSet is a set of fronts, one bit for each.
type frontSet uint8

// The sets of fronts that boxes have.
const (
	thriftOnly  frontSet = 1 << Thrift
	webhookOnly frontSet = 1 << Webhook
	bothFronts           = thriftOnly | webhookOnly
)

// list returns the fronts in order.
func (s frontSet) list() []Front {
	var fronts []Front
	for front := range frontCount {
		if s&(1<<front) != 0 {
			fronts = append(fronts, front)
		}
	}
	return fronts
}

// requestBox is a set of requests with the same effect: those of all combinations of one of its classes, fronts,
// tenants and patterns. Its pattern and class lists are not empty.
type requestBox struct {
	partKey
	tenants  tenantIndexSet
	rows     []int32 // indexes into rowTable.rows
	patterns []int32 // of these rows, sorted; boxes with the same rows share them
}

// boxTable merges the boxes of several rows that differ in their patterns alone.
type boxTable struct {
	space   *requestSpace
	boxes   []*requestBox
	indexes map[boxKey]int // indexes in boxes
}

// boxKey is equal for boxes that differ in their patterns alone.
type boxKey struct {
	partKey
	tenants string // by tenantIndexSet.key
}

func newBoxTable(s *requestSpace) *boxTable { return &boxTable{space: s, indexes: map[boxKey]int{}} }

// add adds a box of a row.
func (t *boxTable) add(b *requestBox, row int32) {
	t.space.work.add(1 + len(b.tenants.listed))
	key := boxKey{b.partKey, b.tenants.key()}
	index, ok := t.indexes[key]
	if !ok {
		index = len(t.boxes)
		t.indexes[key] = index
		t.boxes = append(t.boxes, b)
	}
	t.boxes[index].rows = append(t.boxes[index].rows, row)
}

// withPatterns sets the patterns of all boxes from those of their rows, and returns the boxes.
func (t *boxTable) withPatterns(rows []row) []*requestBox {
	byRows := map[string][]int32{}
	for _, b := range t.boxes {
		key := encodeIndexes(b.rows)
		patterns, ok := byRows[key]
		if !ok {
			for _, index := range b.rows {
				patterns = append(patterns, rows[index].patterns...)
			}
			slices.Sort(patterns)
			byRows[key] = patterns
			t.space.work.add(len(patterns))
		}
		b.patterns = patterns
	}
	return t.boxes
}

// encodeIndexes returns a text that is equal for equal lists.
func encodeIndexes(list []int32) string {
	b := make([]byte, 0, 4*len(list))
	for _, index := range list {
		b = binary.BigEndian.AppendUint32(b, uint32(index))
	}
	return string(b)
}

// classList returns the indexes of a box's classes in ascending order.
func (b *requestBox) classList() []int {
	var classes []int
	for rest := []byte(b.classes); len(rest) > 0; rest = rest[4:] {
		classes = append(classes, int(binary.BigEndian.Uint32(rest)))
	}
	return classes
}

// compareFirst orders boxes by their first requests, in the order of pattern, tenant, class and front. Requests without
// a named tenant come first, and then the tenants in descending order. total is the number of named tenants.
func (b *requestBox) compareFirst(other *requestBox, total int) int {
	return cmp.Or(
		cmp.Compare(b.patterns[0], other.patterns[0]),
		-cmp.Compare(b.tenants.last(total), other.tenants.last(total)),
		cmp.Compare(b.classes[:classBytes], other.classes[:classBytes]),
		cmp.Compare(b.fronts.list()[0], other.fronts.list()[0]),
	)
}

// classBytes is the length of one class in partKey.classes.
const classBytes = 4

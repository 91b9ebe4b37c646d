package webhook

import "time"

// Class is a class of requests as the receiver needs to know it.
type Class struct {
	Name                   string
	NotIdempotent          bool          // its requests are orders: they must never run twice and go through the ledger
	RequiresIdempotencyKey bool          // workers drop repeats by a key, which is derived from the webhook-id
	MaxWait                time.Duration // the longest that a request may wait for its response
}

// classTable finds classes by name and by index. It never changes.
type classTable struct {
	classes     []Class
	indexByName map[string]int
}

func newClassTable(classes []Class) *classTable {
	table := &classTable{classes: classes, indexByName: map[string]int{}}
	for i, class := range classes {
		table.indexByName[class.Name] = i
	}
	return table
}

// find returns the class of a name and its index, which is router.Request.Class. It reports whether there is one.
func (t *classTable) find(name string) (class Class, index int, known bool) {
	index, known = t.indexByName[name]
	if known {
		class = t.classes[index]
	}
	return class, index, known
}

// at returns the class of an index.
func (t *classTable) at(index int) Class { return t.classes[index] }

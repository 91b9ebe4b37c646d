package webhook

import "time"

// Class holds the settings of a class of requests that the receiver uses.
type Class struct {
	Name string
	// NotIdempotent says that requests of the class are orders, which must never run twice and are recorded in the
	// ledger.
	NotIdempotent bool
	// RequiresIdempotencyKey says that workers detect repeated requests by a key, which is derived from the webhook-id.
	RequiresIdempotencyKey bool
	// MaxWait is the longest time that a request may wait for its response.
	MaxWait time.Duration
}

// classTable finds classes by name and by index. It is immutable.
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

// find returns the class with the given name and its index, which is the value of router.Request.Class. It reports
// whether the class exists.
func (t *classTable) find(name string) (class Class, index int, known bool) {
	index, known = t.indexByName[name]
	if known {
		class = t.classes[index]
	}
	return class, index, known
}

// at returns the class with the given index.
func (t *classTable) at(index int) Class { return t.classes[index] }

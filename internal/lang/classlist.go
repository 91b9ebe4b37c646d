package lang

import (
	"slices"
	"time"
)

// Class describes a class of requests.
type Class struct {
	Name             string
	NotIdempotent    bool          // must never run twice
	Deadline         time.Duration // 0: unknown
	LatencyObjective time.Duration // 0: unknown
}

// neverIdempotentClass is a class that must never run twice, whatever a file or the platform's settings say.
const neverIdempotentClass = "repair-order"

// classList is a list of classes, in the order in which they were given.
type classList []Class

// find returns the class with the given name.
func (l classList) find(name string) (class Class, ok bool) {
	i := slices.IndexFunc(l, func(class Class) bool { return class.Name == name })
	if i < 0 {
		return Class{}, false
	}
	return l[i], true
}

// names returns the names of the classes.
func (l classList) names() []string {
	var names []string
	for _, class := range l {
		names = append(names, class.Name)
	}
	return names
}

// isNotIdempotent reports whether a class must never run twice: because the list says so, or because it is
// neverIdempotentClass.
func (l classList) isNotIdempotent(name string) bool {
	return name == neverIdempotentClass ||
		slices.ContainsFunc(l, func(class Class) bool { return class.Name == name && class.NotIdempotent })
}

// knownClasses are the classes that a configuration can distinguish.
type knownClasses struct {
	list     classList
	complete bool // there are no other classes
}

package lang

import "time"

// Class is a class of requests.
type Class struct {
	Name             string
	NotIdempotent    bool          // must never run twice
	Deadline         time.Duration // 0: not known
	LatencyObjective time.Duration // 0: not known
}

// neverIdempotentClass must never run twice, whatever a file or the platform's settings say.
const neverIdempotentClass = "repair-order"

// Platform is what the platform's settings say, which a configuration may tighten but not contradict.
type Platform struct {
	Classes        []Class
	MaxAttempts    int // 0: no limit
	HedgingAllowed bool
	Kinds          []string
	KindMemoryMB   map[string]float64
	Zones          []string
	LoadWindow     time.Duration
}

// class returns the class of that name.
func (p *Platform) class(name string) (class Class, ok bool) {
	for _, class := range p.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return Class{}, false
}

// classNames returns the names of the platform's classes.
func (p *Platform) classNames() []string {
	var names []string
	for _, class := range p.Classes {
		names = append(names, class.Name)
	}
	return names
}

package lang

import "time"

// Platform is what the platform's settings say, which a configuration may tighten but not contradict.
type Platform struct {
	Classes        []Class
	MaxAttempts    int // 0: no limit
	HedgingAllowed bool
	Kinds          []string // of workers; empty: not known
	KindMemoryMB   map[string]float64
	Zones          []string // of workers; empty: not known
	LoadWindow     time.Duration
}

// classes returns the platform's classes, in the order of its settings.
func (p *Platform) classes() classList { return p.Classes }

package lang

import "time"

// Platform contains the platform's settings that limit a configuration. A configuration may be stricter than these
// settings but must not contradict them.
type Platform struct {
	Classes        []Class
	MaxAttempts    int // 0: no limit
	HedgingAllowed bool
	Kinds          []string           // of workers; empty: unknown
	KindMemoryMB   map[string]float64 // memory of a worker, by its kind
	Zones          []string           // of workers; empty: unknown
	LoadWindow     time.Duration
	MaxFileBytes   int // of all files together; 0: no limit
	MaxBlocks      int // of all files together; 0: no limit
	MaxTableBytes  int // see route.Spec.MaxBytes; 0: no limit
}

// classes returns the platform's classes, in the order of its settings.
func (p *Platform) classes() classList { return p.Classes }

package fake

import (
	"fmt"
	"time"
)

// Class is a class of requests in a site's configuration.
type Class struct {
	Name             string
	LatencyObjective time.Duration
	Timeout          time.Duration // how long clients wait for a response
	PriorityWeight   float64
	Idempotent       bool // a request of the class may run more than once
}

// Classes of a site's configuration.
var (
	DimLevel = Class{
		Name:             "dim-level",
		LatencyObjective: 400 * time.Millisecond,
		Timeout:          2 * time.Second,
		PriorityWeight:   3,
		Idempotent:       true,
	}
	FaultCheck = Class{
		Name:             "fault-check",
		LatencyObjective: 600 * time.Millisecond,
		Timeout:          2500 * time.Millisecond,
		PriorityWeight:   2,
		Idempotent:       true,
	}
	RepairOrder = Class{
		Name:             "repair-order",
		LatencyObjective: 1200 * time.Millisecond,
		Timeout:          3 * time.Second,
		PriorityWeight:   5,
	}
)

// Classes are all classes, in the order of the configuration.
var Classes = []Class{DimLevel, FaultCheck, RepairOrder}

// ClassMix is what the class of a random request is drawn from.
var ClassMix = []Class{DimLevel, DimLevel, FaultCheck, RepairOrder}

// functionKeyStep spreads the keys of FunctionKey over all keys.
const functionKeyStep = 0x1111111111111111

// FunctionKey returns the key, of 16 hex digits, of a function by its number, from 0.
func FunctionKey(n int) string { return fmt.Sprintf("%016x", uint64(n)*functionKeyStep) }

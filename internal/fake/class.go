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
	Idempotent       bool // whether a request of the class may be executed more than once
}

// The classes of a site's configuration.
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

// Classes lists all classes in the order of the configuration.
var Classes = []Class{DimLevel, FaultCheck, RepairOrder}

// ClassMix lists the classes from which the class of a random request is chosen, all entries with equal probability.
var ClassMix = []Class{DimLevel, DimLevel, FaultCheck, RepairOrder}

// functionKeyStep is the difference between consecutive keys of FunctionKey. It spreads them over the range of keys.
const functionKeyStep = 0x1111111111111111

// FunctionKey returns the key of the function with number n, as 16 hex digits. Numbers start at 0.
func FunctionKey(n int) string { return fmt.Sprintf("%016x", uint64(n)*functionKeyStep) }

package route

import (
	"fmt"
	"strings"
)

// Describe describes the pool's workers, its limits and its fallback.
func (p *Pool) Describe() string {
	text := p.description
	if p.fallback != nil {
		text += ", then pool " + p.fallback.Spec.Name
	}
	return text
}

// description describes the workers and the limits in canonical order, without the names of pools.
func (s PoolSpec) description() string {
	var selectors []string
	for _, selector := range s.Selectors {
		selectors = append(selectors, selector.String())
	}
	return fmt.Sprintf("workers %s, %s", strings.Join(sortedUnique(selectors), " or "), s.limits())
}

// limits describes the limits on attempts in flight, loads and overflow.
func (s PoolSpec) limits() string {
	capacity := "no cap"
	if s.MaxInFlight != Unset {
		capacity = fmt.Sprintf("cap %d", s.MaxInFlight)
	}
	loads := "load orders of the rest"
	if s.LoadShare != Unset {
		loads = fmt.Sprintf("load orders %.6g%%", 100*s.LoadShare)
	}
	parts := []string{capacity, loads}
	if s.Fallback != "" && s.OverflowShare != Unset {
		parts = append(parts, fmt.Sprintf("spill %.6g%%", 100*s.OverflowShare))
	}
	if s.Fallback != "" && s.OverflowRate != Unset {
		parts = append(parts, fmt.Sprintf("spill %.6g/s", s.OverflowRate))
	}
	return strings.Join(parts, ", ")
}

package route

import "time"

// shareTolerance is how far rounding may raise the sum of the shares above 1.
const shareTolerance = 1e-9

// compilePools creates the pools of a spec, by name, and links them to their fallbacks.
func compilePools(specs []PoolSpec, loadWindow time.Duration) (map[string]*Pool, error) {
	pools := map[string]*Pool{}
	for _, spec := range specs {
		if pools[spec.Name] != nil {
			return nil, &DuplicatePoolError{Name: spec.Name, At: spec.At}
		}
		pools[spec.Name] = newPool(spec, loadWindow)
	}
	if err := distributeLoadBudget(specs, pools, loadWindow); err != nil {
		return nil, err
	}
	if err := linkFallbacks(specs, pools); err != nil {
		return nil, err
	}
	return pools, nil
}

// distributeLoadBudget sets each pool's share of the load budget. The pools without a configured share together use
// what the others leave, and count their loads in one shared window.
func distributeLoadBudget(specs []PoolSpec, pools map[string]*Pool, loadWindow time.Duration) error {
	remaining := 1.0
	for _, spec := range specs {
		remaining -= max(spec.LoadShare, 0)
	}
	if remaining < -shareTolerance {
		return &LoadShareError{Total: 1 - remaining}
	}
	sharedLoads := newSlidingWindow(loadWindow)
	for _, p := range pools {
		if p.Spec.LoadShare == Unset {
			p.loads = sharedLoads
			p.loadShare = max(remaining, 0)
			continue
		}
		p.loads = p.ownLoads
		p.loadShare = p.Spec.LoadShare
	}
	return nil
}

// linkFallbacks links the pools to their fallbacks and rejects cycles.
func linkFallbacks(specs []PoolSpec, pools map[string]*Pool) error {
	for _, spec := range specs {
		if spec.Fallback == "" {
			continue
		}
		fallback := pools[spec.Fallback]
		if fallback == nil {
			return &UndefinedReferenceError{PoolBlock, spec.Name, spec.At, PoolBlock, spec.Fallback}
		}
		pools[spec.Name].fallback = fallback
	}
	return findFallbackCycle(specs, pools)
}

// findFallbackCycle returns a FallbackCycleError for the first pool whose chain of fallbacks has a cycle.
func findFallbackCycle(specs []PoolSpec, pools map[string]*Pool) error {
	ends := map[*Pool]bool{nil: true} // pools whose chains end
	for _, spec := range specs {
		onChain := map[*Pool]bool{}
		for p := pools[spec.Name]; !ends[p]; p = p.fallback {
			if onChain[p] {
				return &FallbackCycleError{Name: spec.Name, At: spec.At}
			}
			onChain[p] = true
		}
		for p := range onChain {
			ends[p] = true
		}
	}
	return nil
}

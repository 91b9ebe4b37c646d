package lang

import (
	"fmt"
	"slices"
	"strings"

	"crankhold/internal/route"
)

// poolType is the type of pool blocks, which select workers and limit the requests and loads on them.
var poolType = &blockType{
	keyword: poolKeyword,
	named:   true,
	settings: map[string]settingType{
		capSetting:       single(readCount(1)),
		loadShareSetting: single(readShare),
		fallbackSetting:  single(readText),
		overflowSetting:  single(readShareOrRate),
	},
	nested: []*blockType{selectorType},
}

// poolBuilder builds pools from pool blocks.
type poolBuilder struct {
	builderContext
	workers  *workerBuilder  // complete by the time check is called
	pools    []builtPool     // in the order of the files
	followed map[string]bool // names of the pools whose fallbacks reportFallbackCycle has followed
}

// builtPool is a pool and the block that it was built from.
type builtPool struct {
	block *block
	spec  route.PoolSpec
}

// build adds a pool.
func (p *poolBuilder) build(b *block) {
	spec := route.PoolSpec{
		Name:          b.name,
		MaxInFlight:   route.Unset,
		LoadShare:     route.Unset,
		Fallback:      b.value(fallbackSetting).text,
		OverflowShare: route.Unset,
		OverflowRate:  route.Unset,
		At:            fileLine(b.pos),
	}
	if b.hasValue(capSetting) {
		spec.MaxInFlight = b.value(capSetting).count
	}
	if b.hasValue(loadShareSetting) {
		spec.LoadShare = b.value(loadShareSetting).number
	}
	if b.hasValue(overflowSetting) {
		setOverflow(&spec, b.value(overflowSetting))
	}
	for _, selectorBlock := range b.nested {
		spec.Selectors = append(spec.Selectors, p.buildSelector(selectorBlock))
	}
	p.pools = append(p.pools, builtPool{b, spec})
}

// setOverflow sets the limit on the overflow to the fallback: a rate, or a share of the requests.
func setOverflow(spec *route.PoolSpec, overflow value) {
	if overflow.isRate {
		spec.OverflowRate = overflow.number
	} else {
		spec.OverflowShare = overflow.number
	}
}

// buildSelector builds a selector from a block within a pool. It reports a block without conditions.
func (p *poolBuilder) buildSelector(b *block) route.Selector {
	s := newSelector(b)
	if len(b.settings.list) == 0 && len(s.Labels) == 0 {
		p.report.fault(b, b.pos, "workers picks nothing out: leave the block away for all workers")
	}
	return s
}

// specs returns the specs of all pools.
func (p *poolBuilder) specs() []route.PoolSpec {
	var specs []route.PoolSpec
	for _, pool := range p.pools {
		specs = append(specs, pool.spec)
	}
	return specs
}

// check checks the load shares, fallbacks and selectors of the pools.
func (p *poolBuilder) check() {
	pools := slices.DeleteFunc(slices.Clone(p.pools), func(pool builtPool) bool {
		return !p.symbols.isDefinition(pool.block) // duplicate name, already reported
	})
	p.checkLoadShares(pools)
	checker := newSelectorChecker(p.platform, p.workers.workers)
	for _, pool := range pools {
		p.checkFallback(pool.block)
		p.checkSelectors(pool, checker)
	}
	p.references.reportUnused(poolKeyword, "route or fallback")
}

// shareTolerance is the rounding error that is allowed in the sum of all shares.
const shareTolerance = 1e-9

// checkLoadShares reports the first pool at which the sum of the load shares exceeds the whole load budget.
func (p *poolBuilder) checkLoadShares(pools []builtPool) {
	const whole = 1 + shareTolerance
	total := 0.0
	var shares []string
	for _, pool := range pools {
		if pool.spec.LoadShare == route.Unset {
			continue
		}
		before := total
		total += pool.spec.LoadShare
		shares = append(shares, fmt.Sprintf("%s %.6g%%", pool.spec.Name, 100*pool.spec.LoadShare))
		if before <= whole && total > whole {
			p.report.faultAtSetting(pool.block, loadShareSetting,
				"the pools' shares of the load orders come to %.6g%%: %s", 100*total, strings.Join(shares, ", "))
		}
	}
}

// checkSelectors reports selectors of a pool that no worker can match.
func (p *poolBuilder) checkSelectors(pool builtPool, checker *selectorChecker) {
	for i, b := range pool.block.nested {
		if reason := checker.unsatisfiableReason(pool.spec.Selectors[i]); reason != "" {
			p.report.fault(b, b.pos, "no worker can be in pool %q by this: %s", pool.spec.Name, reason)
		}
	}
}

// checkFallback checks a pool's fallback and the limit on the overflow to it.
func (p *poolBuilder) checkFallback(b *block) {
	switch {
	case b.hasValue(fallbackSetting) && !b.isPresent(overflowSetting):
		p.report.faultAtSetting(b, fallbackSetting,
			"pool %q has a fallback and no spill, which bounds what goes there", b.name)
	case b.hasValue(overflowSetting) && !b.isPresent(fallbackSetting):
		p.report.faultAtSetting(b, overflowSetting, "pool %q has a spill and no fallback to spill to", b.name)
	}
	if p.references.resolve(b, fallbackSetting, poolKeyword) {
		p.reportFallbackCycle(b)
	}
}

// reportFallbackCycle follows the fallbacks of a pool and reports the cycle that they lead to, if there is one. Each
// cycle is reported once, at the pool whose name comes first in alphabetical order.
func (p *poolBuilder) reportFallbackCycle(b *block) {
	var chain []*block
	indexes := map[string]int{} // indexes in chain, by name
	for pool := b; pool != nil && pool.hasValue(fallbackSetting) && !p.followed[pool.name]; {
		if start, ok := indexes[pool.name]; ok {
			p.reportCycle(chain[start:])
			break
		}
		indexes[pool.name] = len(chain)
		chain = append(chain, pool)
		pool = p.symbols.find(poolKeyword, pool.value(fallbackSetting).text)
	}
	for name := range indexes {
		p.followed[name] = true
	}
}

// reportCycle reports a cycle of pools, each of which falls back to the next one.
func (p *poolBuilder) reportCycle(cycle []*block) {
	first := 0
	for i, pool := range cycle {
		if pool.name < cycle[first].name {
			first = i
		}
	}
	var names []string
	for _, pool := range slices.Concat(cycle[first:], cycle[:first]) {
		names = append(names, pool.name)
	}
	names = append(names, cycle[first].name)
	p.report.faultAtSetting(cycle[first], fallbackSetting,
		"pools fall back in a circle: %s", strings.Join(names, " > "))
}

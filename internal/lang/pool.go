package lang

import (
	"fmt"
	"slices"
	"strings"

	"crankhold/internal/route"
)

// poolType selects workers and limits what their requests use.
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

// poolBuilder builds pools out of pool blocks.
type poolBuilder struct {
	builderContext
	workers *workerBuilder // its workers are complete once check is called
	pools   []builtPool    // in the order of the files
}

// builtPool is a pool with the block that it was built from.
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
		spec.Workers = append(spec.Workers, p.buildSelector(selectorBlock))
	}
	p.pools = append(p.pools, builtPool{b, spec})
}

// setOverflow sets the limit on what goes to the fallback: a rate or a share.
func setOverflow(spec *route.PoolSpec, overflow value) {
	if overflow.isRate {
		spec.OverflowRate = overflow.number
	} else {
		spec.OverflowShare = overflow.number
	}
}

// buildSelector returns the selector of a block within a pool.
func (p *poolBuilder) buildSelector(b *block) route.Selector {
	s := newSelector(b)
	if len(b.positions) == 0 && len(s.Labels) == 0 {
		p.report.fault(b, b.pos, "workers picks nothing out: leave the block away for all workers")
	}
	return s
}

// specs returns the specs of the pools.
func (p *poolBuilder) specs() []route.PoolSpec {
	var specs []route.PoolSpec
	for _, pool := range p.pools {
		specs = append(specs, pool.spec)
	}
	return specs
}

// check checks the pools' shares, fallbacks and selectors.
func (p *poolBuilder) check() {
	pools := slices.DeleteFunc(slices.Clone(p.pools), func(pool builtPool) bool {
		return !p.symbols.isDefinition(pool.block) // defined twice
	})
	p.checkLoadShares(pools)
	for _, pool := range pools {
		p.checkFallback(pool.block)
		p.checkSelectors(pool)
	}
	p.references.reportUnused(poolKeyword, "route or fallback")
}

// shareTolerance is what rounding may add to shares that make up the whole.
const shareTolerance = 1e-9

// checkLoadShares reports the pool with which the sum of the shares of the load budget exceeds the whole.
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

// checkSelectors reports the selectors of a pool that no worker can match.
func (p *poolBuilder) checkSelectors(pool builtPool) {
	checker := selectorChecker{platform: p.platform, workers: p.workers.workers}
	for i, b := range pool.block.nested {
		if reason := checker.unsatisfiableReason(pool.spec.Workers[i]); reason != "" {
			p.report.fault(b, b.pos, "no worker can be in pool %q by this: %s", pool.spec.Name, reason)
		}
	}
}

// checkFallback checks a pool's fallback and the limit on what goes there.
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

// reportFallbackCycle reports a pool whose chain of fallbacks leads back to it, once for each cycle: at the pool whose
// name is the first in alphabetical order.
func (p *poolBuilder) reportFallbackCycle(b *block) {
	chain := []string{b.name}
	for pool := b; pool != nil && pool.hasValue(fallbackSetting); {
		next := pool.value(fallbackSetting).text
		if next == b.name {
			if slices.Min(chain) == b.name {
				cycle := strings.Join(append(chain, next), " > ")
				p.report.faultAtSetting(b, fallbackSetting, "pools fall back in a circle: %s", cycle)
			}
			return
		}
		if slices.Contains(chain, next) {
			return // a cycle that this pool only leads to
		}
		chain = append(chain, next)
		pool = p.symbols.find(poolKeyword, next)
	}
}

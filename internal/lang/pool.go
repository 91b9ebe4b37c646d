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
	build:  buildPool,
	check:  checkPools,
}

func buildPool(c *checker, b *block) {
	p := route.PoolSpec{
		Name:          b.name,
		MaxInFlight:   route.Unset,
		LoadShare:     route.Unset,
		Fallback:      b.value(fallbackSetting).text,
		OverflowShare: route.Unset,
		OverflowRate:  route.Unset,
		At:            fileLine(b.pos),
	}
	if b.hasValue(capSetting) {
		p.MaxInFlight = b.value(capSetting).count
	}
	if b.hasValue(loadShareSetting) {
		p.LoadShare = b.value(loadShareSetting).number
	}
	if b.hasValue(overflowSetting) {
		spill := b.value(overflowSetting)
		if spill.isRate {
			p.OverflowRate = spill.number
		} else {
			p.OverflowShare = spill.number
		}
	}
	for _, workers := range b.nested {
		p.Workers = append(p.Workers, c.buildSelector(workers))
	}
	c.result.Spec.Pools = append(c.result.Spec.Pools, p)
}

func checkPools(c *checker) {
	c.checkLoadShares()
	for _, p := range c.result.Spec.Pools {
		b := c.symbols.find(poolKeyword, p.Name)
		if fileLine(b.pos) != p.At {
			continue
		}
		c.checkFallback(b)
		for i, workers := range b.nested {
			if reason := c.unsatisfiable(p.Workers[i]); reason != "" {
				c.report.fault(workers, workers.pos, "no worker can be in pool %q by this: %s", p.Name, reason)
			}
		}
	}
	c.references.reportUnused(poolKeyword, "route or fallback")
}

// shareTolerance is what rounding may add to shares that make up the whole.
const shareTolerance = 1e-9

// checkLoadShares reports the pool with which the shares of the load budget come to more than the whole.
func (c *checker) checkLoadShares() {
	total := 0.0
	var shares []string
	for _, p := range c.result.Spec.Pools {
		b := c.symbols.find(poolKeyword, p.Name)
		if fileLine(b.pos) != p.At || p.LoadShare == route.Unset {
			continue
		}
		before := total
		total += p.LoadShare
		shares = append(shares, fmt.Sprintf("%s %.6g%%", p.Name, 100*p.LoadShare))
		const whole = 1 + shareTolerance
		if before <= whole && total > whole {
			c.report.faultAtSetting(b, loadShareSetting, "the pools' shares of the load orders come to %.6g%%: %s", 100*total, strings.Join(shares, ", "))
		}
	}
}

// checkFallback checks a pool's fallback and the limit on what goes there.
func (c *checker) checkFallback(b *block) {
	switch {
	case b.hasValue(fallbackSetting) && !b.isPresent(overflowSetting):
		c.report.faultAtSetting(b, fallbackSetting, "pool %q has a fallback and no spill, which bounds what goes there", b.name)
	case b.hasValue(overflowSetting) && !b.isPresent(fallbackSetting):
		c.report.faultAtSetting(b, overflowSetting, "pool %q has a spill and no fallback to spill to", b.name)
	}
	if c.references.resolve(b, fallbackSetting, poolKeyword) {
		c.reportFallbackCycle(b)
	}
}

// reportFallbackCycle reports a pool whose chain of fallbacks leads back to it, once for each cycle: at the pool whose
// name is the first in alphabetical order.
func (c *checker) reportFallbackCycle(b *block) {
	chain := []string{b.name}
	for pool := b; pool != nil && pool.hasValue(fallbackSetting); {
		next := pool.value(fallbackSetting).text
		if next == b.name {
			if slices.Min(chain) == b.name {
				c.report.faultAtSetting(b, fallbackSetting, "pools fall back in a circle: %s", strings.Join(append(chain, next), " > "))
			}
			return
		}
		if slices.Contains(chain, next) {
			return // a cycle that this pool only leads to
		}
		chain = append(chain, next)
		pool = c.symbols.find(poolKeyword, next)
	}
}

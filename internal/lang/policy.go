package lang

import (
	"maps"
	"slices"
	"strings"
	"time"

	"crankhold/internal/route"
)

// policyType limits how often and for how long a request is attempted.
var policyType = &blockType{
	keyword: policyKeyword,
	named:   true,
	settings: map[string]settingType{
		likeSetting:              single(readText),
		attemptsSetting:          single(readCount(1)),
		retriesAfterRunSetting:   single(readCount(0)),
		retriesAfterNoRunSetting: single(readCount(0)),
		attemptTimeSetting:       single(readDuration),
		hedgeDelaySetting:        single(readDuration),
		latencyObjectiveSetting:  single(readDuration),
	},
	build: buildPolicy,
	check: checkPolicies,
}

// policyBlock is a policy with its own settings and those that it inherits.
type policyBlock struct {
	*block
	effective map[string]value  // by setting
	origins   map[string]*block // by setting, the policy that gives it
	inherited bool              // effective is complete
}

// fault reports what is wrong with a setting, where that is given: it may be in a policy that this one inherits from.
func (p *policyBlock) fault(c *checker, setting, format string, args ...any) {
	c.report.fault(p.origins[setting], p.effective[setting].pos, format, args...)
}

func buildPolicy(c *checker, b *block) {
	if c.policies[b.name] != nil {
		return // defined twice
	}
	p := &policyBlock{block: b, effective: map[string]value{}, origins: map[string]*block{}}
	for setting := range b.values {
		p.effective[setting] = b.value(setting)
		p.origins[setting] = b
	}
	c.policies[b.name] = p
	c.policyOrder = append(c.policyOrder, p)
}

func checkPolicies(c *checker) {
	for _, p := range c.policyOrder {
		c.references.resolve(p.block, likeSetting, policyKeyword)
	}
	for _, p := range c.policyOrder {
		c.inherit(p, nil)
	}
	for _, p := range c.policyOrder {
		spec := p.spec()
		c.result.Spec.Policies = append(c.result.Spec.Policies, spec)
		c.checkPolicy(p, spec)
		if c.platform != nil {
			c.checkPolicyAgainstPlatform(p)
		}
	}
	c.references.reportUnused(policyKeyword, "route or policy")
}

// inherit completes a policy with the settings of the one that it is like. chain is the policies that inherit from it.
func (c *checker) inherit(p *policyBlock, chain []string) {
	if p.inherited {
		return
	}
	if i := slices.Index(chain, p.name); i >= 0 {
		cycle := append(chain[i:], p.name)
		c.report.fault(p.block, p.value(likeSetting).pos, "policies are like each other in a circle: %s", strings.Join(cycle, " > "))
		p.inherited = true
		return
	}
	if base := c.policies[p.value(likeSetting).text]; base != nil {
		c.inherit(base, append(chain, p.name))
		c.inheritFrom(p, base)
	}
	p.inherited = true
}

// inheritFrom takes over the settings of a policy that another one leaves out.
func (c *checker) inheritFrom(p, base *policyBlock) {
	for _, setting := range slices.Sorted(maps.Keys(base.effective)) {
		if _, own := p.effective[setting]; own || setting == likeSetting {
			continue
		}
		origin := base.origins[setting]
		p.effective[setting] = base.effective[setting]
		p.origins[setting] = origin
		c.lines.add(blockID{policyKeyword, p.name}, origin, origin.positions[setting])
	}
}

// spec returns the policy with what it inherits.
func (p *policyBlock) spec() route.PolicySpec {
	spec := route.NoPolicy
	spec.Name = p.name
	spec.At = fileLine(p.pos)
	setCount := func(setting string, count *int) {
		if v, ok := p.effective[setting]; ok {
			*count = v.count
		}
	}
	setCount(attemptsSetting, &spec.MaxAttempts)
	setCount(retriesAfterRunSetting, &spec.RetriesAfterPossibleRun)
	setCount(retriesAfterNoRunSetting, &spec.RetriesAfterProvenNoRun)
	spec.AttemptTimeout = p.effective[attemptTimeSetting].duration
	spec.HedgeDelay = p.effective[hedgeDelaySetting].duration
	spec.LatencyObjective = p.effective[latencyObjectiveSetting].duration
	return spec
}

// checkPolicy reports settings of a policy that contradict each other.
func (c *checker) checkPolicy(p *policyBlock, spec route.PolicySpec) {
	for _, setting := range []string{retriesAfterRunSetting, retriesAfterNoRunSetting} {
		v, ok := p.effective[setting]
		if ok && spec.MaxAttempts != route.Unset && v.count > spec.MaxAttempts-1 {
			p.fault(c, setting, "policy %q: %s = %d is more than attempts = %d leaves", p.name, setting, v.count, spec.MaxAttempts)
		}
	}
	if spec.HedgeDelay == 0 {
		return
	}
	if spec.MaxAttempts == 1 {
		p.fault(c, hedgeDelaySetting, "policy %q: attempts = 1 leaves no room for a second copy", p.name)
	}
	if spec.AttemptTimeout > 0 && spec.HedgeDelay >= spec.AttemptTimeout {
		p.fault(c, hedgeDelaySetting, "policy %q: the attempt ends at %v, before a second copy goes out at %v", p.name, spec.AttemptTimeout, spec.HedgeDelay)
	}
}

// checkPolicyAgainstPlatform reports what the platform's settings don't allow.
func (c *checker) checkPolicyAgainstPlatform(p *policyBlock) {
	if v, ok := p.effective[attemptsSetting]; ok && c.platform.MaxAttempts > 0 && v.count > c.platform.MaxAttempts {
		p.fault(c, attemptsSetting, "policy %q: attempts = %d is more than the platform's %d", p.name, v.count, c.platform.MaxAttempts)
	}
	if _, ok := p.effective[hedgeDelaySetting]; ok && !c.platform.HedgingAllowed {
		p.fault(c, hedgeDelaySetting, "policy %q: the platform allows no second copies", p.name)
	}
}

// checkPolicyForClass checks a policy against a class of which some requests take a route with that policy.
func (c *checker) checkPolicyForClass(r *block, p *policyBlock, class Class) {
	if class.NotIdempotent {
		c.checkPolicyIsSafe(r, p, class)
	}
	for _, bound := range []struct {
		setting string
		limit   time.Duration
		name    string
	}{
		{attemptTimeSetting, class.Deadline, "deadline"},
		{hedgeDelaySetting, class.Deadline, "deadline"},
		{latencyObjectiveSetting, class.LatencyObjective, "aim"},
	} {
		v, ok := p.effective[bound.setting]
		if ok && bound.limit > 0 && v.duration > bound.limit {
			p.fault(c, bound.setting, "policy %q: %s = %v is beyond the %s %v of class %q, to which route %q at %s gives it",
				p.name, bound.setting, v.duration, bound.name, bound.limit, class.Name, r.name, fileLine(r.pos))
		}
	}
}

// checkPolicyIsSafe reports settings by which requests of a class that is not idempotent might run twice.
func (c *checker) checkPolicyIsSafe(r *block, p *policyBlock, class Class) {
	if v, ok := p.effective[retriesAfterRunSetting]; ok && v.count > 0 {
		p.fault(c, retriesAfterRunSetting, "%s must never run twice: policy %q has again-if-ran = %d, attempts after one that may have run, and route %q at %s gives it to that class",
			class.Name, p.name, v.count, r.name, fileLine(r.pos))
	}
	if _, ok := p.effective[hedgeDelaySetting]; ok {
		p.fault(c, hedgeDelaySetting, "%s must never run twice: policy %q sends a second copy, and route %q at %s gives it to that class",
			class.Name, p.name, r.name, fileLine(r.pos))
	}
}

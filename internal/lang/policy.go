package lang

import (
	"maps"
	"slices"
	"strings"

	"crankhold/internal/route"
)

// policyType is the type of policy blocks, which limit how often and for how long a request is attempted.
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
}

// policyBlock is a policy block with its own settings and those that it inherits.
type policyBlock struct {
	*block
	effective map[string]effectiveSetting // by setting
	resolved  bool                        // effective includes the inherited settings
}

// effectiveSetting is a setting's value and the policy that gives it: the policy itself or one that it inherits from.
type effectiveSetting struct {
	value
	origin *block
}

func newPolicyBlock(b *block) *policyBlock {
	p := &policyBlock{block: b, effective: map[string]effectiveSetting{}}
	for _, s := range b.settings.list {
		if len(s.values) > 0 {
			p.effective[s.name] = effectiveSetting{s.values[0], b}
		}
	}
	return p
}

// spec returns the policy, including the settings that it inherits.
func (p *policyBlock) spec() route.PolicySpec {
	spec := route.NoPolicy
	spec.Name = p.name
	spec.At = fileLine(p.pos)
	setCount := func(setting string, count *int) {
		if s, ok := p.effective[setting]; ok {
			*count = s.count
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

// policyBuilder builds policies from policy blocks, and resolves inheritance between them.
type policyBuilder struct {
	builderContext
	linesByBlock definitionLines // also receives the lines of inherited settings
	byName       map[string]*policyBlock
	policies     []*policyBlock // in the order of the files
	specs        []route.PolicySpec
}

func newPolicyBuilder(context builderContext, linesByBlock definitionLines) *policyBuilder {
	return &policyBuilder{builderContext: context, linesByBlock: linesByBlock, byName: map[string]*policyBlock{}}
}

// build adds a policy, unless its name is already defined.
func (b *policyBuilder) build(policy *block) {
	if b.byName[policy.name] != nil {
		return
	}
	p := newPolicyBlock(policy)
	b.byName[policy.name] = p
	b.policies = append(b.policies, p)
}

// check resolves inheritance between the policies, and checks the resulting settings of each.
func (b *policyBuilder) check() {
	for _, p := range b.policies {
		b.references.resolve(p.block, likeSetting, policyKeyword)
	}
	for _, p := range b.policies {
		b.resolveInheritance(p)
	}
	c := b.settingsChecker()
	for _, p := range b.policies {
		spec := p.spec()
		b.specs = append(b.specs, spec)
		c.check(p, spec)
	}
	b.references.reportUnused(policyKeyword, "route or policy")
}

// settingsChecker returns a checker for the settings of policies.
func (b *policyBuilder) settingsChecker() *policyChecker {
	return &policyChecker{report: b.report, platform: b.platform}
}

// resolveInheritance adds the settings that a policy inherits through its setting like, and those that the policies in
// between inherit. It reports a circle of policies at the one that it meets twice.
func (b *policyBuilder) resolveInheritance(p *policyBlock) {
	var chain []*policyBlock // each is like the next one
	indexes := map[*policyBlock]int{}
	for ; p != nil && !p.resolved; p = b.baseOf(p) {
		if start, met := indexes[p]; met {
			b.reportCircle(p, chain[start:])
			break
		}
		indexes[p] = len(chain)
		chain = append(chain, p)
	}
	for _, p := range slices.Backward(chain) {
		if base := b.baseOf(p); base != nil {
			b.inheritMissingSettings(p, base)
		}
		p.resolved = true
	}
}

// baseOf returns the policy that p is like, or nil.
func (b *policyBuilder) baseOf(p *policyBlock) *policyBlock {
	return b.byName[p.value(likeSetting).text]
}

// reportCircle reports, at p, policies each of which is like the next one. The first of them is p, and the last one is
// like p.
func (b *policyBuilder) reportCircle(p *policyBlock, circle []*policyBlock) {
	var names []string
	for _, member := range circle {
		names = append(names, member.name)
	}
	names = append(names, p.name)
	b.report.faultAtSetting(p.block, likeSetting,
		"policies are like each other in a circle: %s", strings.Join(names, " > "))
}

// inheritMissingSettings copies from base the settings that p does not have, and adds their lines to those of p.
func (b *policyBuilder) inheritMissingSettings(p, base *policyBlock) {
	for _, setting := range slices.Sorted(maps.Keys(base.effective)) {
		if _, overridden := p.effective[setting]; overridden || setting == likeSetting {
			continue
		}
		inherited := base.effective[setting]
		p.effective[setting] = inherited
		b.linesByBlock.add(blockID{policyKeyword, p.name}, inherited.origin, inherited.origin.position(setting))
	}
}

package lang

import (
	"slices"
	"strings"
	"time"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// policyType tightens how often and for how long a call is tried.
var policyType = &blockType{keyword: "policy", named: true, settings: map[string]settingType{
	"like": {readText, false}, "attempts": {readCount(1), false}, "again-if-ran": {readCount(0), false}, "again-if-not-ran": {readCount(0), false},
	"attempt-time": {readDuration, false}, "second-copy-after": {readDuration, false}, "aim": {readDuration, false},
}, build: buildPolicy, check: checkPolicies}

// policyBlock is a policy with where each of its settings comes from, which may be one that it is like.
type policyBlock struct {
	*block
	effective map[string]value
	origins   map[string]*block
	inherited bool
}

func buildPolicy(c *checker, b *block) {
	if c.policies == nil {
		c.policies = map[string]*policyBlock{}
	}
	p := &policyBlock{block: b, effective: map[string]value{}, origins: map[string]*block{}}
	for name := range b.values {
		p.effective[name], p.origins[name] = b.value(name), b
	}
	if c.policies[b.name] == nil {
		c.policies[b.name] = p
		c.policyOrder = append(c.policyOrder, p)
	}
}

func checkPolicies(c *checker) {
	for _, p := range c.policyOrder {
		c.resolveReference(p.block, "like", "policy")
	}
	for _, p := range c.policyOrder {
		c.inherit(p, nil)
	}
	for _, p := range c.policyOrder {
		c.checkPolicy(p)
	}
	c.reportUnused("policy", "route or policy")
}

// inherit takes over what a policy leaves to the one that it is like.
func (c *checker) inherit(p *policyBlock, chain []string) {
	if p.inherited {
		return
	}
	if i := slices.Index(chain, p.name); i >= 0 {
		c.fault(p.block, p.value("like").pos, "policies are like each other in a circle: %s", strings.Join(append(chain[i:], p.name), " > "))
		p.inherited = true
		return
	}
	if p.hasValue("like") {
		if base := c.policies[p.value("like").text]; base != nil {
			c.inherit(base, append(chain, p.name))
			for name, v := range base.effective {
				if _, own := p.effective[name]; !own && name != "like" {
					p.effective[name], p.origins[name] = v, base.origins[name]
					c.recordLine("policy "+p.name, base.origins[name], base.origins[name].positions[name])
				}
			}
		}
	}
	p.inherited = true
}

func (c *checker) checkPolicy(p *policyBlock) {
	s := route.NoPolicy
	s.Name, s.At = p.name, fileLine(p.pos)
	number := func(name string, to *int) {
		if v, ok := p.effective[name]; ok {
			*to = v.count
		}
	}
	number("attempts", &s.MaxAttempts)
	number("again-if-ran", &s.RetriesAfterPossibleRun)
	number("again-if-not-ran", &s.RetriesAfterProvenNoRun)
	s.AttemptTimeout, s.HedgeDelay, s.LatencyObjective = p.effective["attempt-time"].duration, p.effective["second-copy-after"].duration, p.effective["aim"].duration
	c.result.Spec.Policies = append(c.result.Spec.Policies, s)

	for _, name := range []string{"again-if-ran", "again-if-not-ran"} {
		if v, ok := p.effective[name]; ok && s.MaxAttempts != route.Unset && v.count > s.MaxAttempts-1 {
			c.fault(p.origins[name], v.pos, "policy %q: %s = %d is more than attempts = %d leaves", p.name, name, v.count, s.MaxAttempts)
		}
	}
	if v, ok := p.effective["second-copy-after"]; ok {
		if s.MaxAttempts == 1 {
			c.fault(p.origins["second-copy-after"], v.pos, "policy %q: attempts = 1 leaves no room for a second copy", p.name)
		}
		if s.AttemptTimeout > 0 && v.duration >= s.AttemptTimeout {
			c.fault(p.origins["second-copy-after"], v.pos, "policy %q: the attempt ends at %v, before a second copy goes out at %v", p.name, s.AttemptTimeout, v.duration)
		}
	}
	if c.platform == nil {
		return
	}
	if v, ok := p.effective["attempts"]; ok && c.platform.MaxAttempts > 0 && v.count > c.platform.MaxAttempts {
		c.fault(p.origins["attempts"], v.pos, "policy %q: attempts = %d is more than the platform's %d", p.name, v.count, c.platform.MaxAttempts)
	}
	if v, ok := p.effective["second-copy-after"]; ok && !c.platform.HedgingAllowed {
		c.fault(p.origins["second-copy-after"], v.pos, "policy %q: the platform allows no second copies", p.name)
	}
}

// checkPolicyForClass checks a policy against a class that some call of a route has.
func (c *checker) checkPolicyForClass(by *block, name string, k Class) {
	p := c.policies[name]
	where := func(set string) (*block, syntax.Pos) { return p.origins[set], p.effective[set].pos }
	if k.NotIdempotent {
		if v, ok := p.effective["again-if-ran"]; ok && v.count > 0 {
			b, at := where("again-if-ran")
			c.fault(b, at, "%s must never run twice: policy %q has again-if-ran = %d, attempts after one that may have run, and route %q at %s gives it to that class",
				k.Name, name, v.count, by.name, fileLine(by.pos))
		}
		if _, ok := p.effective["second-copy-after"]; ok {
			b, at := where("second-copy-after")
			c.fault(b, at, "%s must never run twice: policy %q sends a second copy, and route %q at %s gives it to that class", k.Name, name, by.name, fileLine(by.pos))
		}
	}
	for _, x := range []struct {
		set  string
		most time.Duration
		what string
	}{{"attempt-time", k.Deadline, "deadline"}, {"second-copy-after", k.Deadline, "deadline"}, {"aim", k.LatencyObjective, "aim"}} {
		if v, ok := p.effective[x.set]; ok && x.most > 0 && v.duration > x.most {
			b, at := where(x.set)
			c.fault(b, at, "policy %q: %s = %v is beyond the %s %v of class %q, to which route %q at %s gives it",
				name, x.set, v.duration, x.what, x.most, k.Name, by.name, fileLine(by.pos))
		}
	}
}

package lang

import (
	"slices"
	"strings"
	"time"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// policyKind tightens how often and for how long a call is tried.
var policyKind = &kind{word: "policy", label: true, settings: map[string]setting{
	"like": {text, false}, "attempts": {count(1), false}, "again-if-ran": {count(0), false}, "again-if-not-ran": {count(0), false},
	"attempt-time": {duration, false}, "second-copy-after": {duration, false}, "aim": {duration, false},
}, build: buildPolicy, check: checkPolicies}

// policyBlock is a policy with where each of its settings comes from, which may be one that it is like.
type policyBlock struct {
	*block
	set  map[string]value
	from map[string]*block
	done bool
}

func buildPolicy(c *checker, b *block) {
	if c.policies == nil {
		c.policies = map[string]*policyBlock{}
	}
	p := &policyBlock{block: b, set: map[string]value{}, from: map[string]*block{}}
	for name := range b.set {
		p.set[name], p.from[name] = b.one(name), b
	}
	if c.policies[b.label] == nil {
		c.policies[b.label] = p
		c.order = append(c.order, p)
	}
}

func checkPolicies(c *checker) {
	for _, p := range c.order {
		c.refer(p.block, "like", "policy")
	}
	for _, p := range c.order {
		c.inherit(p, nil)
	}
	for _, p := range c.order {
		c.checkPolicy(p)
	}
	c.unused("policy", "route or policy")
}

// inherit takes over what a policy leaves to the one that it is like.
func (c *checker) inherit(p *policyBlock, chain []string) {
	if p.done {
		return
	}
	if i := slices.Index(chain, p.label); i >= 0 {
		c.fault(p.block, p.one("like").at, "policies are like each other in a circle: %s", strings.Join(append(chain[i:], p.label), " > "))
		p.done = true
		return
	}
	if p.has("like") {
		if base := c.policies[p.one("like").text]; base != nil {
			c.inherit(base, append(chain, p.label))
			for name, v := range base.set {
				if _, own := p.set[name]; !own && name != "like" {
					p.set[name], p.from[name] = v, base.from[name]
					c.line("policy "+p.label, base.from[name], base.from[name].places[name])
				}
			}
		}
	}
	p.done = true
}

func (c *checker) checkPolicy(p *policyBlock) {
	s := route.NoPolicy
	s.Name, s.At = p.label, place(p.at)
	number := func(name string, to *int) {
		if v, ok := p.set[name]; ok {
			*to = v.count
		}
	}
	number("attempts", &s.MaxAttempts)
	number("again-if-ran", &s.RetriesAfterPossibleRun)
	number("again-if-not-ran", &s.RetriesAfterProvenNoRun)
	s.AttemptTimeout, s.HedgeDelay, s.LatencyObjective = p.set["attempt-time"].time, p.set["second-copy-after"].time, p.set["aim"].time
	c.res.Spec.Policies = append(c.res.Spec.Policies, s)

	for _, name := range []string{"again-if-ran", "again-if-not-ran"} {
		if v, ok := p.set[name]; ok && s.MaxAttempts != route.Unset && v.count > s.MaxAttempts-1 {
			c.fault(p.from[name], v.at, "policy %q: %s = %d is more than attempts = %d leaves", p.label, name, v.count, s.MaxAttempts)
		}
	}
	if v, ok := p.set["second-copy-after"]; ok {
		if s.MaxAttempts == 1 {
			c.fault(p.from["second-copy-after"], v.at, "policy %q: attempts = 1 leaves no room for a second copy", p.label)
		}
		if s.AttemptTimeout > 0 && v.time >= s.AttemptTimeout {
			c.fault(p.from["second-copy-after"], v.at, "policy %q: the attempt ends at %v, before a second copy goes out at %v", p.label, s.AttemptTimeout, v.time)
		}
	}
	if c.platform == nil {
		return
	}
	if v, ok := p.set["attempts"]; ok && c.platform.MaxAttempts > 0 && v.count > c.platform.MaxAttempts {
		c.fault(p.from["attempts"], v.at, "policy %q: attempts = %d is more than the platform's %d", p.label, v.count, c.platform.MaxAttempts)
	}
	if v, ok := p.set["second-copy-after"]; ok && !c.platform.HedgingAllowed {
		c.fault(p.from["second-copy-after"], v.at, "policy %q: the platform allows no second copies", p.label)
	}
}

// policyFits checks a policy against a class that some call of a route has.
func (c *checker) policyFits(by *block, name string, k Class) {
	p := c.policies[name]
	where := func(set string) (*block, syntax.Pos) { return p.from[set], p.set[set].at }
	if k.NotIdempotent {
		if v, ok := p.set["again-if-ran"]; ok && v.count > 0 {
			b, at := where("again-if-ran")
			c.fault(b, at, "%s must never run twice: policy %q has again-if-ran = %d, attempts after one that may have run, and route %q at %s gives it to that class",
				k.Name, name, v.count, by.label, place(by.at))
		}
		if _, ok := p.set["second-copy-after"]; ok {
			b, at := where("second-copy-after")
			c.fault(b, at, "%s must never run twice: policy %q sends a second copy, and route %q at %s gives it to that class", k.Name, name, by.label, place(by.at))
		}
	}
	for _, x := range []struct {
		set  string
		most time.Duration
		what string
	}{{"attempt-time", k.Deadline, "deadline"}, {"second-copy-after", k.Deadline, "deadline"}, {"aim", k.LatencyObjective, "aim"}} {
		if v, ok := p.set[x.set]; ok && x.most > 0 && v.time > x.most {
			b, at := where(x.set)
			c.fault(b, at, "policy %q: %s = %v is beyond the %s %v of class %q, to which route %q at %s gives it",
				name, x.set, v.time, x.what, x.most, k.Name, by.label, place(by.at))
		}
	}
}

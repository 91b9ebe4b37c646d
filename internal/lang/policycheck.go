package lang

import (
	"time"

	"crankhold/internal/route"
)

// policyChecker checks the settings of policies against each other, against the platform's settings, and against the
// classes of the requests that a policy applies to.
type policyChecker struct {
	report   *reporter
	platform *Platform // nil: unknown
}

// fault reports a fault at the position of a setting, which may be in a policy that this one inherits from.
func (c *policyChecker) fault(p *policyBlock, setting, format string, args ...any) {
	s := p.effective[setting]
	c.report.fault(s.origin, s.pos, format, args...)
}

// check checks a policy's settings against each other and against the platform's settings.
func (c *policyChecker) check(p *policyBlock, spec route.PolicySpec) {
	c.checkRetries(p, spec)
	if spec.HedgeDelay > 0 {
		c.checkHedge(p, spec)
	}
	if c.platform != nil {
		c.checkAgainstPlatform(p)
	}
}

// checkRetries reports a retry limit that exceeds the number of retries that the setting attempts allows.
func (c *policyChecker) checkRetries(p *policyBlock, spec route.PolicySpec) {
	for _, setting := range []string{retriesAfterRunSetting, retriesAfterNoRunSetting} {
		s, ok := p.effective[setting]
		if ok && spec.MaxAttempts != route.Unset && s.count > spec.MaxAttempts-1 {
			c.fault(p, setting, "policy %q: %s = %d is more than attempts = %d leaves",
				p.name, setting, s.count, spec.MaxAttempts)
		}
	}
}

// checkHedge reports settings that prevent the policy's hedged request from ever being sent.
func (c *policyChecker) checkHedge(p *policyBlock, spec route.PolicySpec) {
	if spec.MaxAttempts == 1 {
		c.fault(p, hedgeDelaySetting, "policy %q: attempts = 1 leaves no room for a second copy", p.name)
	}
	if spec.AttemptTimeout > 0 && spec.HedgeDelay >= spec.AttemptTimeout {
		c.fault(p, hedgeDelaySetting, "policy %q: the attempt ends at %v, before a second copy goes out at %v",
			p.name, spec.AttemptTimeout, spec.HedgeDelay)
	}
}

// checkAgainstPlatform reports settings that the platform's settings don't allow.
func (c *policyChecker) checkAgainstPlatform(p *policyBlock) {
	maxAttempts := c.platform.MaxAttempts
	if s, ok := p.effective[attemptsSetting]; ok && maxAttempts > 0 && s.count > maxAttempts {
		c.fault(p, attemptsSetting, "policy %q: attempts = %d is more than the platform's %d",
			p.name, s.count, maxAttempts)
	}
	if _, ok := p.effective[hedgeDelaySetting]; ok && !c.platform.HedgingAllowed {
		c.fault(p, hedgeDelaySetting, "policy %q: the platform allows no second copies", p.name)
	}
}

// checkForClass checks a policy against a class whose requests reach a route with that policy.
func (c *policyChecker) checkForClass(routeBlock *block, p *policyBlock, class Class) {
	if class.NotIdempotent {
		c.checkNotIdempotent(routeBlock, p, class)
	}
	for _, bound := range []struct {
		setting string
		limit   time.Duration // 0: unknown
		name    string
	}{
		{attemptTimeSetting, class.Deadline, "deadline"},
		{hedgeDelaySetting, class.Deadline, "deadline"},
		{latencyObjectiveSetting, class.LatencyObjective, "aim"},
	} {
		s, ok := p.effective[bound.setting]
		if ok && bound.limit > 0 && s.duration > bound.limit {
			c.fault(p, bound.setting,
				"policy %q: %s = %v is beyond the %s %v of class %q, to which route %q at %s gives it",
				p.name, bound.setting, s.duration, bound.name, bound.limit, class.Name,
				routeBlock.name, fileLine(routeBlock.pos))
		}
	}
}

// checkNotIdempotent reports settings that might run a request twice although its class is not idempotent.
func (c *policyChecker) checkNotIdempotent(routeBlock *block, p *policyBlock, class Class) {
	if s, ok := p.effective[retriesAfterRunSetting]; ok && s.count > 0 {
		c.fault(p, retriesAfterRunSetting,
			"%s must never run twice: policy %q has again-if-ran = %d, attempts after one that may have run, "+
				"and route %q at %s gives it to that class",
			class.Name, p.name, s.count, routeBlock.name, fileLine(routeBlock.pos))
	}
	if _, ok := p.effective[hedgeDelaySetting]; ok {
		c.fault(p, hedgeDelaySetting,
			"%s must never run twice: policy %q sends a second copy, and route %q at %s gives it to that class",
			class.Name, p.name, routeBlock.name, fileLine(routeBlock.pos))
	}
}

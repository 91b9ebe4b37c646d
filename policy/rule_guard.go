package policy

import "time"

// ruleGuard checks every action before it is returned, and rejects those that would break a rule, whichever
// component decided on them. It only reads the tables.
type ruleGuard struct {
	cfg       *Config
	tables    *tables
	retries   retryRules
	slowStart *slowStart
	budget    *loadBudget
}

// allows reports whether an action is allowed now.
func (g *ruleGuard) allows(now time.Duration, action Action) bool {
	switch a := action.(type) {
	case StartAttempt:
		return g.allowsAttempt(now, a)
	case CancelAttempt:
		return g.cfg.CancelSupported
	case Reject:
		return g.retries.clientMayRetry(g.tables.requests.get(a.Request))
	case Load:
		return g.allowsLoad(now, a)
	case Unload:
		return g.allowsLoadCommands(a.Worker)
	case CheckHealth:
		return g.cfg.HealthCheckSupported
	case Subscribe:
		return g.allowsSubscription()
	default:
		return true
	}
}

// allowsAttempt reports whether a request may be sent to a worker.
func (g *ruleGuard) allowsAttempt(now time.Duration, a StartAttempt) bool {
	r := g.tables.requests.get(a.Request)
	w := g.tables.workers.get(a.Worker)
	return r != nil && w != nil &&
		g.retries.mayStart(now, r) && g.retries.eligible(now, r, w) && g.slowStart.admits(now, w)
}

// allowsLoad reports whether a load command is within the load budget.
func (g *ruleGuard) allowsLoad(now time.Duration, a Load) bool {
	return g.allowsLoadCommands(a.Worker) && g.budget.allowsCommand(now)
}

// allowsSubscription reports whether a subscription to the endpoint list is needed: the list is received only
// on request, and there is no subscription yet.
func (g *ruleGuard) allowsSubscription() bool {
	return g.cfg.EndpointsByPolling && !g.tables.workers.subscribed
}

// allowsLoadCommands reports whether a worker may be sent commands to load or unload replicas.
func (g *ruleGuard) allowsLoadCommands(id WorkerID) bool {
	return g.cfg.LoadCommandsSupported && g.tables.workers.get(id).State == Ready
}

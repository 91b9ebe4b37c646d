package router

import (
	"time"

	"crankhold/policy"
)

// Process fires the timers that are due, passes the queued events to the decision module and executes its actions. It
// repeats this until no event is left, and returns the time by which it must be called again.
func (c *Core) Process(now time.Duration) (next time.Duration) {
	c.SetNow(now)
	for {
		c.fireDueTimers()
		if c.events.empty() {
			break
		}
		c.handleEvents()
		c.executeActions()
	}
	if due, ok := c.timers.next(); ok {
		return due
	}
	return now + idleInterval
}

// fireDueTimers fires all timers that are due, including those that are set for the current time while it runs.
func (c *Core) fireDueTimers() {
	for {
		entry, ok := c.timers.popDue()
		if !ok {
			return
		}
		c.fire(entry)
	}
}

// fire handles a timer that is due.
func (c *Core) fire(entry *timerEntry) {
	t := entry.Value
	switch t.kind {
	case policyTimer:
		c.timers.policyTimerFired(entry)
		c.events.add(policy.TimerFired{Token: t.token})
	case attemptTimeout:
		c.requests.cancelAttempt(Attempt{Request: t.requestID, Number: t.attempt}, policy.TimedOut)
	case commandTimeout:
		c.commands.timedOut(t.commandID)
	case requestDeadline:
		c.requests.deadlineExceeded(t.requestID)
	}
}

// handleEvents passes the queued events to the decision module and stores the actions that it returns in c.actions.
func (c *Core) handleEvents() {
	c.actions = c.actions[:0]
	batch := c.events.takeBatch()
	for _, event := range batch {
		if event != nil {
			c.actions = c.policy.Handle(c.timers.now, event, c.actions)
		}
	}
	c.events.recycle(batch)
}

// executeActions executes the actions that the module returned for the last batch of events, in order.
func (c *Core) executeActions() {
	for _, action := range c.actions {
		c.execute(action)
	}
}

// execute executes one action. It ignores the kinds that it does not list, because this deployment does not need them:
// endpoint lists arrive without a subscription, and the settings disable gossip. It also drops the module's log lines.
func (c *Core) execute(action policy.Action) {
	switch a := action.(type) {
	case policy.StartAttempt, policy.CancelAttempt, policy.Reject, policy.FailRequest:
		c.requests.execute(action)
	case policy.Load, policy.Unload, policy.CheckHealth, policy.CloseIdleConnections:
		c.commands.execute(action)
	case policy.SetTimer:
		c.timers.setPolicyTimer(a)
	case policy.ClearTimer:
		c.timers.clearPolicyTimer(a)
	}
}

package router

import (
	"time"

	"crankhold/policy"
)

// Process fires the timers that are due, hands the gathered events to the decision module and carries out its actions,
// until nothing is left to do. It returns the time by which it has to be called again.
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

// fireDueTimers fires all timers that are due, those included that a fired one sets for now.
func (c *Core) fireDueTimers() {
	for {
		due, ok := c.timers.popDue()
		if !ok {
			return
		}
		c.fire(due)
	}
}

// fire does what a timer is for.
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

// handleEvents hands the batch of gathered events to the decision module and keeps the actions that it returns.
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

// executeActions carries out the actions of the last batch, in order.
func (c *Core) executeActions() {
	for _, action := range c.actions {
		c.execute(action)
	}
}

// execute carries out one action. Actions that are not listed ask for what this deployment does not have: endpoint
// lists arrive without a subscription, and the settings allow no gossip. The module's log lines are dropped.
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

package router

import (
	"time"

	"crankhold/internal/timerheap"
	"crankhold/policy"
)

// timerKind is what a timer is for.
type timerKind uint8

// The kinds of timers.
const (
	policyTimer     timerKind = iota // set by the decision module
	attemptTimeout                   // an attempt takes longer than its own limit
	commandTimeout                   // a load or health check is not answered
	requestDeadline                  // a request has no response
)

// timer is what a due timer refers to.
type timer struct {
	kind      timerKind
	token     uint64           // of a policyTimer, chosen by the module
	commandID uint64           // of a commandTimeout
	requestID policy.RequestID // of a requestDeadline or an attemptTimeout
	attempt   int              // number of the attempt of an attemptTimeout
}

// timerEntry is a timer in the heap. Timers of all kinds share one heap, so that those that are due at the same time
// fire in the order in which they were set.
type timerEntry = timerheap.Entry[timer]

// fireDueTimers fires all timers that are due, those included that a fired one sets for now.
func (c *Core) fireDueTimers() {
	for {
		due, ok := c.timers.PopDue(c.now)
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
		c.policyTimerFired(entry)
	case attemptTimeout:
		c.cancelAttempt(Attempt{Request: t.requestID, Number: t.attempt}, policy.TimedOut)
	case commandTimeout:
		c.commandTimedOut(t.commandID)
	case requestDeadline:
		c.deadlineExceeded(t.requestID)
	}
}

// setPolicyTimer sets a timer of the decision module. A further one under the same token does not clear the first.
func (c *Core) setPolicyTimer(action policy.SetTimer) {
	due := c.now + max(action.After, 0)
	c.policyTimers[action.Token] = c.timers.Add(due, timer{kind: policyTimer, token: action.Token})
}

// clearPolicyTimer clears the module's last timer under a token.
func (c *Core) clearPolicyTimer(action policy.ClearTimer) {
	c.timers.Remove(c.policyTimers[action.Token])
	delete(c.policyTimers, action.Token)
}

// policyTimerFired tells the decision module that one of its timers is due.
func (c *Core) policyTimerFired(entry *timerEntry) {
	token := entry.Value.token
	if c.policyTimers[token] == entry {
		delete(c.policyTimers, token)
	}
	c.events.add(policy.TimerFired{Token: token})
}

// addAttemptTimeout limits the time of an attempt.
func (c *Core) addAttemptTimeout(a Attempt, limit time.Duration) *timerEntry {
	return c.timers.Add(c.now+limit, timer{kind: attemptTimeout, requestID: a.Request, attempt: a.Number})
}

// addCommandTimeout limits the time in which a command must be answered.
func (c *Core) addCommandTimeout(commandID uint64, limit time.Duration) *timerEntry {
	return c.timers.Add(c.now+limit, timer{kind: commandTimeout, commandID: commandID})
}

// startDeadline sets the deadline timer of a tracked request.
func (c *Core) startDeadline(tracked *trackedRequest) {
	deadline := timer{kind: requestDeadline, requestID: tracked.id}
	tracked.deadline = c.timers.Add(tracked.request.Deadline, deadline)
}

// deadlineExceeded ends a request whose time is over. The module ends each request before that; should it not, the
// client still gets its response in time, as failed unless it is proven that no attempt ever ran.
func (c *Core) deadlineExceeded(id policy.RequestID) {
	tracked := c.requests[id]
	if tracked == nil {
		return
	}
	for number := range tracked.attempts {
		c.cancelAttempt(Attempt{Request: id, Number: number}, policy.TimedOut)
	}
	if tracked.completed {
		return
	}
	c.Counters.DeadlineExceeded++
	status := Failed
	if !tracked.mayHaveRun {
		status = Rejected
	}
	c.respondUnserved(id, Response{Status: status})
	c.events.add(policy.RequestCanceled{Request: id})
}

package policy

import "time"

// turn is the handling of one event: the time that it has, and the actions that answer it. The parts of a
// Policy share it, so that all actions leave through its guard.
type turn struct {
	now     time.Duration
	actions []Action // of the present event, in order
	guard   ruleGuard
}

// startTurn starts the handling of an event. A time before the last event's counts as that event's time.
func (t *turn) startTurn(now time.Duration, actions []Action) {
	t.now = max(now, t.now)
	t.actions = actions
}

// emit lets an action leave unless it would break a rule, and reports whether it left.
func (t *turn) emit(action Action) bool {
	if !t.guard.allows(t.now, action) {
		return false
	}
	t.actions = append(t.actions, action)
	return true
}

// cancel cancels an attempt in flight, where the settings allow it.
func (t *turn) cancel(a *attempt) {
	if !a.ended && !a.canceled {
		a.canceled = t.emit(CancelAttempt{Request: a.request.Request, Attempt: a.number})
	}
}

package policy

import "time"

// turn holds the state of the handling of one event: its time and the resulting actions. The components of a
// Policy share it, so that all actions pass its guard.
type turn struct {
	now     time.Duration
	actions []Action // actions for the present event, in order
	guard   ruleGuard
}

// startTurn starts the handling of an event. If now is before the time of the last event, the time of that
// event is used.
func (t *turn) startTurn(now time.Duration, actions []Action) {
	t.now = max(now, t.now)
	t.actions = actions
}

// emit appends an action unless the guard rejects it, and reports whether it was appended.
func (t *turn) emit(action Action) bool {
	if !t.guard.allows(t.now, action) {
		return false
	}
	t.actions = append(t.actions, action)
	return true
}

// cancel cancels an attempt in flight if the settings allow it.
func (t *turn) cancel(a *attempt) {
	if !a.completed && !a.canceled {
		a.canceled = t.emit(CancelAttempt{Request: a.request.Request, Attempt: a.number})
	}
}

package router

import (
	"time"

	"crankhold/internal/timerheap"
	"crankhold/policy"
)

// timerKind is the purpose of a timer.
type timerKind uint8

// The kinds of timers.
const (
	policyTimer     timerKind = iota // set by the decision module
	attemptTimeout                   // limits an attempt that has a time limit of its own
	commandTimeout                   // limits the time of a load command or health check
	requestDeadline                  // completes a request at its deadline
)

// timer is a timer of the core or of the decision module.
type timer struct {
	kind      timerKind
	token     uint64           // of a policyTimer; chosen by the module
	commandID uint64           // of a commandTimeout
	requestID policy.RequestID // of a requestDeadline or an attemptTimeout
	attempt   int              // number of the attempt, of an attemptTimeout
}

// timerEntry is the heap entry of a timer.
type timerEntry = timerheap.Entry[timer]

// timerQueue keeps the core's current time and its timers. Timers of all kinds share one heap, so that timers that are
// due at the same time fire in the order in which they were set. The queue belongs to the core's goroutine.
type timerQueue struct {
	now          time.Duration // on the monotonic clock of the core's owner; never decreases
	heap         timerheap.Heap[timer]
	policyTimers map[uint64]*timerEntry // by the module's token, the last timer set with that token
}

func newTimerQueue() timerQueue {
	return timerQueue{policyTimers: map[uint64]*timerEntry{}}
}

// setNow advances the clock. A time earlier than the current one has no effect.
func (q *timerQueue) setNow(now time.Duration) { q.now = max(q.now, now) }

// popDue removes and returns the first timer that is due. It returns false if none is due.
func (q *timerQueue) popDue() (*timerEntry, bool) { return q.heap.PopDue(q.now) }

// next returns the time at which the first timer is due. It returns false if no timer is set.
func (q *timerQueue) next() (due time.Duration, ok bool) { return q.heap.NextDue() }

// remove removes a timer before it fires. It does nothing for nil and for a timer that has fired.
func (q *timerQueue) remove(entry *timerEntry) { q.heap.Remove(entry) }

// setPolicyTimer sets a timer of the decision module. A second timer with the same token does not clear the first.
func (q *timerQueue) setPolicyTimer(action policy.SetTimer) {
	due := q.now + max(action.After, 0)
	q.policyTimers[action.Token] = q.heap.Add(due, timer{kind: policyTimer, token: action.Token})
}

// clearPolicyTimer removes the module's last timer with a token.
func (q *timerQueue) clearPolicyTimer(action policy.ClearTimer) {
	q.heap.Remove(q.policyTimers[action.Token])
	delete(q.policyTimers, action.Token)
}

// policyTimerFired removes the token of a module's timer that has fired, unless a later timer has the same token.
func (q *timerQueue) policyTimerFired(entry *timerEntry) {
	token := entry.Value.token
	if q.policyTimers[token] == entry {
		delete(q.policyTimers, token)
	}
}

// addAttemptTimeout sets the timer that limits the time of an attempt.
func (q *timerQueue) addAttemptTimeout(a Attempt, limit time.Duration) *timerEntry {
	return q.heap.Add(q.now+limit, timer{kind: attemptTimeout, requestID: a.Request, attempt: a.Number})
}

// addCommandTimeout sets the timer that limits the time of a load command or health check.
func (q *timerQueue) addCommandTimeout(commandID uint64, limit time.Duration) *timerEntry {
	return q.heap.Add(q.now+limit, timer{kind: commandTimeout, commandID: commandID})
}

// addRequestDeadline sets the deadline timer of a tracked request.
func (q *timerQueue) addRequestDeadline(id policy.RequestID, deadline time.Duration) *timerEntry {
	return q.heap.Add(deadline, timer{kind: requestDeadline, requestID: id})
}

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

// timerEntry is a timer in the heap.
type timerEntry = timerheap.Entry[timer]

// timerQueue owns the core's clock and the timers that are set on it. It belongs to the core's goroutine. Timers of all
// kinds share one heap, so that those that are due at the same time fire in the order in which they were set.
type timerQueue struct {
	now          time.Duration // on the monotonic clock of the core's owner; it never goes back
	heap         timerheap.Heap[timer]
	policyTimers map[uint64]*timerEntry // by the module's token, the last one set under it
}

func newTimerQueue() timerQueue {
	return timerQueue{policyTimers: map[uint64]*timerEntry{}}
}

// setNow moves the clock forward. A time before the present one changes nothing.
func (q *timerQueue) setNow(now time.Duration) { q.now = max(q.now, now) }

// popDue removes and returns the first timer that is due. It returns false where there is none.
func (q *timerQueue) popDue() (*timerEntry, bool) { return q.heap.PopDue(q.now) }

// next returns when the first timer is due. It returns false where none is set.
func (q *timerQueue) next() (due time.Duration, ok bool) { return q.heap.Next() }

// remove removes a timer that has not fired. It does nothing for nil and for a timer that has fired.
func (q *timerQueue) remove(entry *timerEntry) { q.heap.Remove(entry) }

// setPolicyTimer sets a timer of the decision module. A further one under the same token does not clear the first.
func (q *timerQueue) setPolicyTimer(action policy.SetTimer) {
	due := q.now + max(action.After, 0)
	q.policyTimers[action.Token] = q.heap.Add(due, timer{kind: policyTimer, token: action.Token})
}

// clearPolicyTimer clears the module's last timer under a token.
func (q *timerQueue) clearPolicyTimer(action policy.ClearTimer) {
	q.heap.Remove(q.policyTimers[action.Token])
	delete(q.policyTimers, action.Token)
}

// policyTimerFired forgets a timer of the module that has fired, unless its token stands for a later one.
func (q *timerQueue) policyTimerFired(entry *timerEntry) {
	token := entry.Value.token
	if q.policyTimers[token] == entry {
		delete(q.policyTimers, token)
	}
}

// addAttemptTimeout limits the time of an attempt.
func (q *timerQueue) addAttemptTimeout(a Attempt, limit time.Duration) *timerEntry {
	return q.heap.Add(q.now+limit, timer{kind: attemptTimeout, requestID: a.Request, attempt: a.Number})
}

// addCommandTimeout limits the time in which a command must be answered.
func (q *timerQueue) addCommandTimeout(commandID uint64, limit time.Duration) *timerEntry {
	return q.heap.Add(q.now+limit, timer{kind: commandTimeout, commandID: commandID})
}

// addRequestDeadline sets the deadline timer of a tracked request.
func (q *timerQueue) addRequestDeadline(id policy.RequestID, deadline time.Duration) *timerEntry {
	return q.heap.Add(deadline, timer{kind: requestDeadline, requestID: id})
}

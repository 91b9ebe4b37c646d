package notice

import "time"

// noticeQueue holds the notices that wait for an attempt, in the order in which they were added.
type noticeQueue struct{ waiting []*notice }

func (q *noticeQueue) add(n *notice) { q.waiting = append(q.waiting, n) }

func (q *noticeQueue) len() int { return len(q.waiting) }

// takeDue removes and returns the notices that are due, at most limit of them. It also returns when the next notice is
// due. Notices that only wait because of the limit do not affect that time, since Tick is called anyway when an attempt
// completes.
func (q *noticeQueue) takeDue(now time.Duration, limit int) (due []*notice, next time.Duration) {
	next = now + idleTickInterval
	waiting := q.waiting[:0]
	for _, n := range q.waiting {
		switch {
		case len(due) >= limit:
			waiting = append(waiting, n)
		case n.due > now:
			next = min(next, n.due)
			waiting = append(waiting, n)
		default:
			due = append(due, n)
		}
	}
	clear(q.waiting[len(waiting):])
	q.waiting = waiting
	return due, next
}

package webhook

import "time"

// maxOutcomes is how many outcomes are kept. When the limit is reached, new deliveries are rejected.
const maxOutcomes = 20000

// outcomeTable keeps outcomes by webhook-id. It must only be used on the event loop's goroutine.
type outcomeTable struct {
	byID         map[string]*outcome
	bodyBytes    int // the total size of the bodies of the completed outcomes in byID
	maxBodyBytes int // while bodyBytes is above it, new deliveries are rejected
}

func newOutcomeTable(maxBodyBytes int) *outcomeTable {
	return &outcomeTable{byID: map[string]*outcome{}, maxBodyBytes: maxBodyBytes}
}

// find returns the outcome of an id, or nil if there is none.
func (t *outcomeTable) find(id string) *outcome { return t.byID[id] }

// isFull reports whether the table has no capacity for a new outcome.
func (t *outcomeTable) isFull() bool {
	return len(t.byID) >= maxOutcomes || t.bodyBytes > t.maxBodyBytes
}

func (t *outcomeTable) add(id string, o *outcome) {
	t.byID[id] = o
	t.bodyBytes += len(o.body)
}

func (t *outcomeTable) remove(id string) {
	if o := t.byID[id]; o != nil {
		delete(t.byID, id)
		t.bodyBytes -= len(o.body)
	}
}

// removeCompleted removes the completed outcomes for which isExpired returns true.
func (t *outcomeTable) removeCompleted(isExpired func(*outcome) bool) {
	for id, o := range t.byID {
		if o.completed && isExpired(o) {
			t.remove(id)
		}
	}
}

// complete sets the response of an outcome in the table.
func (t *outcomeTable) complete(o *outcome, status httpStatus, body []byte, now time.Duration) {
	o.completed = true
	o.completedAt = now
	o.status = status
	o.body = body
	t.bodyBytes += len(body)
}

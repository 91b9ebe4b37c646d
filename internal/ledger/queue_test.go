package ledger

import (
	"testing"
)

// Orders that are about to be forwarded are bounded, and what became of orders is not.
func TestQueueBoundsBeginsAlone(t *testing.T) {
	queue := newJobQueue()
	begin := job{done: func(error) {}}
	for i := range maxQueuedBegins {
		if !queue.push(begin) {
			t.Fatalf("begin %d was not queued", i)
		}
	}
	if queue.push(begin) {
		t.Error("one begin too many was queued")
	}
	if !queue.push(job{}) {
		t.Error("an update was not queued")
	}
	if jobs, closed := queue.takeAll(); len(jobs) != maxQueuedBegins+1 || closed {
		t.Errorf("%d jobs, closed %v", len(jobs), closed)
	}
	if !queue.push(begin) {
		t.Error("a begin was not queued after the queue was emptied")
	}
	queue.close()
	if jobs, closed := queue.takeAll(); len(jobs) != 1 || !closed || len(queue.wake) != 1 {
		t.Errorf("after the end: %d jobs, closed %v", len(jobs), closed)
	}
}

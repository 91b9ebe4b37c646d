package ledger

import (
	"testing"
)

// The number of queued calls of Begin is limited; the number of queued updates is not.
func TestQueueLimitsOnlyBegins(t *testing.T) {
	queue := newJobQueue()
	begin := job{done: func(error) {}}
	for i := range maxQueuedBegins {
		if !queue.push(begin) {
			t.Fatalf("begin %d was not queued", i)
		}
	}
	if queue.push(begin) {
		t.Error("a begin over the limit was queued")
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
		t.Errorf("after close: %d jobs, closed %v", len(jobs), closed)
	}
}

package timerheap

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func ExampleHeap() {
	var timers Heap[string]
	timers.Add(2*time.Second, "second")
	timers.Add(time.Second, "first")
	canceled := timers.Add(time.Second, "canceled")
	timers.Remove(canceled)
	for {
		entry, ok := timers.PopDue(2 * time.Second)
		if !ok {
			break
		}
		fmt.Println(entry.Due(), entry.Value)
	}
	// Output:
	// 1s first
	// 2s second
}

// Values that are due together leave in the order in which they were added, and only those that are due.
func TestValuesLeaveInOrder(t *testing.T) {
	var timers Heap[int]
	for i := range 50 {
		timers.Add(time.Duration(i%5), i)
	}
	var got, want []int
	for due := range 3 {
		for i := due; i < 50; i += 5 {
			want = append(want, i)
		}
	}
	for {
		entry, ok := timers.PopDue(2)
		if !ok {
			break
		}
		got = append(got, entry.Value)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
	if due, ok := timers.Next(); timers.Len() != 20 || !ok || due != 3 {
		t.Errorf("%d left, the next at %v, %v; want 20, 3, true", timers.Len(), due, ok)
	}
}

// An entry is removed once; removing it again, or after it has left, removes nothing else.
func TestRemovingAnEntryAgainDoesNothing(t *testing.T) {
	var timers Heap[string]
	kept := timers.Add(1, "kept")
	gone := timers.Add(2, "gone")
	timers.Remove(gone)
	timers.Remove(gone)
	timers.Remove(nil)
	if entry, ok := timers.PopDue(3); !ok || entry != kept {
		t.Fatalf("got %v, %v", entry, ok)
	}
	timers.Add(4, "later")
	timers.Remove(kept)
	if timers.Len() != 1 {
		t.Errorf("%d left, want 1", timers.Len())
	}
}

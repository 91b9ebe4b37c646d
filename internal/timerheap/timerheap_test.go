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

// PopDue removes only values that are due. Values that are due at the same time are removed in the order in which they
// were added.
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
	if due, ok := timers.NextDue(); timers.Len() != 20 || !ok || due != 3 {
		t.Errorf("%d values remain, the next is due at %v, %v; want 20, 3, true", timers.Len(), due, ok)
	}
}

// An entry is removed only once. Removing it again, or after PopDue has removed it, does not remove another entry.
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
		t.Errorf("%d values remain, want 1", timers.Len())
	}
}

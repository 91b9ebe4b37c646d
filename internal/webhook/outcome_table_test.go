package webhook

import "testing"

// The byte count of a table equals the total size of the bodies in it after outcomes are recovered, completed and
// removed.
func TestOutcomeTableCountsBytes(t *testing.T) {
	table := newOutcomeTable(5)
	recovered := &outcome{completed: true, body: []byte("four")}
	pending := &outcome{}
	table.add("recovered", recovered)
	table.add("pending", pending)
	if table.isFull() {
		t.Error("full with 4 of 5 bytes")
	}
	table.complete(pending, statusOK, []byte("ok"), 0)
	if !table.isFull() || table.bodyBytes != 6 {
		t.Errorf("%d bytes, full %v", table.bodyBytes, table.isFull())
	}
	table.remove("unknown")
	table.removeCompleted(func(o *outcome) bool { return o == recovered })
	if table.find("recovered") != nil || table.find("pending") != pending || table.bodyBytes != 2 {
		t.Errorf("%d bytes after the removal, %v", table.bodyBytes, table.byID)
	}
}

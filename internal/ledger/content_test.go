package ledger

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Expired orders advance the retention horizon to the latest of their event times, and an earlier time does not move it
// back. Orders that did not run are dropped without an effect on the horizon.
func TestDropUnretainedAdvancesRetentionHorizon(t *testing.T) {
	entry := func(id string, age time.Duration, state State) Entry {
		return Entry{ID: id, EventTime: noon.Add(-age), State: state}
	}
	retained := entry("retained", time.Hour, Ended) // of the greatest age that is retained
	content := Content{Entries: []Entry{
		entry("expired", 3*time.Hour, Ended),
		entry("expired later", 2*time.Hour, Begun),
		entry("expired, not run", 90*time.Minute, NotRun),
		entry("not run", 0, NotRun),
		retained,
	}}
	content.dropUnretained(noon.Add(-time.Hour))
	want := Content{Entries: []Entry{retained}, RetentionHorizon: noon.Add(-90 * time.Minute)}
	if diff := cmp.Diff(want, content); diff != "" {
		t.Errorf("the content differs (-want +got):\n%s", diff)
	}
	content.dropUnretained(noon.Add(-2 * time.Hour))
	if diff := cmp.Diff(want, content); diff != "" {
		t.Errorf("an earlier time changed the content (-want +got):\n%s", diff)
	}
}

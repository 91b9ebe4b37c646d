package ledger

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Orders that expired move the retention horizon to the latest of them; orders that did not run are dropped without.
func TestDropUnretainedAdvancesTheHorizon(t *testing.T) {
	entry := func(id string, age time.Duration, state State) Entry {
		return Entry{ID: id, EventTime: noon.Add(-age), State: state}
	}
	retained := entry("retained", time.Hour, Ended) // exactly as old as is retained
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
		t.Errorf("an earlier time changed it (-want +got):\n%s", diff)
	}
}

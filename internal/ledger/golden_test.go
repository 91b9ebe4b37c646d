package ledger

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crankhold/internal/golden"
	"crankhold/internal/testutil"
)

// The golden files of the ledger's format, in the order in which TestLedgerWritesTheGoldenBytes writes them. The code
// of commit 90e713b wrote them; ledgers of that form are on the routers' disks.
const (
	goldenFirstRun  = "testdata/first-run.ledger"  // a new file with appended entries
	goldenSecondRun = "testdata/second-run.ledger" // the first file compacted, with a horizon and appended entries
	goldenCompacted = "testdata/compacted.ledger"  // the second file compacted, with a later horizon
)

// goldenEntry is an entry that is written by Begin or Update.
type goldenEntry struct {
	entry Entry
	begin bool // written by Begin
}

// goldenOrder returns an entry of an order whose event is older than noon by age.
func goldenOrder(id string, age time.Duration, state State, status int, body string) goldenEntry {
	entry := Entry{ID: id, EventTime: noon.Add(-age), BodyDigest: "9f86d081884c7d659a2feaa0c55ad015", State: state, Status: status}
	if body != "" {
		entry.Body = []byte(body)
	}
	return goldenEntry{entry: entry, begin: state == Begun}
}

// goldenFirstEntries is written two hours before noon to a ledger with a retention of two hours. goldenSecondEntries is
// written at noon, when the first two orders have expired. Together they cover every state and outcome of an entry.
var goldenFirstEntries = []goldenEntry{
	goldenOrder("expired", 150*time.Minute, Begun, 0, ""),
	goldenOrder("expired", 150*time.Minute, Ended, 200, "done"),
	goldenOrder("expired-in-flight", 125*time.Minute, Begun, 0, ""),
	goldenOrder("in-flight", 30*time.Minute, Begun, 0, ""),
	goldenOrder("served", 30*time.Minute, Begun, 0, ""),
	goldenOrder("served", 30*time.Minute, Ended, 200, "done \x00\xff\r\n"),
	goldenOrder("not-run", 30*time.Minute, Begun, 0, ""),
	goldenOrder("not-run", 30*time.Minute, NotRun, 0, ""),
	goldenOrder("expires-later", 90*time.Minute, Begun, 0, ""),
	goldenOrder("expires-later", 90*time.Minute, Ended, 502, ""),
}

var goldenSecondEntries = []goldenEntry{
	goldenOrder("served-empty", 0, Begun, 0, ""),
	goldenOrder("served-empty", 0, Ended, 200, ""),
	goldenOrder("failed", 0, Begun, 0, ""),
	goldenOrder("failed", 0, Ended, 502, ""),
	goldenOrder("deadline-exceeded-<&>", -250*time.Millisecond, Begun, 0, ""),
	goldenOrder("deadline-exceeded-<&>", -250*time.Millisecond, Ended, 504, ""),
	goldenOrder("not-run-then-served-é", 0, Begun, 0, ""),
	goldenOrder("not-run-then-served-é", 0, NotRun, 0, ""),
	goldenOrder("not-run-then-served-é", 0, Begun, 0, ""),
	goldenOrder("not-run-then-served-é", 0, Ended, 200, "done"),
	goldenOrder("not-run-again", 0, Begun, 0, ""),
	goldenOrder("not-run-again", 0, NotRun, 0, ""),
}

// openGolden opens a ledger with a retention of 2 hours.
func openGolden(t *testing.T, path string, now time.Time) (*Ledger, Content) {
	t.Helper()
	l, content, err := Open(Options{Config: Config{Path: path, MaxBytes: 1 << 20, Retention: 2 * time.Hour}, Now: now})
	if err != nil {
		t.Fatal(err)
	}
	return l, content
}

// writeGolden opens a ledger, appends entries and closes it.
func writeGolden(t *testing.T, path string, now time.Time, entries []goldenEntry) {
	t.Helper()
	l, _ := openGolden(t, path, now)
	for _, e := range entries {
		if !e.begin {
			l.Update(e.entry, now)
			continue
		}
		recorded := make(chan error, 1)
		l.Begin(e.entry, now, func(err error) { recorded <- err })
		if err := <-recorded; err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

// Appending entries, compacting the file and dropping expired orders write the same bytes as the code of commit
// 90e713b.
func TestLedgerWritesTheGoldenBytes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	writeGolden(t, path, noon.Add(-2*time.Hour), goldenFirstEntries)
	golden.Compare(t, goldenFirstRun, testutil.ReadFile(t, path))
	writeGolden(t, path, noon, goldenSecondEntries)
	golden.Compare(t, goldenSecondRun, testutil.ReadFile(t, path))
	writeGolden(t, path, noon.Add(time.Hour), nil)
	golden.Compare(t, goldenCompacted, testutil.ReadFile(t, path))
}

// Each entry of the files that the code of commit 90e713b wrote is decoded to the entry that was encoded.
func TestLedgerReadsTheGoldenRecords(t *testing.T) {
	horizon := goldenEntry{entry: Entry{EventTime: noon.Add(-125 * time.Minute), State: retentionHorizon}}
	laterHorizon := goldenEntry{entry: Entry{EventTime: noon.Add(-90 * time.Minute), State: retentionHorizon}}
	first, second := goldenFirstEntries, goldenSecondEntries
	retained := []goldenEntry{first[3], first[5], first[9]}
	for path, want := range map[string][]goldenEntry{
		goldenFirstRun:  first,
		goldenSecondRun: append(append([]goldenEntry{horizon}, retained...), second...),
		goldenCompacted: {laterHorizon, first[3], first[5], second[1], second[3], second[5], second[9]},
	} {
		t.Run(filepath.Base(path), func(t *testing.T) {
			wantEntries := make([]Entry, 0, len(want))
			for _, e := range want {
				wantEntries = append(wantEntries, e.entry)
			}
			var got []Entry
			content := testutil.ReadFile(t, path)
			size, err := readEntries(path, bytes.NewReader(content), func(e Entry) { got = append(got, e) })
			if err != nil || size != int64(len(content)) {
				t.Errorf("%d of %d bytes were read: %v", size, len(content), err)
			}
			if diff := cmp.Diff(wantEntries, got); diff != "" {
				t.Errorf("the entries differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Opening a ledger that the code of commit 90e713b wrote returns the last entry of each order that is still retained.
func TestGoldenLedgerIsOpened(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	if err := os.WriteFile(path, testutil.ReadFile(t, goldenSecondRun), fileMode); err != nil {
		t.Fatal(err)
	}
	l, content := openGolden(t, path, noon.Add(time.Hour))
	defer l.Close()
	want := []Entry{goldenFirstEntries[3].entry, goldenFirstEntries[5].entry, goldenSecondEntries[1].entry,
		goldenSecondEntries[3].entry, goldenSecondEntries[5].entry, goldenSecondEntries[9].entry}
	if diff := cmp.Diff(want, content.Entries); diff != "" {
		t.Errorf("the entries differ (-want +got):\n%s", diff)
	}
	if horizon := noon.Add(-90 * time.Minute); !content.RetentionHorizon.Equal(horizon) {
		t.Errorf("the retention horizon is %v, want %v", content.RetentionHorizon, horizon)
	}
	golden.Compare(t, goldenCompacted, testutil.ReadFile(t, path))
}

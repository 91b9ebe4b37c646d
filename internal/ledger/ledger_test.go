package ledger

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/testutil"
)

// Each entry that was acknowledged as written is found after a crash, and a last line that the crash left incomplete is
// ignored. The test compares random steps with a model.
func TestLedgerRecoversAcknowledgedEntries(t *testing.T) {
	dir := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		path := filepath.Join(dir, strconv.Itoa(run))
		open := func() (*Ledger, map[string]Entry) {
			l, content, err := Open(Options{Config: testConfig(path), Now: noon})
			if err != nil {
				t.Fatal(err)
			}
			found := map[string]Entry{}
			for _, e := range content.Entries {
				found[e.ID] = e
			}
			return l, found
		}
		l, _ := open()
		want := map[string]Entry{}
		record := func(e Entry) {
			written := make(chan error, 1)
			l.queue.push(job{entry: e, done: func(err error) { written <- err }})
			if err := <-written; err != nil {
				t.Fatal(err)
			}
			if e.State == NotRun || noon.Sub(e.EventTime) > time.Hour {
				delete(want, e.ID)
			} else {
				want[e.ID] = e
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				record(Entry{ID: rapid.StringN(1, 3, 9).Draw(t, "id"), EventTime: noon.Add(-time.Duration(rapid.IntRange(0, 90).Draw(t, "age")) * time.Minute),
					State: rapid.SampledFrom([]State{Begun, Ended, NotRun}).Draw(t, "state"), Status: 200, Body: []byte("\n")})
			},
			"crash": func(t *rapid.T) {
				torn := encodeEntry(Entry{ID: "torn", EventTime: noon, State: Begun})
				l.writer.file.handle.Write(torn[:rapid.IntRange(0, len(torn)-1).Draw(t, "cut")])
				if _, _, err := Open(Options{Config: testConfig(path), Now: noon}); err == nil {
					t.Fatal("a ledger in use was opened again")
				}
				l.Close()
				var found map[string]Entry
				l, found = open()
				if len(found) != len(want) {
					t.Fatalf("found %v, want %v", found, want)
				}
				for id, e := range want {
					if found[id].State != e.State {
						t.Fatalf("%s is %q, want %q", id, found[id].State, e.State)
					}
				}
			},
		})
		l.Close()
	})
}

// A ledger with a damaged complete line is not opened, because it is unknown which orders ran.
func TestDamagedLedgerIsNotOpened(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	if err := os.WriteFile(path, []byte("00000000 {}\n"), fileMode); err != nil {
		t.Fatal(err)
	}
	_, _, err := Open(Options{Config: testConfig(path), Now: noon})
	var damaged *FileError
	if !errors.As(err, &damaged) || damaged.Path != path || damaged.Line != 1 {
		t.Errorf("a damaged ledger was opened, or its error does not name the line: %v", err)
	}
}

// The outcomes of all orders are recorded, however many orders end at once.
func TestOutcomesAreRecordedWhenManyOrdersEndAtOnce(t *testing.T) {
	const orders = 20 * maxQueuedBegins
	path := filepath.Join(t.TempDir(), "ledger")
	l, _, err := Open(Options{Config: testConfig(path), Now: noon})
	if err != nil {
		t.Fatal(err)
	}
	for i := range orders {
		l.Update(Entry{ID: strconv.Itoa(i), EventTime: noon, State: Ended, Status: 200}, noon)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if lines := bytes.Count(testutil.ReadFile(t, path), []byte("\n")); lines != orders {
		t.Errorf("the ledger has %d lines, want %d", lines, orders)
	}
}

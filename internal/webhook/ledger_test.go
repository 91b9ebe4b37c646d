package webhook

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/testutil"
)

// The model of the ledger: each entry that was acknowledged as written is there after a crash, and a line that the crash
// cut short does no harm.
func TestLedgerRecoversAcknowledgedEntries(t *testing.T) {
	dir := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		path := filepath.Join(dir, strconv.Itoa(run))
		open := func() (*ledger, map[string]ledgerEntry) {
			l, content, err := openLedger(testLedger(path), noon, systemDisk{})
			if err != nil {
				t.Fatal(err)
			}
			found := map[string]ledgerEntry{}
			for _, e := range content.entries {
				found[e.ID] = e
			}
			return l, found
		}
		l, _ := open()
		want := map[string]ledgerEntry{}
		enter := func(e ledgerEntry) {
			written := make(chan error, 1)
			l.enqueue(appendJob{entry: e, done: func(err error) { written <- err }})
			if err := <-written; err != nil {
				t.Fatal(err)
			}
			if e.State == stateFreed || noon.Sub(e.EventTime) > time.Hour {
				delete(want, e.ID)
			} else {
				want[e.ID] = e
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				enter(ledgerEntry{ID: rapid.StringN(1, 3, 9).Draw(t, "id"), EventTime: noon.Add(-time.Duration(rapid.IntRange(0, 90).Draw(t, "age")) * time.Minute),
					State: rapid.SampledFrom([]entryState{stateBegun, stateEnded, stateFreed}).Draw(t, "state"), Status: 200, Body: []byte("\n")})
			},
			"crash": func(t *rapid.T) {
				torn := encodeEntry(ledgerEntry{ID: "torn", EventTime: noon, State: stateBegun})
				l.file.Write(torn[:rapid.IntRange(0, len(torn)-1).Draw(t, "cut")])
				if _, _, err := openLedger(testLedger(path), noon, systemDisk{}); err == nil {
					t.Fatal("a ledger in use was opened again")
				}
				l.close()
				var found map[string]ledgerEntry
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
		l.close()
	})
}

// failingDisk is a disk that takes nothing.
type failingDisk struct{ systemDisk }

func (failingDisk) Open(path string, flag int, mode os.FileMode) (diskFile, error) {
	if flag != os.O_RDONLY {
		return nil, &os.PathError{Op: "open", Path: path, Err: syscall.ENOSPC}
	}
	return systemDisk{}.Open(path, flag, mode)
}

// A ledger that is full, or whose disk fails and goes on failing, rejects the order at hand and all that follow.
func TestOrdersAreRejectedWhenLedgerCannotWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	for name, breakLedger := range map[string]func(*ledger){
		"full":         func(l *ledger) { l.maxBytes = 10 },
		"failed write": func(l *ledger) { l.disk = failingDisk{}; l.file.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			core := &fakeCore{}
			transport := &testutil.Transport{}
			receiver, posts := newTestReceiver(t, core, path)
			defer receiver.Close()
			breakLedger(receiver.ledger)
			for i := range 3 { // also those after it, before and after the disk was tried again
				if i == 2 {
					time.Sleep(2 * firstLedgerPause)
				}
				id := name[:4] + strconv.Itoa(i)
				receiver.serve(transport, netip.AddrPort{}).Data(signedDelivery(activeSecret, id, noon, callPayload("repair-order", "x", noon)))
				(<-posts)()
			}
			if got := statuses(t, transport); fmt.Sprint(got) != "[503 503 503]" || len(core.accepted) > 0 {
				t.Errorf("responses %v, %d requests", got, len(core.accepted))
			}
		})
	}
}

// Damage anywhere but in the last line leaves open which orders ran, so the ledger is not opened.
func TestDamagedLedgerIsNotOpened(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	if err := os.WriteFile(path, []byte("00000000 {}\n"), ledgerFileMode); err != nil {
		t.Fatal(err)
	}
	_, _, err := openLedger(testLedger(path), noon, systemDisk{})
	var damaged *LedgerError
	if !errors.As(err, &damaged) || damaged.Path != path || damaged.Line != 1 {
		t.Errorf("a damaged ledger was opened, or its error does not name the line: %v", err)
	}
}

func TestOrderOlderThanRetentionIsRejected(t *testing.T) {
	core := &fakeCore{}
	transport := &testutil.Transport{}
	receiver, _ := newTestReceiver(t, core, filepath.Join(t.TempDir(), "ledger"))
	defer receiver.Close()
	receiver.serve(transport, netip.AddrPort{}).Data(signedDelivery(activeSecret, "old", noon, callPayload("repair-order", "x", noon.Add(-72*time.Hour))))
	if got := statuses(t, transport); fmt.Sprint(got) != "[400]" || len(core.accepted) > 0 {
		t.Errorf("an order older than the retention: responses %v, %d requests", got, len(core.accepted))
	}
}

// An order that was in flight at a crash may have run, so it is failed and not handed to the core again.
func TestOrderInFlightAtCrashIsNotRunAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	delivery := signedDelivery(activeSecret, "m", noon, callPayload("repair-order", "x", noon))
	for round, want := range []struct {
		requests  int
		responses string
	}{{1, "[]"}, {0, "[502]"}} {
		core := &fakeCore{}
		transport := &testutil.Transport{}
		receiver, posts := newTestReceiver(t, core, path)
		receiver.serve(transport, netip.AddrPort{}).Data(delivery)
		if round == 0 {
			(<-posts)() // it is on the disk, and is handed to the core
		}
		if got := statuses(t, transport); len(core.accepted) != want.requests || fmt.Sprint(got) != want.responses {
			t.Errorf("round %d: %d requests, responses %v", round, len(core.accepted), got)
		}
		receiver.Close()
	}
}

// Closing the receiver ends the ledger's goroutine, after all that was recorded is in the file.
func TestCloseWritesTheQueueAndLeavesNoGoroutine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	waitForLedgerGoroutines(t, 0) // of the tests before
	receiver, _ := newTestReceiver(t, &fakeCore{}, path)
	waitForLedgerGoroutines(t, 1)
	const orders = 20
	for i := range orders {
		order := ledgerEntry{ID: strconv.Itoa(i), EventTime: noon, State: stateEnded, Status: statusOK}
		receiver.ledger.update(order, noon)
	}
	if err := receiver.Close(); err != nil {
		t.Fatal(err)
	}
	waitForLedgerGoroutines(t, 0)
	content := readFile(t, path)
	if lines := bytes.Count(content, []byte("\n")); lines != orders {
		t.Errorf("the ledger has %d lines, want %d", lines, orders)
	}
}

// waitForLedgerGoroutines fails the test unless so many goroutines write ledgers. One that has just reported its end may
// take a moment to be gone.
func waitForLedgerGoroutines(t *testing.T, want int) {
	t.Helper()
	got := -1
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		stacks := make([]byte, 1<<20)
		stacks = stacks[:runtime.Stack(stacks, true)]
		if got = bytes.Count(stacks, []byte("webhook.(*ledger).run(")); got == want {
			return
		}
	}
	t.Fatalf("%d goroutines write ledgers, want %d", got, want)
}

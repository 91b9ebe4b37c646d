package webhook

import (
	"bytes"
	"fmt"
	"net/netip"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"crankhold/internal/ledger"
	"crankhold/internal/testutil"
)

// ledgerRetryDelay is the delay after which a ledger retries a failed disk.
const ledgerRetryDelay = 50 * time.Millisecond

// If the ledger is full, or its disk fails permanently, the current order and all later ones are rejected.
func TestOrdersAreRejectedWhenLedgerCannotWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	for name, test := range map[string]struct {
		maxBytes int64
		fails    bool
	}{
		"full":         {maxBytes: 10},
		"failed write": {maxBytes: defaultLedgerBytes, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			core := &fakeCore{}
			transport := &testutil.Transport{}
			config := testConfig(path)
			config.Receiver.Ledger.MaxBytes = test.maxBytes
			disk := &faultyDisk{}
			receiver, posts := newTestReceiverOn(t, core, config, wallAtNoon, disk)
			defer receiver.Close()
			if test.fails {
				disk.failPermanently()
			}
			for i := range 3 { // the later orders are sent before and after the ledger retries the disk
				if i == 2 {
					time.Sleep(2 * ledgerRetryDelay)
				}
				id := name[:4] + strconv.Itoa(i)
				receiver.serve(transport, netip.AddrPort{}).Data(signedDelivery(activeSecret, id, noon, requestPayload("repair-order", "x", noon)))
				(<-posts)()
			}
			if got := statuses(t, transport); fmt.Sprint(got) != "[503 503 503]" || len(core.accepted) > 0 {
				t.Errorf("responses %v, %d requests", got, len(core.accepted))
			}
		})
	}
}

func TestOrderOlderThanRetentionIsRejected(t *testing.T) {
	core := &fakeCore{}
	transport := &testutil.Transport{}
	receiver, _ := newTestReceiver(t, core, filepath.Join(t.TempDir(), "ledger"))
	defer receiver.Close()
	receiver.serve(transport, netip.AddrPort{}).Data(signedDelivery(activeSecret, "old", noon, requestPayload("repair-order", "x", noon.Add(-72*time.Hour))))
	if got := statuses(t, transport); fmt.Sprint(got) != "[400]" || len(core.accepted) > 0 {
		t.Errorf("an order older than the retention: responses %v, %d requests", got, len(core.accepted))
	}
}

// An order that was in flight at a crash may have run. It gets the response of a failure and does not reach the core
// again.
func TestOrderInFlightAtCrashIsNotRunAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	delivery := signedDelivery(activeSecret, "m", noon, requestPayload("repair-order", "x", noon))
	for round, want := range []struct {
		requests  int
		responses string
	}{{1, "[]"}, {0, "[502]"}} {
		core := &fakeCore{}
		transport := &testutil.Transport{}
		receiver, posts := newTestReceiver(t, core, path)
		receiver.serve(transport, netip.AddrPort{}).Data(delivery)
		if round == 0 {
			(<-posts)() // the order is on the disk, and the core receives it
		}
		if got := statuses(t, transport); len(core.accepted) != want.requests || fmt.Sprint(got) != want.responses {
			t.Errorf("round %d: %d requests, responses %v", round, len(core.accepted), got)
		}
		receiver.Close()
	}
}

// Closing the receiver writes all queued entries to the file and then stops the ledger's goroutine.
func TestCloseWritesQueuedEntriesAndStopsLedgerGoroutine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	requireLedgerWriterCount(t, 0) // the writers of earlier tests have stopped
	receiver, _ := newTestReceiver(t, &fakeCore{}, path)
	requireLedgerWriterCount(t, 1)
	const orders = 20
	for i := range orders {
		order := ledger.Entry{ID: strconv.Itoa(i), EventTime: noon, State: ledger.Ended, Status: 200}
		receiver.ledger.Update(order, noon)
	}
	if err := receiver.Close(); err != nil {
		t.Fatal(err)
	}
	requireLedgerWriterCount(t, 0)
	content := testutil.ReadFile(t, path)
	if lines := bytes.Count(content, []byte("\n")); lines != orders {
		t.Errorf("the ledger has %d lines, want %d", lines, orders)
	}
}

// requireLedgerWriterCount fails the test unless the number of ledger goroutines is want, now or within ten seconds.
func requireLedgerWriterCount(t *testing.T, want int) {
	t.Helper()
	testutil.RequireGoroutines(t, want, 10*time.Second, func(stack string) bool {
		return strings.Contains(stack, "ledger.(*writer).run(")
	})
}

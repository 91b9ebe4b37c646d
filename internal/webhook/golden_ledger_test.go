package webhook

import (
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"crankhold/internal/golden"
	"crankhold/internal/router"
	"crankhold/internal/testutil"
)

// ledgerOrder is an order that is delivered once for each of its responses. If it has none, it is delivered once and
// never responded to.
type ledgerOrder struct {
	id, class, timestamp string
	responses            []router.Response
}

// delivery returns the bytes of a delivery of the order, signed at the given time.
func (o ledgerOrder) delivery(at time.Time) []byte {
	payload := fmt.Sprintf(`{"type":"call.requested","timestamp":%q,"data":{"class":%q,"key":"7f3a9c21e0b4d655","body":%q}}`,
		o.timestamp, o.class, base64.StdEncoding.EncodeToString([]byte("run "+o.id)))
	return signedDelivery(activeSecret, o.id, at, []byte(payload))
}

const (
	ledgerFile   = "testdata/ledger"              // the ledger that writeLedger writes
	compactFile  = "testdata/ledger.compacted"    // the ledger after it was opened at noon
	reopenedFile = "testdata/ledger.reopened.txt" // the transcript of deliveries to a receiver that opened the ledger
	tornBytes    = 20                             // bytes that are cut off the end of the ledger
)

// ledgerOrders returns orders that produce entries in every possible state. The ledger is written two hours before noon
// and read again at noon, with a retention of 72 hours.
func ledgerOrders() []ledgerOrder {
	const recent = "2026-12-01T10:00:00Z"
	served := router.Response{Status: router.Served, Body: []byte("done \x00\xff\r\n")}
	rejected := router.Response{Status: router.Rejected}
	return []ledgerOrder{
		{"under-way", "repair-order", recent, nil},
		{"served", "repair-order", recent, []router.Response{served}},
		{"served-empty", "repair-order", recent, []router.Response{{Status: router.Served}}},
		{"served-keyed", "extend", recent, []router.Response{served}},
		{"served-zoned", "repair-order", "2026-12-01T11:00:00.25+01:00", []router.Response{served}},
		{"served-<&>", "repair-order", recent, []router.Response{served}},
		{"failed", "repair-order", recent, []router.Response{{Status: router.Failed}}},
		{"failed-overdue", "repair-order", recent, []router.Response{{Status: router.Failed, DeadlineExceeded: true}}},
		{"refused-may-have-run", "repair-order", recent, []router.Response{{Status: router.Rejected, MayHaveRun: true}}},
		{"refused", "repair-order", recent, []router.Response{rejected}},
		{"refused-overdue", "repair-order", recent, []router.Response{{Status: router.Rejected, DeadlineExceeded: true}}},
		{"refused-then-served", "repair-order", recent, []router.Response{rejected, served}},
		{"at-retention", "repair-order", "2026-11-28T12:00:00Z", []router.Response{served}},
		{"expired", "repair-order", "2026-11-28T11:00:00Z", []router.Response{served}},
		{"torn", "repair-order", recent, nil},
	}
}

// writeLedger delivers all orders and then truncates the last line, like a crash may.
func writeLedger(t *testing.T, path string) {
	t.Helper()
	written := noon.Add(-2 * time.Hour)
	core := &fakeCore{}
	receiver, posts := newTestReceiverAt(t, core, path, func() time.Time { return written })
	for _, o := range ledgerOrders() {
		for round := range max(1, len(o.responses)) {
			receiver.serve(&testutil.Transport{}, clientAddress).Data(o.delivery(written))
			(<-posts)()
			if len(o.responses) > 0 {
				core.accepted[len(core.accepted)-1].Responder.Respond(o.responses[round])
			}
		}
	}
	if err := receiver.Close(); err != nil {
		t.Fatal(err)
	}
	content := testutil.ReadFile(t, path)
	if err := os.Truncate(path, int64(len(content)-tornBytes)); err != nil {
		t.Fatal(err)
	}
}

// The ledger matches its golden file byte for byte, because earlier and later versions must be able to read it.
func TestGoldenLedgerIsWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	writeLedger(t, path)
	golden.Compare(t, ledgerFile, testutil.ReadFile(t, path))
}

// A ledger that an earlier version wrote is read correctly: the transcript shows which deliveries get the response of
// the first one, which get that of a failure, and which are accepted again.
func TestGoldenLedgerIsRead(t *testing.T) {
	testutil.FixRandom(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "ledger")
	if err := os.WriteFile(path, testutil.ReadFile(t, ledgerFile), 0o600); err != nil {
		t.Fatal(err)
	}
	core := &fakeCore{}
	receiver, posts := newTestReceiver(t, core, path)
	golden.Compare(t, compactFile, testutil.ReadFile(t, path))

	orders := ledgerOrders()
	orders = append(orders,
		ledgerOrder{"served", "extend", "2026-12-01T12:00:00Z", nil},        // an id that was used for another payload
		ledgerOrder{"expired", "repair-order", "2026-12-01T12:00:00Z", nil}) // an id that was removed from the ledger
	transcript := ""
	for _, o := range orders {
		transport := &testutil.Transport{}
		before := len(core.accepted)
		client := receiver.serve(transport, clientAddress)
		transcript += golden.Quote("request", o.delivery(noon))
		client.Data(o.delivery(noon))
		if client.Busy() {
			(<-posts)()
		}
		for _, r := range core.accepted[before:] {
			transcript += describeRequest(r)
		}
		transcript += golden.Quote("response", transport.Written.Bytes()) + "\n"
	}
	if err := receiver.Close(); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, reopenedFile, []byte(transcript+listFiles(t, dir)))
}

// listFiles formats the names and modes of the files in a directory.
func listFiles(t *testing.T, dir string) string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	list := ""
	for _, e := range entries {
		info, err := e.Info()
		if err != nil {
			t.Fatal(err)
		}
		list += fmt.Sprintf("file: %s %s\n", info.Mode(), e.Name())
	}
	return list
}

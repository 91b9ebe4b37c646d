package webhook

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/golden"
	"crankhold/internal/router"
	"crankhold/internal/testutil"
)

// The golden files hold whole messages. Nothing in them is masked: the clocks are fixed, and fixRandom makes the
// random ids repeatable.

var goldenClient = netip.MustParseAddrPort("192.0.2.7:4000")

// countingReader yields the bytes 255, 254, 253 and so on: in base64 they have characters that its variants differ in.
type countingReader struct{ last byte }

func (r *countingReader) Read(b []byte) (int, error) {
	for i := range b {
		r.last--
		b[i] = r.last
	}
	return len(b), nil
}

// fixRandom replaces the source of random ids until the end of the test.
func fixRandom(t *testing.T) {
	t.Helper()
	system := rand.Reader
	rand.Reader = &countingReader{}
	t.Cleanup(func() { rand.Reader = system })
}

func replaced(request []byte, old, new string) []byte {
	return bytes.Replace(request, []byte(old), []byte(new), 1)
}

// describeRequest formats what the router is handed. Workers are sent most of it.
func describeRequest(r router.Request) string {
	return fmt.Sprintf("call handed to the router:\n\tclass %d, id %s, key %s, function %016x, tenant %q, idempotency key %q\n"+
		"\twebhook-id %q, client %s, memory %v MB, lanes %v, load time %v, deadline %v, body %q\n",
		r.Class, r.ID, r.Function.Key, uint64(r.Function.ID), r.Tenant, r.IdempotencyKey,
		r.Client.Reference, r.Client.Address, r.Function.MemoryMB, r.Function.Lanes, r.Function.LoadTime, r.Deadline, r.Body)
}

// exchange is what a client sends on one connection, and what becomes of the requests in it.
type exchange struct {
	name      string
	sent      [][]byte          // each part is sent when the one before has been handled
	responses []router.Response // to the requests that reach the router, in turn
	noLedger  bool
	prepare   func(*Receiver)
}

// play returns a transcript of the exchange.
func (x exchange) play(t *testing.T) string {
	t.Helper()
	fixRandom(t)
	ledgerPath := filepath.Join(t.TempDir(), "ledger")
	if x.noLedger {
		ledgerPath = ""
	}
	core := &fakeCore{}
	receiver, posts := newReceiver(t, core, ledgerPath)
	defer receiver.Close()
	if x.prepare != nil {
		x.prepare(receiver)
	}
	transport := &testutil.Transport{}
	client := receiver.serve(transport, goldenClient)
	transcript := ""
	answered := 0
	for _, part := range x.sent {
		transcript += golden.Quote("request", part)
		client.Data(bytes.Clone(part))
		for client.Busy() {
			if len(core.accepted) == answered { // the ledger has to confirm the order first
				(<-posts)()
				continue
			}
			transcript += describeRequest(core.accepted[answered])
			core.accepted[answered].Responder.Respond(x.responses[answered])
			answered++
		}
		transcript += golden.Quote("response", transport.Written.Bytes())
		transport.Written.Reset()
	}
	if answered != len(x.responses) {
		t.Errorf("%d requests reached the router, want %d", answered, len(x.responses))
	}
	return transcript + fmt.Sprintf("connection closed: %v\n", transport.Closed)
}

// fullPayload sets every field that a delivery may have.
const fullPayload = `{"type":"call.requested","timestamp":"2026-12-01T12:00:00Z","data":{"class":"extend",` +
	`"key":"7f3a9c21e0b4d655","tenant":"east","wait_ms":1500,"memory_mb":128.5,"lanes":2,"load_ms":250.25,"body":"AP9hYmM="}}`

func exchanges() []exchange {
	call1 := callPayload("dim-level", "run 1", noon)
	deliver := func(class string) []byte {
		return signedDelivery(activeSecret, "msg_1", noon, callPayload(class, "run 1", noon))
	}
	signed := func(payload string) []byte { return signedDelivery(activeSecret, "msg_1", noon, []byte(payload)) }
	good := deliver("dim-level")
	head, body, _ := bytes.Cut(replaced(good, "Host:", "Expect: 100-continue\r\nHost:"), []byte("\r\n\r\n"))
	head = append(bytes.Clone(head), "\r\n\r\n"...)
	served := router.Response{Status: router.Served, Body: []byte("done \x00\xff\r\n")}
	one := func(b []byte) [][]byte { return [][]byte{b} }
	respond := func(a router.Response) []router.Response { return []router.Response{a} }
	return []exchange{
		{name: "200-served", sent: one(good), responses: respond(served)},
		{name: "200-empty-body", sent: one(good), responses: respond(router.Response{Status: router.Served})},
		{name: "200-order", sent: one(deliver("repair-order")), responses: respond(served)},
		{name: "200-keyed-order-with-all-fields", sent: one(signed(fullPayload)), responses: respond(served)},
		{name: "200-connection-close", sent: one(replaced(good, "Host:", "Connection: close\r\nHost:")), responses: respond(served)},
		{name: "200-after-100-continue", sent: [][]byte{head, body}, responses: respond(served)},
		{name: "200-replayed", sent: [][]byte{good, signedDelivery(activeSecret, "msg_1", noon.Add(time.Minute), call1)}, responses: respond(served)},
		{name: "200-pipelined", sent: one(append(bytes.Clone(good), signedDelivery(activeSecret, "msg_2", noon, call1)...)),
			responses: []router.Response{served, served}},

		{name: "400-unknown-class", sent: one(deliver("lift"))},
		{name: "400-no-json", sent: one(signed("{"))},
		{name: "400-two-lengths", sent: one(replaced(good, "Content-Length", "Content-Length: 3\r\nContent-Length"))},
		{name: "400-id-of-another-payload", sent: [][]byte{good, deliver("repair-order")}, responses: respond(served)},
		{name: "400-order-too-old", sent: one(signedDelivery(activeSecret, "msg_1", noon, callPayload("repair-order", "run 1", noon.Add(-72*time.Hour))))},

		{name: "401-retired-key", sent: one(signedDelivery(retiredSecret, "msg_1", noon, call1))},
		{name: "401-stale", sent: one(signedDelivery(activeSecret, "msg_1", noon.Add(-6*time.Minute), call1))},
		{name: "401-unsigned", sent: one(replaced(good, "webhook-signature", "x-signature"))},

		{name: "404-other-path", sent: one(replaced(good, "/hooks", "/hook"))},
		{name: "405-other-method", sent: one(replaced(good, "POST", "PUT"))},
		{name: "405-then-200", sent: [][]byte{replaced(good, "POST", "PUT"), good}, responses: respond(served)},
		{name: "413-long-body", sent: one(replaced(good, "Content-Length: ", "Content-Length: 99"))},
		{name: "431-many-headers", sent: one(replaced(good, "Host: ", strings.Repeat("A: b\r\n", maxHeaders)+"Host: "))},
		{name: "431-long-head", sent: one(replaced(good, "Host: ", strings.Repeat("A: "+strings.Repeat("x", 253)+"\r\n", maxHeadBytes/256)+"Host: "))},

		{name: "502-failed", sent: one(good), responses: respond(router.Response{Status: router.Failed})},
		{name: "502-refused-but-may-have-run", sent: one(deliver("repair-order")),
			responses: respond(router.Response{Status: router.Rejected, MayHaveRun: true})},

		{name: "503-refused-without-advice", sent: one(good), responses: respond(router.Response{Status: router.Rejected})},
		{name: "503-refused-with-advice", sent: one(good),
			responses: respond(router.Response{Status: router.Rejected, RetryAfter: 2500 * time.Millisecond})},
		{name: "503-order-refused-then-served", sent: [][]byte{deliver("repair-order"), deliver("repair-order")},
			responses: []router.Response{{Status: router.Rejected}, served}},
		{name: "503-order-without-ledger", sent: one(deliver("repair-order")), noLedger: true},
		{name: "503-ledger-full", sent: one(deliver("repair-order")), prepare: func(v *Receiver) { v.ledger.maxBytes = 1 }},
		{name: "503-outcomes-full", sent: one(good), prepare: func(v *Receiver) { v.outcomes.maxBytes = -1 }},

		{name: "504-overdue-before-it-ran", sent: one(good), responses: respond(router.Response{Status: router.Rejected, DeadlineExceeded: true})},
		{name: "504-overdue", sent: one(good), responses: respond(router.Response{Status: router.Failed, DeadlineExceeded: true})},
	}
}

// The bytes of each response of the receiver are fixed, and those of the requests that bring it about.
func TestGoldenReceiver(t *testing.T) {
	for _, x := range exchanges() {
		t.Run(x.name, func(t *testing.T) {
			golden.Compare(t, filepath.Join("testdata", "receiver", x.name+".txt"), []byte(x.play(t)))
		})
	}
}

// noticeCase is a notice that is sent, and the response to each attempt.
type noticeCase struct {
	name, url, outcome string
	request            router.Request
	responses          []string
}

// play returns a transcript of all attempts.
func (n noticeCase) play(t *testing.T) string {
	t.Helper()
	fixRandom(t)
	config := testConfig("")
	config.Sender.URL = n.url
	config.Sender.Key = filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(config.Sender.Key, []byte("whsec_"+base64.StdEncoding.EncodeToString(activeSecret)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var transport *testutil.Transport
	var handler eventloop.DialHandler
	transcript := ""
	date := noon.Add(123456789 * time.Nanosecond).In(time.FixedZone("elsewhere", 3600)) // notices are in UTC
	dial := func(address string, timeout time.Duration, h eventloop.DialHandler) Transport {
		transcript += fmt.Sprintf("dial %s, timeout %v\n", address, timeout)
		transport, handler = &testutil.Transport{}, h
		return transport
	}
	sender, err := NewSender(config, func() time.Time { return date }, dial)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	sender.Notify(now, &n.request, router.Completion(n.outcome))
	for _, reply := range n.responses {
		sender.Tick(now)
		handler.DialCompleted(nil)
		transcript += golden.Quote("request", transport.Written.Bytes())
		transcript += golden.Quote("reply", []byte(reply))
		handler.Data([]byte(reply))
		transcript += fmt.Sprintf("connection closed: %v, notices left: %d\n", transport.Closed, sender.Pending())
		now += maxBackoff
		date = date.Add(90 * time.Second)
	}
	return transcript
}

// The bytes of each signed notice are fixed, and that a retry differs by its timestamp and signature alone.
func TestGoldenNotices(t *testing.T) {
	const (
		plainURL = "http://hooks.example.org/notices"
		accepted = "HTTP/1.1 204 No Content\r\n\r\n"
	)
	byWebhook := router.Request{ID: "9b1f03aa5c7e2d41", Client: router.Client{Reference: "msg_1"}, Function: router.Function{Key: "7f3a9c21e0b4d655"}}
	byOther := router.Request{ID: "order-17", Function: router.Function{Key: "7f3a9c21e0b4d655"}}
	for _, n := range []noticeCase{
		{"served", plainURL, "served", byWebhook, []string{accepted}},
		{"refused", plainURL, "refused", byWebhook, []string{accepted}},
		{"failed", plainURL, "failed", byWebhook, []string{accepted}},
		{"abandoned", plainURL, "abandoned", byWebhook, []string{accepted}},
		{"served-without-webhook-id", plainURL, "served", byOther, []string{accepted}},
		{"served-with-escapes", plainURL, "served", router.Request{ID: `a"b`, Client: router.Client{Reference: "msg_<&>"}, Function: router.Function{Key: "é"}}, []string{accepted}},
		{"served-url-with-port-and-query", "http://hooks.example.org:8080/n%20m?from=crankhold&x=1#part", "served", byWebhook, []string{accepted}},
		{"served-url-without-path", "http://hooks.example.org", "served", byWebhook, []string{accepted}},
		{"served-at-the-third-try", plainURL, "served", byWebhook, []string{"HTTP/1.1 500 Sorry\r\n\r\n", "HTTP/1.1 302 Found\r\n\r\n", accepted}},
		{"gone", plainURL, "served", byWebhook, []string{"HTTP/1.1 410 Gone\r\n\r\n"}},
	} {
		t.Run(n.name, func(t *testing.T) {
			golden.Compare(t, filepath.Join("testdata", "sender", n.name+".txt"), []byte(n.play(t)))
		})
	}
}

// ledgerOrder is an order that is delivered once for each of its responses, or once and never responded to.
type ledgerOrder struct {
	id, class, timestamp string
	responses            []router.Response
}

// delivery returns the order's bytes, signed at a time.
func (o ledgerOrder) delivery(at time.Time) []byte {
	payload := fmt.Sprintf(`{"type":"call.requested","timestamp":%q,"data":{"class":%q,"key":"7f3a9c21e0b4d655","body":%q}}`,
		o.timestamp, o.class, base64.StdEncoding.EncodeToString([]byte("run "+o.id)))
	return signedDelivery(activeSecret, o.id, at, []byte(payload))
}

const (
	ledgerFile   = "testdata/ledger"           // as the steps of writeLedger leave it
	compactFile  = "testdata/ledger.compacted" // as opening it at noon leaves it
	reopenedFile = "testdata/ledger.reopened.txt"
	tornBytes    = 20 // that the last line of the ledger lacks
)

// ledgerOrders bring about each state that an entry can have. The ledger is written two hours before noon and read
// again at noon, with a retention of 72 hours.
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

// writeLedger plays all orders and then cuts the last line short, as a crash may.
func writeLedger(t *testing.T, path string) {
	t.Helper()
	written := noon.Add(-2 * time.Hour)
	core := &fakeCore{}
	receiver, posts := newReceiverAt(t, core, path, func() time.Time { return written })
	for _, o := range ledgerOrders() {
		for round := range max(1, len(o.responses)) {
			receiver.serve(&testutil.Transport{}, goldenClient).Data(o.delivery(written))
			(<-posts)()
			if len(o.responses) > 0 {
				core.accepted[len(core.accepted)-1].Responder.Respond(o.responses[round])
			}
		}
	}
	if err := receiver.Close(); err != nil {
		t.Fatal(err)
	}
	content := readFile(t, path)
	if err := os.Truncate(path, int64(len(content)-tornBytes)); err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// The bytes of the ledger are fixed: an earlier or later version has to be able to read it.
func TestGoldenLedgerIsWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	writeLedger(t, path)
	golden.Compare(t, ledgerFile, readFile(t, path))
}

// A ledger that an earlier version wrote is read as it was meant: which deliveries are answered with the first
// outcome, which count as failed, and which are accepted anew.
func TestGoldenLedgerIsRead(t *testing.T) {
	fixRandom(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "ledger")
	if err := os.WriteFile(path, readFile(t, ledgerFile), 0o600); err != nil {
		t.Fatal(err)
	}
	core := &fakeCore{}
	receiver, posts := newReceiver(t, core, path)
	golden.Compare(t, compactFile, readFile(t, path))

	orders := ledgerOrders()
	orders = append(orders,
		ledgerOrder{"served", "extend", "2026-12-01T12:00:00Z", nil},        // the id of another payload
		ledgerOrder{"expired", "repair-order", "2026-12-01T12:00:00Z", nil}) // an id that was forgotten
	transcript := ""
	for _, o := range orders {
		transport := &testutil.Transport{}
		before := len(core.accepted)
		client := receiver.serve(transport, goldenClient)
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

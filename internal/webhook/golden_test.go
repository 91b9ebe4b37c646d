package webhook

import (
	"bytes"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"crankhold/internal/golden"
	"crankhold/internal/ledger"
	"crankhold/internal/router"
	"crankhold/internal/testutil"
)

// The golden files hold complete messages without masked parts: the clocks are fixed, and testutil.FixRandom makes the
// random ids deterministic.

var clientAddress = netip.MustParseAddrPort("192.0.2.7:4000")

func replaced(request []byte, old, new string) []byte {
	return bytes.Replace(request, []byte(old), []byte(new), 1)
}

// describeRequest formats a request that the router received. Most of its fields are sent to workers.
func describeRequest(r router.Request) string {
	return fmt.Sprintf("call handed to the router:\n\tclass %d, id %s, key %s, function %016x, tenant %q, idempotency key %q\n"+
		"\twebhook-id %q, client %s, memory %v MB, lanes %v, load time %v, deadline %v, body %q\n",
		r.Class, r.ID, r.Function.Key, uint64(r.Function.ID), r.Tenant, r.IdempotencyKey,
		r.Client.Reference, r.Client.Address, r.Function.MemoryMB, r.Function.Lanes, r.Function.LoadTime, r.Deadline, r.Body)
}

// exchange is the data that a client sends on one connection, and the router's responses to the requests in it.
type exchange struct {
	name      string
	sent      [][]byte          // each part is sent after the previous one was handled
	responses []router.Response // to the requests that reach the router, in their order
	noLedger  bool
	configure func(*Config)   // changes the configuration, if not nil
	prepare   func(*Receiver) // changes the receiver before the exchange, if not nil
}

// run runs the exchange and returns a transcript of it.
func (x exchange) run(t *testing.T) string {
	t.Helper()
	testutil.FixRandom(t)
	ledgerPath := filepath.Join(t.TempDir(), "ledger")
	if x.noLedger {
		ledgerPath = ""
	}
	core := &fakeCore{}
	config := testConfig(ledgerPath)
	if x.configure != nil {
		x.configure(config)
	}
	receiver, posts := newTestReceiverOn(t, core, config, wallAtNoon, ledger.SystemDisk{})
	defer receiver.Close()
	if x.prepare != nil {
		x.prepare(receiver)
	}
	transport := &testutil.Transport{}
	client := receiver.serve(transport, clientAddress)
	transcript := ""
	responded := 0
	for _, part := range x.sent {
		transcript += golden.Quote("request", part)
		client.Data(bytes.Clone(part))
		for client.Busy() {
			if len(core.accepted) == responded { // the ledger must confirm the order first
				(<-posts)()
				continue
			}
			transcript += describeRequest(core.accepted[responded])
			core.accepted[responded].Responder.Respond(x.responses[responded])
			responded++
		}
		transcript += golden.Quote("response", transport.Written.Bytes())
		transport.Written.Reset()
	}
	if responded != len(x.responses) {
		t.Errorf("%d requests reached the router, want %d", responded, len(x.responses))
	}
	return transcript + fmt.Sprintf("connection closed: %v\n", transport.Closed)
}

// fullPayload sets every field that a delivery may have.
const fullPayload = `{"type":"call.requested","timestamp":"2026-12-01T12:00:00Z","data":{"class":"extend",` +
	`"key":"7f3a9c21e0b4d655","tenant":"east","wait_ms":1500,"memory_mb":128.5,"lanes":2,"load_ms":250.25,"body":"AP9hYmM="}}`

func exchanges() []exchange {
	payload1 := requestPayload("dim-level", "run 1", noon)
	deliver := func(class string) []byte {
		return signedDelivery(activeSecret, "msg_1", noon, requestPayload(class, "run 1", noon))
	}
	signed := func(payload string) []byte { return signedDelivery(activeSecret, "msg_1", noon, []byte(payload)) }
	valid := deliver("dim-level")
	head, body, _ := bytes.Cut(replaced(valid, "Host:", "Expect: 100-continue\r\nHost:"), []byte("\r\n\r\n"))
	head = append(bytes.Clone(head), "\r\n\r\n"...)
	served := router.Response{Status: router.Served, Body: []byte("done \x00\xff\r\n")}
	single := func(b []byte) [][]byte { return [][]byte{b} }
	respond := func(response router.Response) []router.Response { return []router.Response{response} }
	return []exchange{
		{name: "200-served", sent: single(valid), responses: respond(served)},
		{name: "200-empty-body", sent: single(valid), responses: respond(router.Response{Status: router.Served})},
		{name: "200-order", sent: single(deliver("repair-order")), responses: respond(served)},
		{name: "200-keyed-order-with-all-fields", sent: single(signed(fullPayload)), responses: respond(served)},
		{name: "200-connection-close", sent: single(replaced(valid, "Host:", "Connection: close\r\nHost:")), responses: respond(served)},
		{name: "200-after-100-continue", sent: [][]byte{head, body}, responses: respond(served)},
		{name: "200-replayed", sent: [][]byte{valid, signedDelivery(activeSecret, "msg_1", noon.Add(time.Minute), payload1)}, responses: respond(served)},
		{name: "200-pipelined", sent: single(append(bytes.Clone(valid), signedDelivery(activeSecret, "msg_2", noon, payload1)...)),
			responses: []router.Response{served, served}},

		{name: "400-unknown-class", sent: single(deliver("lift"))},
		{name: "400-no-json", sent: single(signed("{"))},
		{name: "400-two-lengths", sent: single(replaced(valid, "Content-Length", "Content-Length: 3\r\nContent-Length"))},
		{name: "400-id-of-another-payload", sent: [][]byte{valid, deliver("repair-order")}, responses: respond(served)},
		{name: "400-order-too-old", sent: single(signedDelivery(activeSecret, "msg_1", noon, requestPayload("repair-order", "run 1", noon.Add(-72*time.Hour))))},

		{name: "401-retired-key", sent: single(signedDelivery(retiredSecret, "msg_1", noon, payload1))},
		{name: "401-stale", sent: single(signedDelivery(activeSecret, "msg_1", noon.Add(-6*time.Minute), payload1))},
		{name: "401-unsigned", sent: single(replaced(valid, "webhook-signature", "x-signature"))},

		{name: "404-other-path", sent: single(replaced(valid, "/hooks", "/hook"))},
		{name: "405-other-method", sent: single(replaced(valid, "POST", "PUT"))},
		{name: "405-then-200", sent: [][]byte{replaced(valid, "POST", "PUT"), valid}, responses: respond(served)},
		{name: "413-long-body", sent: single(replaced(valid, "Content-Length: ", "Content-Length: 99"))},
		{name: "431-many-headers", sent: single(replaced(valid, "Host: ", strings.Repeat("A: b\r\n", maxHeaders)+"Host: "))},
		{name: "431-long-head", sent: single(replaced(valid, "Host: ", strings.Repeat("A: "+strings.Repeat("x", 253)+"\r\n", maxHeadBytes/256)+"Host: "))},

		{name: "502-failed", sent: single(valid), responses: respond(router.Response{Status: router.Failed})},
		{name: "502-refused-but-may-have-run", sent: single(deliver("repair-order")),
			responses: respond(router.Response{Status: router.Rejected, MayHaveRun: true})},

		{name: "503-refused-without-advice", sent: single(valid), responses: respond(router.Response{Status: router.Rejected})},
		{name: "503-refused-with-advice", sent: single(valid),
			responses: respond(router.Response{Status: router.Rejected, RetryAfter: 2500 * time.Millisecond})},
		{name: "503-order-refused-then-served", sent: [][]byte{deliver("repair-order"), deliver("repair-order")},
			responses: []router.Response{{Status: router.Rejected}, served}},
		{name: "503-order-without-ledger", sent: single(deliver("repair-order")), noLedger: true},
		{name: "503-ledger-full", sent: single(deliver("repair-order")), configure: func(c *Config) { c.Receiver.Ledger.MaxBytes = 1 }},
		{name: "503-outcomes-full", sent: single(valid), prepare: func(v *Receiver) { v.outcomes.maxBodyBytes = -1 }},

		{name: "504-overdue-before-it-ran", sent: single(valid), responses: respond(router.Response{Status: router.Rejected, DeadlineExceeded: true})},
		{name: "504-overdue", sent: single(valid), responses: respond(router.Response{Status: router.Failed, DeadlineExceeded: true})},
	}
}

// The requests to the receiver and its responses match the golden files byte for byte.
func TestGoldenReceiver(t *testing.T) {
	for _, x := range exchanges() {
		t.Run(x.name, func(t *testing.T) {
			golden.Compare(t, filepath.Join("testdata", "receiver", x.name+".txt"), []byte(x.run(t)))
		})
	}
}

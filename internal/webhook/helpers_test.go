package webhook

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/ledger"
	"crankhold/internal/router"
	"crankhold/internal/signature"
	"crankhold/internal/testutil"
	"crankhold/policy"
)

var (
	noon          = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	activeSecret  = bytes.Repeat([]byte("active"), 5)
	retiredSecret = bytes.Repeat([]byte("retire"), 5)
	classes       = []Class{{Name: "dim-level", MaxWait: 2 * time.Second}, {Name: "repair-order", NotIdempotent: true, MaxWait: 3 * time.Second},
		{Name: "extend", NotIdempotent: true, RequiresIdempotencyKey: true, MaxWait: 3 * time.Second}}
)

// wallAtNoon is a wall clock that always returns noon.
func wallAtNoon() time.Time { return noon }

// fakeCore records the requests that it receives. The test responds to them.
type fakeCore struct{ accepted []router.Request }

func (c *fakeCore) Accept(_ time.Duration, r router.Request) policy.RequestID {
	c.accepted = append(c.accepted, r)
	return policy.RequestID(len(c.accepted))
}

// testConfig returns the default configuration with a ledger at the given path. If the path is empty, it has no ledger.
func testConfig(ledgerPath string) *Config {
	config, err := parseConfig("test", `receiver.path = "/hooks"`)
	if err != nil {
		panic(err)
	}
	config.Receiver.Ledger.Path = ledgerPath
	return config
}

// testOptions returns the options of a receiver for the tests' classes.
func testOptions(config *Config, core Core, clock Clock, wallClock func() time.Time, post func(func())) Options {
	return Options{
		Config:          config.Receiver,
		Core:            core,
		Classes:         classes,
		MaxOutcomeBytes: 16 << 20,
		Clock:           clock,
		WallClock:       wallClock,
		Post:            post,
	}
}

// newTestReceiver returns a receiver with an active and a retired key. The functions that it posts to the event loop
// are sent to the returned channel.
func newTestReceiver(t rapid.TB, core Core, path string) (*Receiver, chan func()) {
	t.Helper()
	return newTestReceiverAt(t, core, path, wallAtNoon)
}

// newTestReceiverAt is like newTestReceiver, with the given wall clock.
func newTestReceiverAt(t rapid.TB, core Core, path string, wallClock func() time.Time) (*Receiver, chan func()) {
	t.Helper()
	return newTestReceiverOn(t, core, testConfig(path), wallClock, ledger.SystemDisk{})
}

// newTestReceiverOn is like newTestReceiverAt, with the given configuration and disk for the ledger.
func newTestReceiverOn(t rapid.TB, core Core, config *Config, wallClock func() time.Time, disk ledger.Disk) (*Receiver, chan func()) {
	t.Helper()
	posts := make(chan func(), 100)
	clock := testutil.Clock(time.Hour)
	post := func(f func()) { posts <- f }
	receiver, err := newReceiver(testOptions(config, core, clock, wallClock, post), disk)
	if err != nil {
		t.Fatal(err)
	}
	receiver.authenticator.keys = []signature.Key{{Secret: activeSecret}, {Secret: retiredSecret, Until: noon}}
	return receiver, posts
}

// requestPayload returns the payload of a delivery with a request of a class. Its event happened at the given time.
func requestPayload(class, body string, at time.Time) []byte {
	p := payload{Type: requestEventType, Timestamp: at}
	p.Data.Class = class
	p.Data.Key = "7f3a9c21e0b4d655"
	p.Data.Body = []byte(body)
	text, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return text
}

// signedDelivery returns the bytes of a delivery that is signed at the given time.
func signedDelivery(secret []byte, id string, at time.Time, body []byte) []byte {
	timestamp := strconv.FormatInt(at.Unix(), 10)
	return append(fmt.Appendf(nil, "POST /hooks HTTP/1.1\r\nHost: hooks.example.org\r\nContent-Length: %d\r\nwebhook-id: %s\r\n"+
		"webhook-timestamp: %s\r\nwebhook-signature: v1a,other %s\r\n\r\n", len(body), id, timestamp, signature.Sign(secret, id, timestamp, body)), body...)
}

// statuses returns the statuses of the responses that were written.
func statuses(t rapid.TB, transport *testutil.Transport) (out []int) {
	t.Helper()
	for in := bufio.NewReader(bytes.NewReader(transport.Written.Bytes())); ; {
		if _, err := in.Peek(1); err == io.EOF {
			return out
		}
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%v in %q", err, transport.Written.String())
		}
		io.Copy(io.Discard, r.Body)
		out = append(out, r.StatusCode)
	}
}

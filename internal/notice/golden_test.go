package notice

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/golden"
	"crankhold/internal/router"
	"crankhold/internal/testutil"
)

var (
	noon         = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	activeSecret = bytes.Repeat([]byte("active"), 5)
)

// wallAtNoon is a wall clock that always returns noon.
func wallAtNoon() time.Time { return noon }

// noticeCase is a notice to send, with the subscriber's response to each attempt.
type noticeCase struct {
	name, url, outcome string
	request            router.Request
	responses          []string
}

// run makes all attempts and returns a transcript of them.
func (n noticeCase) run(t *testing.T) string {
	t.Helper()
	testutil.FixRandom(t)
	config := DefaultConfig()
	config.URL = n.url
	config.Key = filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(config.Key, []byte("whsec_"+base64.StdEncoding.EncodeToString(activeSecret)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var transport *testutil.Transport
	var handler eventloop.DialHandler
	transcript := ""
	wallTime := noon.Add(123456789 * time.Nanosecond).In(time.FixedZone("elsewhere", 3600)) // timestamps in notices must still be in UTC
	dial := func(address string, timeout time.Duration, h eventloop.DialHandler) Transport {
		transcript += fmt.Sprintf("dial %s, timeout %v\n", address, timeout)
		transport, handler = &testutil.Transport{}, h
		return transport
	}
	sender, err := NewSender(Options{Config: config, WallClock: func() time.Time { return wallTime }, Dial: dial})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	sender.Notify(now, &n.request, router.Completion(n.outcome))
	for _, response := range n.responses {
		sender.Tick(now)
		handler.DialCompleted(nil)
		transcript += golden.Quote("request", transport.Written.Bytes())
		transcript += golden.Quote("reply", []byte(response))
		handler.Data([]byte(response))
		transcript += fmt.Sprintf("connection closed: %v, notices left: %d\n", transport.Closed, sender.Pending())
		now += maxBackoff
		wallTime = wallTime.Add(90 * time.Second)
	}
	return transcript
}

// Each signed notice matches its golden file byte for byte. The golden files also show that a retry differs from the
// first attempt in its timestamp and signature only.
func TestGoldenNotices(t *testing.T) {
	const (
		plainURL = "http://hooks.example.org/notices"
		accepted = "HTTP/1.1 204 No Content\r\n\r\n"
	)
	fromWebhook := router.Request{ID: "9b1f03aa5c7e2d41", Client: router.Client{Reference: "msg_1"}, Function: router.Function{Key: "7f3a9c21e0b4d655"}}
	fromOther := router.Request{ID: "order-17", Function: router.Function{Key: "7f3a9c21e0b4d655"}}
	for _, n := range []noticeCase{
		{"served", plainURL, "served", fromWebhook, []string{accepted}},
		{"refused", plainURL, "refused", fromWebhook, []string{accepted}},
		{"failed", plainURL, "failed", fromWebhook, []string{accepted}},
		{"abandoned", plainURL, "abandoned", fromWebhook, []string{accepted}},
		{"served-without-webhook-id", plainURL, "served", fromOther, []string{accepted}},
		{"served-with-escapes", plainURL, "served", router.Request{ID: `a"b`, Client: router.Client{Reference: "msg_<&>"}, Function: router.Function{Key: "é"}}, []string{accepted}},
		{"served-url-with-port-and-query", "http://hooks.example.org:8080/n%20m?from=crankhold&x=1#part", "served", fromWebhook, []string{accepted}},
		{"served-url-without-path", "http://hooks.example.org", "served", fromWebhook, []string{accepted}},
		{"served-at-the-third-try", plainURL, "served", fromWebhook, []string{"HTTP/1.1 500 Sorry\r\n\r\n", "HTTP/1.1 302 Found\r\n\r\n", accepted}},
		{"gone", plainURL, "served", fromWebhook, []string{"HTTP/1.1 410 Gone\r\n\r\n"}},
	} {
		t.Run(n.name, func(t *testing.T) {
			golden.Compare(t, filepath.Join("testdata", "sender", n.name+".txt"), []byte(n.run(t)))
		})
	}
}

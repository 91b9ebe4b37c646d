package notice

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/internal/signature"
	"crankhold/internal/testutil"
)

// Notices are signed, keep their id in all attempts and are abandoned after the configured number of attempts. If the
// queue is full, they are dropped and counted.
func TestNoticesAreSignedRetriedAndBounded(t *testing.T) {
	config := DefaultConfig()
	config.URL = "http://hooks.example.org/n"
	config.Queue = 2
	config.Attempts = 3
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"), 0o600); err != nil {
		t.Fatal(err)
	}
	config.Key = path
	var transports []*testutil.Transport
	var handlers []eventloop.DialHandler
	dial := func(_ string, _ time.Duration, h eventloop.DialHandler) Transport {
		transports = append(transports, &testutil.Transport{})
		handlers = append(handlers, h)
		return transports[len(transports)-1]
	}
	sender, err := NewSender(Options{Config: config, WallClock: wallAtNoon, Dial: dial})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		sender.Notify(time.Hour, &router.Request{ID: "9b1f03aa5c7e2d41", Function: router.Function{Key: "7f3a9c21e0b4d655"}}, "served")
	}
	ids := map[string]int{}
	now := time.Hour
	for attempt := 0; sender.Pending() > 0; attempt++ {
		next := sender.Tick(now)
		for i, handler := range handlers {
			handler.DialCompleted(nil)
			request, err := http.ReadRequest(bufio.NewReader(&transports[i].Written))
			if err != nil || request.Host != "hooks.example.org" || request.URL.Path != "/n" {
				t.Fatalf("request %v: %v", request, err)
			}
			body, _ := io.ReadAll(request.Body)
			id, timestamp := request.Header.Get("webhook-id"), request.Header.Get("webhook-timestamp")
			if got := request.Header.Get("webhook-signature"); got != signature.Sign(sender.subscriber.secret, id, timestamp, body) || !bytes.Contains(body, []byte(`"repair-order.served"`)) {
				t.Fatalf("signature %q, body %s", got, body)
			}
			ids[id]++
			status := "500 Sorry"
			if attempt == 2 && i == 0 {
				status = "204 No Content"
			}
			for _, b := range []byte("HTTP/1.1 " + status + "\r\n\r\n") {
				handler.Data([]byte{b})
			}
			handler.Closed(nil)
			if !transports[i].Closed {
				t.Error("the connection was not closed")
			}
		}
		transports = nil
		handlers = nil
		now = max(next, now+10*time.Minute)
	}
	if want := (Counters{Queued: 2, Dropped: 1, Delivered: 1, Retried: 4, Abandoned: 1}); sender.Counters() != want || len(ids) != 2 {
		t.Errorf("counters %+v, want %+v; ids %v", sender.Counters(), want, ids)
	}
	for id, n := range ids {
		if n != 3 {
			t.Errorf("notice %s was sent %d times", id, n)
		}
	}
}

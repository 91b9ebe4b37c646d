package webhook

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"crankhold/internal/signature"
)

// fakeSubscriber receives notices as hooks.example.org. It rejects the first attempt of each notice, and accepts and
// keeps the notice at the second one.
type fakeSubscriber struct {
	address  string
	mu       sync.Mutex
	attempts map[string]int    // by the notice's webhook-id
	orderOf  map[string]string // from the notice's webhook-id to that of its order
	notices  [][]byte          // accepted notices, as deliveries to a receiver
	accepted chan struct{}     // gets a value for each accepted notice
}

// startFakeSubscriber starts a subscriber that stops when the test ends.
func startFakeSubscriber(t *testing.T) *fakeSubscriber {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	subscriber := &fakeSubscriber{address: ln.Addr().String(), attempts: map[string]int{}, orderOf: map[string]string{}, accepted: make(chan struct{}, 1000)}
	httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		id, timestamp := r.Header.Get("webhook-id"), r.Header.Get("webhook-timestamp")
		var p struct {
			Data struct {
				WebhookID string `json:"webhook_id"`
			} `json:"data"`
		}
		if err != nil || json.Unmarshal(body, &p) != nil || r.Host != "hooks.example.org" ||
			r.Header.Get("webhook-signature") != signature.Sign(activeSecret, id, timestamp, body) {
			t.Errorf("invalid notice: %v %s", r.Header, body)
		}
		subscriber.mu.Lock()
		defer subscriber.mu.Unlock()
		if subscriber.attempts[id]++; subscriber.attempts[id] == 1 {
			w.WriteHeader(500)
			return
		}
		subscriber.orderOf[id] = p.Data.WebhookID
		subscriber.notices = append(subscriber.notices, signedDelivery(activeSecret, id, noon, body))
		subscriber.accepted <- struct{}{}
	})}
	go httpServer.Serve(ln)
	t.Cleanup(func() { httpServer.Close() })
	return subscriber
}

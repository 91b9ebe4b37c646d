package webhook

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// A sender at hooks.example.org replays, reorders and tampers with signed orders, also after a restart, and sends the
// notices about them back as deliveries. No order runs twice, and there is one notice about each.
func TestOrdersRunOnceDespiteReplayAndRestart(t *testing.T) {
	const orders = 30
	ledgerPath := filepath.Join(t.TempDir(), "ledger")
	runs := map[string]int{}
	rng := rand.New(rand.NewPCG(1, 2))
	type signedOrder struct {
		bytes []byte
		order string
		want  int
	}
	var deliveries []signedOrder
	for i := range orders {
		order, id := fmt.Sprintf("order-%d", i), fmt.Sprintf("msg_%d", i)
		body := requestPayload("repair-order", order, noon)
		want := 200
		if strings.HasSuffix(order, "7") {
			want = 502
		}
		deliveries = append(deliveries, signedOrder{signedDelivery(activeSecret, id, noon, body), order, want})
		for range 1 + rng.IntN(3) {
			// A redelivery is either an exact copy or has a new signature for its later time.
			deliveries = append(deliveries, signedOrder{signedDelivery(activeSecret, id, noon.Add(time.Duration(rng.IntN(100))*time.Second), body), order, want})
		}
		tampered := bytes.Replace(signedDelivery(activeSecret, id, noon, body), []byte("webhook-id: msg_"), []byte("webhook-id: msg_x"), 1)
		deliveries = append(deliveries, signedOrder{tampered, order, 401}, signedOrder{signedDelivery(retiredSecret, id+"r", noon, body), order, 401})
	}
	subscriber := startFakeSubscriber(t)
	for round := range 2 { // the second round is after a restart
		rng.Shuffle(len(deliveries), func(i, j int) { deliveries[i], deliveries[j] = deliveries[j], deliveries[i] })
		server := startTestServer(t, ledgerPath, subscriber.address, runs)
		var group sync.WaitGroup
		for client := range 4 {
			group.Go(func() {
				for i := client; i < len(deliveries); i += 4 {
					status, body := server.deliver(t, deliveries[i].bytes)
					if status != deliveries[i].want || status == 200 && body != "done "+deliveries[i].order {
						t.Errorf("round %d, %s: %d %q, want %d", round, deliveries[i].order, status, body, deliveries[i].want)
					}
				}
			})
		}
		group.Wait()
		if round == 0 {
			for range orders {
				<-subscriber.accepted
			}
			for _, notice := range subscriber.notices { // a notice has a valid signature but contains no request
				deliveries = append(deliveries, signedOrder{notice, "notice", 400})
			}
		}
		server.stop(t)
		for i := range orders {
			if n := runs[fmt.Sprintf("order-%d", i)]; n != 1 {
				t.Errorf("round %d: order %d ran %d times", round, i, n)
			}
		}
	}
	noticesOf := map[string]int{}
	for id, order := range subscriber.orderOf {
		if noticesOf[order]++; subscriber.attempts[id] != 2 || noticesOf[order] != 1 {
			t.Errorf("notice %s of %s: %d attempts, %d notices", id, order, subscriber.attempts[id], noticesOf[order])
		}
	}
	if len(noticesOf) != orders {
		t.Errorf("notices of %d orders", len(noticesOf))
	}
}

// A payload that is signed with a retired key gets exactly one response, which rejects it.
func TestRetiredKeyGetsOneFinalResponse(t *testing.T) {
	server := startTestServer(t, filepath.Join(t.TempDir(), "ledger"), "", map[string]int{})
	defer server.stop(t)
	c, err := net.Dial("tcp", server.address)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	b := signedDelivery(retiredSecret, "m", noon, requestPayload("repair-order", "x", noon))
	c.Write(bytes.Replace(b, []byte("Host:"), []byte("Connection: close\r\nHost:"), 1))
	received, err := io.ReadAll(c)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	if n := strings.Count(string(received), "HTTP/1.1 "); n != 1 || !strings.HasPrefix(string(received), "HTTP/1.1 401 ") || server.runs["x"] != 0 {
		t.Errorf("%d responses: %q", n, received)
	}
}

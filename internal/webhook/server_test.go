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

// A sender at hooks.example.org replays, reorders and tampers with signed orders, and with the notices that it gets of
// them, also over a restart. No order runs twice, and each has one notice.
func TestOrdersRunOnceDespiteReplayAndRestart(t *testing.T) {
	const orders = 30
	ledger := filepath.Join(t.TempDir(), "ledger")
	runs := map[string]int{}
	rng := rand.New(rand.NewPCG(1, 2))
	type sent struct {
		bytes []byte
		order string
		want  int
	}
	var all []sent
	for i := range orders {
		order, id := fmt.Sprintf("order-%d", i), fmt.Sprintf("msg_%d", i)
		body := callPayload("repair-order", order, noon)
		want := 200
		if strings.HasSuffix(order, "7") {
			want = 502
		}
		all = append(all, sent{signedDelivery(activeSecret, id, noon, body), order, want})
		for range 1 + rng.IntN(3) {
			// Sent again as it was, or signed anew for a later attempt.
			all = append(all, sent{signedDelivery(activeSecret, id, noon.Add(time.Duration(rng.IntN(100))*time.Second), body), order, want})
		}
		tampered := bytes.Replace(signedDelivery(activeSecret, id, noon, body), []byte("webhook-id: msg_"), []byte("webhook-id: msg_x"), 1)
		all = append(all, sent{tampered, order, 401}, sent{signedDelivery(retiredSecret, id+"r", noon, body), order, 401})
	}
	subscriber := startFakeSubscriber(t)
	for round := range 2 { // the second after a restart
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		server := startTestServer(t, ledger, subscriber.address, runs)
		var group sync.WaitGroup
		for client := range 4 {
			group.Go(func() {
				for i := client; i < len(all); i += 4 {
					status, body := server.deliver(t, all[i].bytes)
					if status != all[i].want || status == 200 && body != "done "+all[i].order {
						t.Errorf("round %d, %s: %d %q, want %d", round, all[i].order, status, body, all[i].want)
					}
				}
			})
		}
		group.Wait()
		if round == 0 {
			for range orders {
				<-subscriber.accepted
			}
			for _, notice := range subscriber.notices { // properly signed, but no request
				all = append(all, sent{notice, "notice", 400})
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

// A payload signed with a retired key gets one final response, a rejection, and nothing after it.
func TestRetiredKeyGetsOneFinalResponse(t *testing.T) {
	server := startTestServer(t, filepath.Join(t.TempDir(), "ledger"), "", map[string]int{})
	defer server.stop(t)
	c, err := net.Dial("tcp", server.address)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	b := signedDelivery(retiredSecret, "m", noon, callPayload("repair-order", "x", noon))
	c.Write(bytes.Replace(b, []byte("Host:"), []byte("Connection: close\r\nHost:"), 1))
	received, err := io.ReadAll(c)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	if n := strings.Count(string(received), "HTTP/1.1 "); n != 1 || !strings.HasPrefix(string(received), "HTTP/1.1 401 ") || server.runs["x"] != 0 {
		t.Errorf("%d responses: %q", n, received)
	}
}

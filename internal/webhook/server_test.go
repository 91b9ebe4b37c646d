package webhook

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/policy"
)

// testServer is all of a router but its workers: sockets, receiver, core and decisions. It takes the part of the workers
// too: they end each run at once and count the runs by body.
type testServer struct {
	loop     *eventloop.Loop
	core     *router.Core
	receiver *Receiver
	address  string
	done     chan struct{}
	mu       sync.Mutex
	runs     map[string]int
	sender   *Sender
}

func (server *testServer) StartAttempt(_ policy.WorkerID, a router.Attempt, r *router.Request, _ time.Duration) {
	body := string(r.Body)
	server.mu.Lock()
	server.runs[body]++
	server.mu.Unlock()
	outcome := policy.Served
	if strings.HasSuffix(body, "7") {
		outcome = policy.ConnectionReset // it may have run
	}
	server.core.AttemptCompleted(a, router.AttemptResult{Outcome: outcome, LoadStatus: policy.AlreadyLoaded, Body: []byte("done " + body)})
}
func (server *testServer) CancelAttempt(policy.WorkerID, router.Attempt)       {}
func (server *testServer) WithdrawUnsent(policy.WorkerID, router.Attempt) bool { return false }
func (server *testServer) Load(_ policy.WorkerID, _ policy.FunctionID, _ int, tag uint64) {
	server.core.LoadCompleted(tag, policy.Served, 1)
}
func (server *testServer) CheckHealth(_ policy.WorkerID, tag uint64) {
	server.core.HealthCheckCompleted(tag, policy.Served, nil)
}
func (server *testServer) AbandonCommand(policy.WorkerID, uint64)    {}
func (server *testServer) Unload(policy.WorkerID, policy.FunctionID) {}
func (server *testServer) CloseIdle(policy.WorkerID)                 {}

// startTestServer starts a server. Notices go to the given address; none are sent where it is empty.
func startTestServer(t *testing.T, ledger, notices string, runs map[string]int) *testServer {
	t.Helper()
	decisions, err := policy.New(policy.Config{
		Routers:              1,
		Tick:                 4 * time.Millisecond,
		MaxAttempts:          3,
		CancelSupported:      true,
		HealthCheckSupported: true,
		OverQuotaWeight:      1,
		KeepAlive:            10 * time.Second,
		RetryAfterSupported:  true,
		MaxRetryAfter:        time.Second,
		Classes: []policy.Class{
			{LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 3},
			{LatencyObjective: 1200 * time.Millisecond, Deadline: 3 * time.Second, Idempotency: policy.NotIdempotent, PriorityWeight: 5},
		},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	server := &testServer{loop: eventloop.New(eventloop.Config{MaxAccepted: 50, MaxDescriptors: 1024}), runs: runs, done: make(chan struct{})}
	server.core = router.New(decisions, router.Config{
		Limits:          router.Limits{MaxConcurrentRequests: 100, MaxBytes: 1 << 20, MaxAttempts: 3, HealthCheckTimeout: time.Second},
		NewWorkerClient: func(*router.Core) router.WorkerClient { return server },
		OnCompleted: func(now time.Duration, r *router.Request, end router.Completion) {
			if notices != "" {
				server.sender.Notify(now, r, end)
			}
		},
	})
	server.core.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}, {Worker: 2, State: policy.Ready}}})
	if server.receiver, err = NewReceiver(testConfig(ledger), server.core, classes, 16<<20, server.loop, wallAtNoon, server.loop.Post); err != nil {
		t.Fatal(err)
	}
	server.receiver.keys = []signingKey{{secret: activeSecret}, {retiredSecret, noon}}
	config := testConfig("")
	config.Sender.URL = "http://hooks.example.org/notices"
	config.Sender.Connect = notices
	config.Sender.Backoff = time.Millisecond
	config.Sender.Key = filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(config.Sender.Key, []byte("whsec_"+base64.StdEncoding.EncodeToString(activeSecret)), 0o600); err != nil {
		t.Fatal(err)
	}
	if server.sender, err = NewSender(config, wallAtNoon, func(addr string, timeout time.Duration, handler eventloop.DialHandler) Transport {
		return server.loop.Dial("tcp", addr, timeout, handler)
	}); err != nil {
		t.Fatal(err)
	}
	server.loop.Listen("127.0.0.1:0", server.receiver.Accept)
	if err := server.loop.Start(); err != nil {
		t.Fatal(err)
	}
	server.address = server.loop.Addrs()[0]
	go func() {
		server.loop.Run(server.core.SetNow, func(now time.Duration) time.Duration { return min(server.core.Process(now), server.sender.Tick(now)) })
		server.loop.Close()
		close(server.done)
	}()
	return server
}

// stop ends the loop and the ledger.
func (server *testServer) stop(t *testing.T) {
	t.Helper()
	server.loop.Post(server.loop.Stop)
	<-server.done
	if err := server.receiver.Close(); err != nil {
		t.Error(err)
	}
}

// deliver sends one delivery on a connection of its own and returns its one response.
func (server *testServer) deliver(t *testing.T, b []byte) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", server.address)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	c.Write(b)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	received, err := io.ReadAll(r.Body)
	if err != nil {
		t.Error(err)
	}
	return r.StatusCode, string(received)
}

// fakeSubscriber receives notices at hooks.example.org. It accepts each at the second attempt only, and keeps it.
type fakeSubscriber struct {
	address  string
	mu       sync.Mutex
	attempts map[string]int    // by webhook-id
	orderOf  map[string]string // the webhook-id of the order that a notice is of
	notices  [][]byte
	accepted chan struct{} // a value for each notice that was accepted
}

// startFakeSubscriber starts a subscriber that ends with the test.
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
			r.Header.Get("webhook-signature") != sign(activeSecret, id, timestamp, body) {
			t.Errorf("a notice that is not as it should be: %v %s", r.Header, body)
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

package webhook

import (
	"bufio"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/notice"
	"crankhold/internal/router"
	"crankhold/internal/signature"
	"crankhold/policy"
)

// testServer is a router with its sockets, receiver, core and decision module. It also stands in for the worker client
// and the workers, which complete each request immediately and count the runs by request body.
type testServer struct {
	loop     *eventloop.Loop
	core     *router.Core
	receiver *Receiver
	address  string
	done     chan struct{}
	mu       sync.Mutex
	runs     map[string]int
	sender   *notice.Sender
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
func (server *testServer) CancelCommand(policy.WorkerID, uint64)     {}
func (server *testServer) Unload(policy.WorkerID, policy.FunctionID) {}
func (server *testServer) CloseIdle(policy.WorkerID)                 {}

// startTestServer starts a server. Notices are sent to subscriberAddress, or not at all if it is empty.
func startTestServer(t *testing.T, ledgerPath, subscriberAddress string, runs map[string]int) *testServer {
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
		OnCompleted: func(now time.Duration, r *router.Request, completion router.Completion) {
			if subscriberAddress != "" {
				server.sender.Notify(now, r, completion)
			}
		},
	})
	server.core.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}, {Worker: 2, State: policy.Ready}}})
	if server.receiver, err = NewReceiver(testOptions(testConfig(ledgerPath), server.core, server.loop, wallAtNoon, server.loop.Post)); err != nil {
		t.Fatal(err)
	}
	server.receiver.authenticator.keys = []signature.Key{{Secret: activeSecret}, {Secret: retiredSecret, Until: noon}}
	config := testConfig("")
	config.Sender.URL = "http://hooks.example.org/notices"
	config.Sender.Connect = subscriberAddress
	config.Sender.Backoff = time.Millisecond
	config.Sender.Key = filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(config.Sender.Key, []byte("whsec_"+base64.StdEncoding.EncodeToString(activeSecret)), 0o600); err != nil {
		t.Fatal(err)
	}
	dial := func(addr string, timeout time.Duration, handler eventloop.DialHandler) notice.Transport {
		return server.loop.Dial("tcp", addr, timeout, handler)
	}
	if server.sender, err = notice.NewSender(notice.Options{Config: config.Sender, WallClock: wallAtNoon, Dial: dial}); err != nil {
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

// stop stops the event loop and closes the receiver with its ledger.
func (server *testServer) stop(t *testing.T) {
	t.Helper()
	server.loop.Post(server.loop.Stop)
	<-server.done
	if err := server.receiver.Close(); err != nil {
		t.Error(err)
	}
}

// deliver sends one delivery on a new connection and returns its response.
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

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
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
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

func wallAtNoon() time.Time { return noon }

// fakeCore is a stand-in that keeps what it is handed.
type fakeCore struct{ accepted []router.Request }

func (c *fakeCore) Accept(_ time.Duration, r router.Request) policy.RequestID {
	c.accepted = append(c.accepted, r)
	return policy.RequestID(len(c.accepted))
}

func testConfig(ledger string) *Config {
	c, err := parseConfig("test", `receiver.path = "/hooks"`)
	if err != nil {
		panic(err)
	}
	c.Receiver.Ledger.Path = ledger
	return c
}

// newReceiver returns a receiver; what it posts comes through the channel.
func newReceiver(t rapid.TB, c Core, ledger string) (*Receiver, chan func()) {
	posts := make(chan func(), 100)
	v, err := NewReceiver(testConfig(ledger), c, classes, 16<<20, func() time.Duration { return time.Hour }, wallAtNoon, func(f func()) { posts <- f })
	if err != nil {
		t.Fatal(err)
	}
	v.keys = []signingKey{{secret: activeSecret}, {retiredSecret, noon}}
	return v, posts
}

func callPayload(class, body string, at time.Time) []byte {
	var p payload
	p.Type, p.Timestamp = requestEventType, at
	p.Data.Class, p.Data.Key, p.Data.Body = class, "7f3a9c21e0b4d655", []byte(body)
	text, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return text
}

func signedDelivery(secret []byte, id string, at time.Time, body []byte) []byte {
	stamp := strconv.FormatInt(at.Unix(), 10)
	return append(fmt.Appendf(nil, "POST /hooks HTTP/1.1\r\nHost: hooks.example.org\r\nContent-Length: %d\r\nwebhook-id: %s\r\n"+
		"webhook-timestamp: %s\r\nwebhook-signature: v1a,other %s\r\n\r\n", len(body), id, stamp, sign(secret, id, stamp, body)), body...)
}

// statuses reads the answers written to a line.
func statuses(t rapid.TB, l *testutil.Transport) (out []int) {
	for in := bufio.NewReader(bytes.NewReader(l.Wrote.Bytes())); ; {
		if _, err := in.Peek(1); err == io.EOF {
			return out
		}
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%v in %q", err, l.Wrote.String())
		}
		io.Copy(io.Discard, r.Body)
		out = append(out, r.StatusCode)
	}
}

// The example of the Standard Webhooks specification's libraries.
func TestSignatureMatchesSpecification(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	os.WriteFile(path, []byte("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw\n"), 0o600)
	k, err := readKey(path)
	if err != nil {
		t.Fatal(err)
	}
	got := sign(k, "msg_p5jXN8AQM9LWM0D4loKWxJek", "1614265330", []byte(`{"test": 2432232314}`))
	if want := "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE="; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestRejectedDeliveriesHaveNoEffect(t *testing.T) {
	body := callPayload("dim-level", "x", noon)
	good := string(signedDelivery(activeSecret, "m", noon, body))
	change := func(old, new string) []byte { return []byte(strings.Replace(good, old, new, 1)) }
	for name, c := range map[string]struct {
		status int
		bytes  []byte
	}{
		"retired key":       {401, signedDelivery(retiredSecret, "m", noon, body)},
		"unknown key":       {401, signedDelivery([]byte("somebody else's secret..."), "m", noon, body)},
		"stale":             {401, signedDelivery(activeSecret, "m", noon.Add(-6*time.Minute), body)},
		"from the future":   {401, signedDelivery(activeSecret, "m", noon.Add(6*time.Minute), body)},
		"other id":          {401, change("webhook-id: m", "webhook-id: n")},
		"other time":        {401, change("webhook-timestamp: 1", "webhook-timestamp: 01")},
		"other body":        {401, change(`"dim-level"`, `"dim-levex"`)},
		"dotted id":         {401, signedDelivery(activeSecret, "m.1", noon, body)},
		"no signature":      {401, change("webhook-signature", "x-signature")},
		"two ids":           {401, change("webhook-id: m", "webhook-id: m\r\nwebhook-id: m")},
		"unknown class":     {400, signedDelivery(activeSecret, "m", noon, callPayload("lift", "x", noon))},
		"no JSON":           {400, signedDelivery(activeSecret, "m", noon, []byte("{"))},
		"long call":         {400, signedDelivery(activeSecret, "m", noon, callPayload("dim-level", strings.Repeat("x", maxRequestBody+1), noon))},
		"two lengths":       {400, change("Content-Length", "Content-Length: 3\r\nContent-Length")},
		"length and chunks": {400, change("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length")},
		"signed length":     {400, change("Content-Length: ", "Content-Length: +")},
		"no length":         {400, change("Content-Length", "X-Length")},
		"no host":           {400, change("Host", "X-Host")},
		"bare line feed":    {400, change("\r\n", "\n")},
		"folded line":       {400, change("webhook-id: m", "webhook-id: m\r\n x")},
		"space before ':'":  {400, change("Host:", "Host :")},
		"old version":       {400, change("HTTP/1.1", "HTTP/1.0")},
		"other path":        {404, change("/hooks", "/hook")},
		"other method":      {405, change("POST", "PUT")},
		"long body":         {413, change("Content-Length: ", "Content-Length: 99")},
		"long head":         {431, change("Host: ", "Host: "+strings.Repeat("x", maxHeadBytes))},
		"many headers":      {431, change("Host: ", strings.Repeat("A: b\r\n", maxHeaders)+"Host: ")},
		"order, no ledger":  {503, signedDelivery(activeSecret, "m", noon, callPayload("repair-order", "x", noon))},
	} {
		k := &fakeCore{}
		v, _ := newReceiver(t, k, "")
		l := &testutil.Transport{}
		v.serve(l, netip.AddrPort{}).Data(c.bytes)
		if got := statuses(t, l); len(got) != 1 || got[0] != c.status || len(k.accepted) > 0 {
			t.Errorf("%s: answers %v, want one %d; %d calls", name, got, c.status, len(k.accepted))
		}
	}
}

// The model of a connection: deliveries reach the core however they are split, and each is answered
// once and in turn, with the status that the outcome maps to; a webhook-id runs once unless it was
// refused unrun.
// The tenant is taken from under the signature, and routes go by it; an endless one is refused.
func TestTenantIsTakenFromSignedBody(t *testing.T) {
	c := &fakeCore{}
	v, _ := newReceiver(t, c, "")
	for i, x := range []struct{ tenant, want string }{{"east", "east"}, {"", ""}, {strings.Repeat("x", 200), "none taken"}} {
		body := bytes.Replace(callPayload("dim-level", "x", noon), []byte(`"tenant":""`), fmt.Appendf(nil, `"tenant":%q`, x.tenant), 1)
		before := len(c.accepted)
		l := &testutil.Transport{}
		v.serve(l, netip.AddrPort{}).Data(signedDelivery(activeSecret, fmt.Sprint("t", i), noon, body))
		got := "none taken"
		if len(c.accepted) > before {
			got = c.accepted[before].Tenant
		}
		if got != x.want {
			t.Errorf("tenant %.20q: %q, want %q; %s", x.tenant, got, x.want, l.Wrote.String())
		}
	}
}

func TestConnectionAnswersEachDeliveryOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, l := &fakeCore{}, &testutil.Transport{}
		v, _ := newReceiver(t, k, "")
		c := v.serve(l, netip.AddrPort{})
		var want []int
		settled := map[string]int{} // by id, the status that is replayed
		t.Repeat(map[string]func(*rapid.T){
			"deliver": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
				for b := signedDelivery(activeSecret, id, noon, callPayload("dim-level", id, noon)); len(b) > 0; {
					n := rapid.IntRange(1, len(b)).Draw(t, "n")
					c.Data(bytes.Clone(b[:n]))
					b = b[n:]
				}
				if status, ok := settled[id]; ok {
					want = append(want, status)
					if c.Busy() {
						t.Fatal("a redelivery ran again")
					}
					return
				}
				if !c.Busy() || string(k.accepted[len(k.accepted)-1].Body) != id {
					t.Fatal("the call did not reach the core")
				}
				a := router.Response{Status: router.ResponseStatus(rapid.IntRange(0, 2).Draw(t, "verdict")),
					MayHaveRun: rapid.Bool().Draw(t, "ran"), DeadlineExceeded: rapid.Bool().Draw(t, "overdue")}
				status := map[router.ResponseStatus]int{router.Served: 200, router.Rejected: 502, router.Failed: 502}[a.Status]
				if unrun := a.Status == router.Rejected && !a.MayHaveRun; unrun {
					status = 503
				}
				if a.DeadlineExceeded && a.Status != router.Served {
					status = 504
				}
				if a.Status != router.Rejected || a.MayHaveRun {
					settled[id] = status
				}
				want = append(want, status)
				k.accepted[len(k.accepted)-1].Asker.Respond(a)
			},
			"": func(t *rapid.T) {
				if got := statuses(t, l); fmt.Sprint(got) != fmt.Sprint(want) || c.Busy() || l.HasClosed {
					t.Fatalf("answers %v, want %v; busy %v, closed %v", got, want, c.Busy(), l.HasClosed)
				}
			},
		})
	})
}

// The model of the ledger: whatever was entered before its write was acknowledged is there after a
// crash, and a line cut short by it does no harm.
func TestLedgerRecoversAcknowledgedEntries(t *testing.T) {
	dir := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		path := filepath.Join(dir, strconv.Itoa(run))
		open := func() (*ledger, map[string]ledgerEntry) {
			l, entries, err := openLedger(path, 1<<20, time.Hour, wallAtNoon)
			if err != nil {
				t.Fatal(err)
			}
			found := map[string]ledgerEntry{}
			for _, e := range entries {
				found[e.ID] = e
			}
			return l, found
		}
		l, _ := open()
		want := map[string]ledgerEntry{}
		enter := func(e ledgerEntry) {
			written := make(chan error, 1)
			l.jobs <- appendJob{entry: e, done: func(err error) { written <- err }}
			if err := <-written; err != nil {
				t.Fatal(err)
			}
			if e.State == stateFreed || noon.Sub(e.EventTime) > time.Hour {
				delete(want, e.ID)
			} else {
				want[e.ID] = e
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				enter(ledgerEntry{ID: rapid.StringN(1, 3, 9).Draw(t, "id"), EventTime: noon.Add(-time.Duration(rapid.IntRange(0, 90).Draw(t, "age")) * time.Minute),
					State: rapid.SampledFrom([]entryState{stateBegun, stateEnded, stateFreed}).Draw(t, "state"), Status: 200, Body: []byte("\n")})
			},
			"crash": func(t *rapid.T) {
				torn := encodeEntry(ledgerEntry{ID: "torn", EventTime: noon, State: stateBegun})
				l.file.Write(torn[:rapid.IntRange(0, len(torn)-1).Draw(t, "cut")])
				if _, _, err := openLedger(path, 1<<20, time.Hour, wallAtNoon); err == nil {
					t.Fatal("a ledger in use was opened again")
				}
				l.close()
				var found map[string]ledgerEntry
				l, found = open()
				if len(found) != len(want) {
					t.Fatalf("found %v, want %v", found, want)
				}
				for id, e := range want {
					if found[id].State != e.State {
						t.Fatalf("%s is %q, want %q", id, found[id].State, e.State)
					}
				}
			},
		})
		l.close()
	})
}

func TestOrdersAreRejectedWhenLedgerCannotWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	for name, spoil := range map[string]func(*ledger){
		"full":         func(l *ledger) { l.maxBytes = 10 },
		"failed write": func(l *ledger) { l.file.Close() },
	} {
		k, l := &fakeCore{}, &testutil.Transport{}
		v, posts := newReceiver(t, k, path)
		spoil(v.ledger)
		for i := range 2 { // also the one after it
			v.serve(l, netip.AddrPort{}).Data(signedDelivery(activeSecret, name[:4]+strconv.Itoa(i), noon, callPayload("repair-order", "x", noon)))
			(<-posts)()
		}
		if got := statuses(t, l); fmt.Sprint(got) != "[503 503]" || len(k.accepted) > 0 {
			t.Errorf("%s: answers %v, %d calls", name, got, len(k.accepted))
		}
		v.Close()
	}
	os.WriteFile(path, []byte("00000000 {}\n"), 0o600)
	if _, _, err := openLedger(path, 1<<20, time.Hour, wallAtNoon); err == nil {
		t.Error("a damaged ledger was opened")
	}
	k, l := &fakeCore{}, &testutil.Transport{}
	v, _ := newReceiver(t, k, filepath.Join(t.TempDir(), "ledger"))
	v.serve(l, netip.AddrPort{}).Data(signedDelivery(activeSecret, "old", noon, callPayload("repair-order", "x", noon.Add(-72*time.Hour))))
	if got := statuses(t, l); fmt.Sprint(got) != "[400]" || len(k.accepted) > 0 {
		t.Errorf("an order older than the retention: answers %v, %d calls", got, len(k.accepted))
	}
}

// Guards rule 2 over a crash: an order that was under way then may have run, so it is failed and not
// handed to the core again.
func TestOrderInFlightAtCrashIsNotRunAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	b := signedDelivery(activeSecret, "m", noon, callPayload("repair-order", "x", noon))
	for round, want := range []struct {
		calls  int
		answer string
	}{{1, "[]"}, {0, "[502]"}} {
		k, l := &fakeCore{}, &testutil.Transport{}
		v, posts := newReceiver(t, k, path)
		v.serve(l, netip.AddrPort{}).Data(b)
		if round == 0 {
			(<-posts)() // it is on the disk, and is handed to the core
		}
		if got := statuses(t, l); len(k.accepted) != want.calls || fmt.Sprint(got) != want.answer {
			t.Errorf("round %d: %d calls, answers %v", round, len(k.accepted), got)
		}
		v.Close()
	}
}

// Guards against a redelivery that comes while the first is still being entered or run: it waits for
// the same answer, also when the first one's client has gone meanwhile.
func TestRedeliveryJoinsRequestInFlight(t *testing.T) {
	k := &fakeCore{}
	v, posts := newReceiver(t, k, filepath.Join(t.TempDir(), "ledger"))
	defer v.Close()
	b := signedDelivery(activeSecret, "m", noon, callPayload("repair-order", "x", noon))
	lines := []*testutil.Transport{{}, {}, {}}
	first := v.serve(lines[0], netip.AddrPort{})
	first.Data(b)
	v.serve(lines[1], netip.AddrPort{}).Data(b) // before the ledger has answered
	(<-posts)()
	v.serve(lines[2], netip.AddrPort{}).Data(b) // and after
	first.Closed(nil)
	if len(k.accepted) != 1 || k.accepted[0].ClientReference != "m" {
		t.Fatalf("the core has %+v", k.accepted)
	}
	k.accepted[0].Asker.Respond(router.Response{Status: router.Served, Body: []byte("done")})
	for i, want := range []string{"[]", "[200]", "[200]"} {
		if got := statuses(t, lines[i]); fmt.Sprint(got) != want {
			t.Errorf("client %d has answers %v, want %s", i, got, want)
		}
	}
}

// testServer is the whole path but for the workers: sockets, receiver, core and module. Its workers end
// each run at once and count them by body.
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

func (p *testServer) StartAttempt(_ policy.WorkerID, a router.Attempt, r *router.Request, _ time.Duration) {
	body := string(r.Body)
	p.mu.Lock()
	p.runs[body]++
	p.mu.Unlock()
	o := policy.Served
	if strings.HasSuffix(body, "7") {
		o = policy.ConnectionReset // it may have run
	}
	p.core.AttemptCompleted(a, router.AttemptResult{Outcome: o, LoadStatus: policy.AlreadyLoaded, Body: []byte("done " + body)})
}
func (p *testServer) CancelAttempt(policy.WorkerID, router.Attempt)       {}
func (p *testServer) WithdrawUnsent(policy.WorkerID, router.Attempt) bool { return false }
func (p *testServer) Load(_ policy.WorkerID, _ policy.FunctionID, _ int, tag uint64) {
	p.core.LoadCompleted(tag, policy.Served, 1)
}
func (p *testServer) CheckHealth(_ policy.WorkerID, tag uint64) {
	p.core.HealthCheckCompleted(tag, policy.Served, nil)
}
func (p *testServer) AbandonCommand(policy.WorkerID, uint64)    {}
func (p *testServer) Unload(policy.WorkerID, policy.FunctionID) {}
func (p *testServer) CloseIdle(policy.WorkerID)                 {}

func startTestServer(t *testing.T, ledger, notices string, runs map[string]int) *testServer {
	module, err := policy.New(policy.Config{Routers: 1, Tick: 4 * time.Millisecond, MaxAttempts: 3, CancelSupported: true, HealthCheckSupported: true, OverQuotaWeight: 1,
		KeepAlive: 10 * time.Second, RetryAfterSupported: true, MaxRetryAfter: time.Second, Classes: []policy.Class{
			{LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 3},
			{LatencyObjective: 1200 * time.Millisecond, Deadline: 3 * time.Second, Idempotency: policy.NotIdempotent, PriorityWeight: 5}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	p := &testServer{loop: eventloop.New(eventloop.Config{MaxAccepted: 50, MaxDescriptors: 1024}), runs: runs, done: make(chan struct{})}
	p.core = router.New(module, router.Limits{MaxConcurrentRequests: 100, MaxBytes: 1 << 20, MaxAttempts: 3, HealthCheckTimeout: time.Second})
	p.core.SetWorkerClient(p)
	p.core.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}, {Worker: 2, State: policy.Ready}}})
	if p.receiver, err = NewReceiver(testConfig(ledger), p.core, classes, 16<<20, p.loop.Now, wallAtNoon, p.loop.Post); err != nil {
		t.Fatal(err)
	}
	p.receiver.keys = []signingKey{{secret: activeSecret}, {retiredSecret, noon}}
	cfg := testConfig("")
	cfg.Sender.URL, cfg.Sender.Connect, cfg.Sender.Backoff = "http://hooks.example.org/notices", notices, time.Millisecond
	cfg.Sender.Key = filepath.Join(t.TempDir(), "key")
	os.WriteFile(cfg.Sender.Key, []byte("whsec_"+base64.StdEncoding.EncodeToString(activeSecret)), 0o600)
	if p.sender, err = NewSender(cfg, wallAtNoon, func(addr string, timeout time.Duration, h eventloop.DialHandler) Transport {
		return p.loop.Dial("tcp", addr, timeout, h)
	}); err != nil {
		t.Fatal(err)
	}
	p.core.OnCompleted = func(now time.Duration, r *router.Request, end string) {
		if notices != "" {
			p.sender.Notify(now, r, end)
		}
	}
	p.loop.Listen("127.0.0.1:0", p.receiver.Accept)
	if err := p.loop.Start(); err != nil {
		t.Fatal(err)
	}
	p.address = p.loop.Addrs()[0]
	go func() {
		p.loop.Run(p.core.SetNow, func(now time.Duration) time.Duration { return min(p.core.Process(now), p.sender.Tick(now)) })
		close(p.done)
	}()
	return p
}

func (p *testServer) stop() {
	p.loop.Post(p.loop.Stop)
	<-p.done
	p.receiver.Close()
}

// deliver sends one delivery on a connection of its own and returns the one answer.
func (p *testServer) deliver(t *testing.T, b []byte) (status int, body string) {
	c, err := net.Dial("tcp", p.address)
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
	text, err := io.ReadAll(r.Body)
	if err != nil {
		t.Error(err)
	}
	return r.StatusCode, string(text)
}

// fakeSubscriber stands in for the receiver at hooks.example.org: it takes signed notices, each at the second
// delivery only, and keeps what it was sent.
type fakeSubscriber struct {
	address  string
	mu       sync.Mutex
	attempts map[string]int    // by webhook-id
	orderOf  map[string]string // the webhook-id of the order that a notice is of
	notices  [][]byte
	accepted chan struct{} // filled when a notice is taken
}

func startFakeSubscriber(t *testing.T) *fakeSubscriber {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &fakeSubscriber{address: ln.Addr().String(), attempts: map[string]int{}, orderOf: map[string]string{}, accepted: make(chan struct{}, 1000)}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		id, stamp := r.Header.Get("webhook-id"), r.Header.Get("webhook-timestamp")
		var p struct {
			Data struct {
				Ref string `json:"webhook_id"`
			} `json:"data"`
		}
		if err != nil || json.Unmarshal(body, &p) != nil || r.Host != "hooks.example.org" ||
			r.Header.Get("webhook-signature") != sign(activeSecret, id, stamp, body) {
			t.Errorf("a notice that is not as it should be: %v %s", r.Header, body)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.attempts[id]++; h.attempts[id] == 1 {
			w.WriteHeader(500)
			return
		}
		h.orderOf[id] = p.Data.Ref
		h.notices = append(h.notices, signedDelivery(activeSecret, id, noon, body))
		h.accepted <- struct{}{}
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return h
}

// The operators' test: a stand-in at hooks.example.org replays, reorders and tampers with signed
// orders, and with the notices that it gets of them, also over a restart; no order runs twice, and
// each has one notice.
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
			// Sent again as it was, or signed anew for a later try.
			all = append(all, sent{signedDelivery(activeSecret, id, noon.Add(time.Duration(rng.IntN(100))*time.Second), body), order, want})
		}
		tampered := bytes.Replace(signedDelivery(activeSecret, id, noon, body), []byte("webhook-id: msg_"), []byte("webhook-id: msg_x"), 1)
		all = append(all, sent{tampered, order, 401}, sent{signedDelivery(retiredSecret, id+"r", noon, body), order, 401})
	}
	hub := startFakeSubscriber(t)
	for round := range 2 { // the second after a restart
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		p := startTestServer(t, ledger, hub.address, runs)
		var group sync.WaitGroup
		for lane := range 4 {
			group.Go(func() {
				for i := lane; i < len(all); i += 4 {
					status, body := p.deliver(t, all[i].bytes)
					if status != all[i].want || status == 200 && body != "done "+all[i].order {
						t.Errorf("round %d, %s: %d %q, want %d", round, all[i].order, status, body, all[i].want)
					}
				}
			})
		}
		group.Wait()
		if round == 0 {
			for range orders {
				<-hub.accepted
			}
			for _, notice := range hub.notices { // properly signed, but no call
				all = append(all, sent{notice, "notice", 400})
			}
		}
		p.stop()
		for i := range orders {
			if n := runs[fmt.Sprintf("order-%d", i)]; n != 1 {
				t.Errorf("round %d: order %d ran %d times", round, i, n)
			}
		}
	}
	of := map[string]int{}
	for id, order := range hub.orderOf {
		if of[order]++; hub.attempts[id] != 2 || of[order] != 1 {
			t.Errorf("notice %s of %s: %d tries, %d notices", id, order, hub.attempts[id], of[order])
		}
	}
	if len(of) != orders {
		t.Errorf("notices of %d orders", len(of))
	}
}

// A payload signed with a retired key gets one final answer, a refusal, and nothing after it.
func TestRetiredKeyGetsOneFinalResponse(t *testing.T) {
	p := startTestServer(t, filepath.Join(t.TempDir(), "ledger"), "", map[string]int{})
	defer p.stop()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	b := signedDelivery(retiredSecret, "m", noon, callPayload("repair-order", "x", noon))
	c.Write(bytes.Replace(b, []byte("Host:"), []byte("Connection: close\r\nHost:"), 1))
	text, err := io.ReadAll(c)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	if n := strings.Count(string(text), "HTTP/1.1 "); n != 1 || !strings.HasPrefix(string(text), "HTTP/1.1 401 ") || p.runs["x"] != 0 {
		t.Errorf("%d answers: %q", n, text)
	}
}

// The sender's notices are signed, keep their id over tries, are tried a bounded number of times,
// and are dropped and counted where the queue is full.
func TestNoticesAreSignedRetriedAndBounded(t *testing.T) {
	cfg := testConfig("")
	cfg.Sender.URL, cfg.Sender.Queue, cfg.Sender.Attempts = "http://hooks.example.org/n", 2, 3
	path := filepath.Join(t.TempDir(), "key")
	os.WriteFile(path, []byte("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"), 0o600)
	cfg.Sender.Key = path
	var lines []*testutil.Transport
	var handlers []eventloop.DialHandler
	s, err := NewSender(cfg, wallAtNoon, func(_ string, _ time.Duration, h eventloop.DialHandler) Transport {
		lines, handlers = append(lines, &testutil.Transport{}), append(handlers, h)
		return lines[len(lines)-1]
	})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		s.Notify(time.Hour, &router.Request{ID: "9b1f03aa5c7e2d41", FunctionKey: "7f3a9c21e0b4d655"}, "served")
	}
	ids := map[string]int{}
	now := time.Hour
	for try := 0; s.Pending() > 0; try++ {
		next := s.Tick(now)
		for i, h := range handlers {
			h.DialCompleted(nil)
			r, err := http.ReadRequest(bufio.NewReader(&lines[i].Wrote))
			if err != nil || r.Host != "hooks.example.org" || r.URL.Path != "/n" {
				t.Fatalf("request %v: %v", r, err)
			}
			body, _ := io.ReadAll(r.Body)
			id, stamp := r.Header.Get("webhook-id"), r.Header.Get("webhook-timestamp")
			if got := r.Header.Get("webhook-signature"); got != sign(s.secret, id, stamp, body) || !bytes.Contains(body, []byte(`"repair-order.served"`)) {
				t.Fatalf("signature %q, body %s", got, body)
			}
			ids[id]++
			status := "500 Sorry"
			if try == 2 && i == 0 {
				status = "204 No Content"
			}
			for _, b := range []byte("HTTP/1.1 " + status + "\r\n\r\n") {
				h.Data([]byte{b})
			}
			h.Closed(nil)
			if !lines[i].HasClosed {
				t.Error("the connection was left open")
			}
		}
		lines, handlers = nil, nil
		now = max(next, now+10*time.Minute)
	}
	if want := (SenderCounters{Queued: 2, Dropped: 1, Delivered: 1, Retried: 4, GivenUp: 1}); s.Counters != want || len(ids) != 2 {
		t.Errorf("counters %+v, want %+v; ids %v", s.Counters, want, ids)
	}
	for id, n := range ids {
		if n != 3 {
			t.Errorf("notice %s was sent %d times", id, n)
		}
	}
}

func TestInvalidConfigErrorsNameTheFile(t *testing.T) {
	for _, text := range []string{"receiver.enabled = 3", "[receiver]\nfoo = 1", "[receiver]\nenabled = true\nlisten = \"nowhere\"",
		"[receiver]\nenabled = true\nlisten = \"127.0.0.1:1\"", "[sender]\nenabled = true\nurl = \"https://hooks.example.org\"\nkey = \"k\""} {
		if _, err := parseConfig("f", text); err == nil || !strings.HasPrefix(err.Error(), "webhook file f: ") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// A call of a keyed class carries one idempotency key through all its redeliveries, made of the webhook-id, so that
// workers drop a repeat; others carry none.
func TestIdempotencyKeyIsDerivedFromDeliveryID(t *testing.T) {
	keys := map[string]map[string]bool{}
	for range 2 { // two receivers, as after a restart with a lost ledger
		k := &fakeCore{}
		v, posts := newReceiver(t, k, filepath.Join(t.TempDir(), "ledger"))
		for _, id := range []string{"a", "b"} {
			for _, class := range []string{"dim-level", "repair-order", "extend"} {
				v.serve(&testutil.Transport{}, netip.AddrPort{}).Data(signedDelivery(activeSecret, class+id, noon, callPayload(class, "x", noon)))
				if class != "dim-level" {
					(<-posts)()
				}
				name := class + id
				if keys[name] == nil {
					keys[name] = map[string]bool{}
				}
				keys[name][k.accepted[len(k.accepted)-1].IdempotencyKey] = true
			}
		}
	}
	for name, got := range keys {
		keyed := strings.HasPrefix(name, "extend")
		if len(got) != 1 || got[""] == keyed {
			t.Errorf("%s: keys %v", name, got)
		}
	}
	for key := range keys["extenda"] {
		if !router.ParseIdempotencyKey(key) || keys["extendb"][key] {
			t.Errorf("key %q", key)
		}
	}
}

package server

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crankhold/internal/config"
	"crankhold/internal/discovery"
	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/logging"
	"crankhold/internal/route"
	"crankhold/internal/router"
	"crankhold/internal/testutil"
	"crankhold/internal/workerclient"
	"crankhold/policy"
)

// testMembership is a membership whose worker client opens no sockets. The test completes its dials.
type testMembership struct {
	*membership
	dialed     []string
	transports []*testutil.Transport
	handlers   []eventloop.DialHandler
}

func newTestMembership(t *testing.T) *testMembership {
	t.Helper()
	module, err := policy.New(policy.Config{Routers: 1, MaxAttempts: 3, OverQuotaWeight: 1, Classes: []policy.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	m := &testMembership{}
	var pool *workerclient.Pool
	newPool := func(core *router.Core) router.WorkerClient {
		pool = workerclient.New(workerclient.Config{Classes: []string{"dim-level"}, DialTimeout: time.Second, KeepAlive: time.Minute, MaxRequestsPerConnection: 32, MaxConnections: 100,
			Dial: func(network, addr string, _ time.Duration, h eventloop.DialHandler) workerclient.Transport {
				transport := &testutil.Transport{}
				m.dialed = append(m.dialed, network+" "+addr)
				m.transports = append(m.transports, transport)
				m.handlers = append(m.handlers, h)
				return transport
			}}, core)
		return pool
	}
	core := router.New(module, router.Config{Limits: router.Limits{MaxConcurrentRequests: 10, MaxBytes: 1 << 16}, NewWorkerClient: newPool})
	m.membership = newMembership(eventloop.New(eventloop.Config{}), core, pool, &config.Config{}, slog.Default())
	return m
}

// listEntry returns an entry of the endpoint list.
func listEntry(t *testing.T, name string, state policy.WorkerState, addrs ...string) discovery.Worker {
	t.Helper()
	w := discovery.Worker{Name: name, State: state, Weight: 1}
	for _, s := range addrs {
		a, err := endpoint.ParseHost(s)
		if err != nil {
			t.Fatal(err)
		}
		w.Addrs = append(w.Addrs, a)
	}
	return w
}

// startAttempt starts an attempt at a worker. It returns the network and address that were dialed for it, or "" if none
// was.
func (m *testMembership) startAttempt(w policy.WorkerID, n int) (dialed string) {
	before := len(m.dialed)
	m.workers.StartAttempt(w, router.Attempt{Request: policy.RequestID(n)}, &router.Request{ID: strings.Repeat("0", 15) + string(rune('a'+n)), Function: router.Function{Key: "00000000000000aa"}}, time.Second)
	if len(m.dialed) == before {
		return ""
	}
	return m.dialed[before]
}

// Two entries with a common address are one worker, which is draining as soon as one of them is. When one entry leaves
// the list, that worker is removed. The remaining entry is another worker, which takes over no connections.
func TestAliasesAreOneWorker(t *testing.T) {
	m := newTestMembership(t)
	m.update([]discovery.Worker{listEntry(t, "s-1", policy.Ready, "127.0.0.1:1", "[::1]:1"), listEntry(t, "s-2", policy.Ready, "127.0.0.1:1", "127.0.0.1:2")})
	merged := workerID("s-1+s-2")
	if got := m.startAttempt(merged, 0); got != "tcp6 [::1]:1" {
		t.Fatalf("the merged worker is dialed over %q", got)
	}
	if got := m.startAttempt(workerID("s-1"), 1) + m.startAttempt(workerID("s-2"), 2); got != "" {
		t.Errorf("the entries are separate workers: %s", got)
	}
	m.update([]discovery.Worker{listEntry(t, "s-1", policy.Ready, "127.0.0.1:1", "[::1]:1"), listEntry(t, "s-2", policy.Draining, "127.0.0.1:1", "127.0.0.1:2")})
	m.handlers[0].DialCompleted(nil)
	if got := m.startAttempt(merged, 3); got != "" || m.transports[0].Written.Len() > 0 {
		t.Errorf("a drain of one entry: dialed %q, wrote %q", got, m.transports[0].Written.String())
	}
	m.update([]discovery.Worker{listEntry(t, "s-1", policy.Ready, "127.0.0.1:1", "[::1]:1")})
	if got := m.startAttempt(merged, 4); got != "" {
		t.Errorf("the merged worker remains without one of its entries: dialed %q", got)
	}
	if got := m.startAttempt(workerID("s-1"), 5); got != "tcp6 [::1]:1" {
		t.Errorf("the remaining worker is dialed over %q", got)
	}
}

// A new worker at the address of a removed one takes over no connections, and two workers that swap addresses remain
// two workers.
func TestMovedAndSwappedAddresses(t *testing.T) {
	m := newTestMembership(t)
	m.update([]discovery.Worker{listEntry(t, "s-1", policy.Ready, "127.0.0.1:1")})
	m.startAttempt(workerID("s-1"), 0)
	m.update([]discovery.Worker{listEntry(t, "s-9", policy.Ready, "127.0.0.1:1")})
	if !m.transports[0].Closed {
		t.Error("the dial to the removed worker was not closed")
	}
	if got := m.startAttempt(workerID("s-9"), 1); got != "tcp4 127.0.0.1:1" {
		t.Errorf("the new worker is dialed over %q", got)
	}
	m.update([]discovery.Worker{listEntry(t, "a", policy.Ready, "127.0.0.1:1"), listEntry(t, "b", policy.Ready, "127.0.0.1:2")})
	m.update([]discovery.Worker{listEntry(t, "a", policy.Ready, "127.0.0.1:2"), listEntry(t, "b", policy.Ready, "127.0.0.1:1")})
	if got := m.startAttempt(workerID("a"), 2) + ", " + m.startAttempt(workerID("b"), 3); got != "tcp4 127.0.0.1:2, tcp4 127.0.0.1:1" {
		t.Errorf("after a swap: %s", got)
	}
}

// The routes file may add addresses to a worker, set the order of its networks and declare aliases. Pools select a
// worker by any of its names.
func TestRoutesFileAddsAddressesAndAliases(t *testing.T) {
	socket, err := endpoint.Parse(endpoint.Unix, "/run/w.sock")
	if err != nil {
		t.Fatal(err)
	}
	m := newTestMembership(t)
	m.list = []discovery.Worker{listEntry(t, "s-1", policy.Ready, "127.0.0.1:1"), listEntry(t, "s-2", policy.Ready, "127.0.0.1:2"), listEntry(t, "s-3", policy.Ready, "127.0.0.1:3")}
	table, err := route.Compile(&route.Spec{Workers: []route.Worker{{Name: "s-1", Addrs: []endpoint.Addr{socket}}, {Name: "s-3", AliasOf: "s-2", Prefer: []endpoint.Network{endpoint.TCP4}}},
		Pools:  []route.PoolSpec{{Name: "a", Selectors: []route.Selector{{IDs: []string{"s-3"}}}, MaxInFlight: route.Unset, LoadShare: route.Unset, OverflowShare: route.Unset, OverflowRate: route.Unset}},
		Routes: []route.RouteSpec{{Name: "r", Pool: "a"}}}, []string{"dim-level"})
	if err != nil {
		t.Fatal(err)
	}
	m.core.SetRoutes(table)
	m.publish()
	if got := m.startAttempt(workerID("s-1"), 0); got != "unix /run/w.sock" {
		t.Errorf("a socket of the routes file: dialed %q", got)
	}
	if got := m.startAttempt(workerID("s-2+s-3"), 1); got != "tcp4 127.0.0.1:2" {
		t.Errorf("aliases of the routes file: dialed %q", got)
	}
	if !table.Pools()[0].Contains(workerID("s-2+s-3")) || table.Pools()[0].Contains(workerID("s-1")) {
		t.Error("the pool does not select the worker by its second name")
	}
}

// A name that left the list and returns is a new process. It goes through slow start even if discovery reports no start
// time for it. A start time that discovery reports takes precedence, and an empty list is no evidence that any process
// has exited.
func TestReturningWorkerGoesThroughSlowStart(t *testing.T) {
	m := newTestMembership(t)
	first, second := listEntry(t, "s-1", policy.Ready, "127.0.0.1:1"), listEntry(t, "s-2", policy.Ready, "127.0.0.1:2")
	updateAll := func(lists ...[]discovery.Worker) {
		for _, list := range lists {
			m.update(list)
		}
	}
	both, alone := []discovery.Worker{first, second}, []discovery.Worker{second}
	updateAll(both, both)
	if m.startTime(first).at != 0 {
		t.Error("a worker that never left the list has a start time")
	}
	updateAll(nil, both)
	if m.startTime(first).at != 0 {
		t.Error("after an empty list the workers count as restarted")
	}
	updateAll(alone, both)
	if at := m.startTime(first).at; at != m.loop.Now() || m.startTime(second).at != 0 {
		t.Errorf("the worker that returned has the start time %v, the other %v", at, m.startTime(second).at)
	}
	updateAll(both)
	if m.startTime(first).at != m.loop.Now() {
		t.Error("the start time is lost after another list")
	}
	first.Started = time.Now().Add(-time.Second).UnixMilli()
	updateAll([]discovery.Worker{first, second})
	if at := m.startTime(first).at; at >= m.loop.Now() {
		t.Errorf("a reported start time is %v", at)
	}
}

// Each publication logs one line for each worker, with its state as a word.
func TestWorkerUpdatesAreLogged(t *testing.T) {
	var log bytes.Buffer
	m := newTestMembership(t)
	m.logger = logging.New(&log, slog.LevelInfo)
	second := listEntry(t, "s-2", policy.Draining, "127.0.0.1:2", "[::1]:2")
	second.Weight, second.Started = 0.5, 1700000000123
	m.update([]discovery.Worker{listEntry(t, "s-1", policy.Ready, "127.0.0.1:1"), second})

	var lines []string
	for line := range strings.Lines(log.String()) {
		_, withoutTime, _ := strings.Cut(line, " ")
		lines = append(lines, withoutTime)
	}
	want := []string{
		"level=INFO event=worker_updated name=s-1 addrs=[127.0.0.1:1] state=ready weight=1 started=0\n",
		"level=INFO event=worker_updated name=s-2 addrs=\"[127.0.0.1:2 [::1]:2]\" state=draining weight=0.5 started=1700000000123\n",
	}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("log differs (-want +got):\n%s", diff)
	}
}

// Guards against a new process that is taken for the one before it at the same name and address. Name, address and
// start together tell a process; a name that comes back with an earlier start or none is another one.
func TestProcessIsToldByNameAddressAndStart(t *testing.T) {
	former := time.Now().Add(-10 * time.Second).UnixMilli()
	for _, test := range []struct {
		name       string
		absent     bool // the name is missing from a list between
		started    int64
		isReplaced bool
	}{
		{"later start", false, former + 9990, true},
		{"later start after an absence", true, former + 9990, true},
		{"earlier start after an absence", true, former - 1000, true},
		{"earlier start", false, former - 1000, false}, // no process starts before the one that it replaces
		{"no start after an absence", true, 0, true},
		{"same start after an absence", true, former, false},
		{"same start", false, former, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestMembership(t)
			worker, other := listEntry(t, "s-1", policy.Ready, "127.0.0.1:1"), listEntry(t, "s-2", policy.Ready, "127.0.0.1:2")
			worker.Started = former
			m.update([]discovery.Worker{worker, other})
			m.startAttempt(workerID("s-1"), 0)
			m.handlers[0].DialCompleted(nil)
			if test.absent {
				m.update([]discovery.Worker{other})
			}
			time.Sleep(time.Millisecond) // the connection is older than the new process
			worker.Started = test.started
			m.workers.SetNow(m.loop.Now())
			m.update([]discovery.Worker{worker, other})
			if m.transports[0].Closed != test.isReplaced {
				t.Errorf("the connection was closed: %v", m.transports[0].Closed)
			}
		})
	}
}

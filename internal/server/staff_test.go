package server

import (
	"strings"
	"testing"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/discovery"
	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/route"
	"crankhold/internal/router"
	"crankhold/internal/testutil"
	"crankhold/internal/workerclient"
	"crankhold/policy"
)

// post is a staff whose pool dials nowhere.
type post struct {
	*staff
	dialled []string
	lines   []*testutil.Transport
	opened  []eventloop.DialHandler
}

func newPost(t *testing.T) *post {
	t.Helper()
	module, err := policy.New(policy.Config{Routers: 1, MaxAttempts: 3, OverQuotaWeight: 1, Classes: []policy.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	p := &post{}
	core := router.New(module, router.Limits{MaxConcurrentRequests: 10, MaxBytes: 1 << 16})
	pool := workerclient.New(workerclient.Config{Classes: []string{"dim-level"}, DialTimeout: time.Second, KeepAlive: time.Minute, MaxCallsPerConnection: 32, MaxConnections: 100,
		Dial: func(network, addr string, _ time.Duration, h eventloop.DialHandler) workerclient.Transport {
			l := &testutil.Transport{}
			p.dialled, p.lines, p.opened = append(p.dialled, network+" "+addr), append(p.lines, l), append(p.opened, h)
			return l
		}}, core)
	core.SetWorkerClient(pool)
	p.staff = newStaff(eventloop.New(eventloop.Config{}), core, pool, &config.Config{})
	return p
}

func entry(t *testing.T, name string, state policy.WorkerState, addrs ...string) discovery.Worker {
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

// call sends one call to a worker and tells over what it goes.
func (p *post) call(w policy.WorkerID, n int) (dialled string) {
	before := len(p.dialled)
	p.pool.StartAttempt(w, router.Attempt{Request: policy.RequestID(n)}, &router.Request{ID: strings.Repeat("0", 15) + string(rune('a'+n)), FunctionKey: "00000000000000aa"}, time.Second)
	if len(p.dialled) == before {
		return ""
	}
	return p.dialled[before]
}

// Two entries with one address are one worker, which drains as soon as one of them does; when one of them is gone, so
// is that worker, and what is left is another one that inherits nothing.
func TestAliasesAreOneWorker(t *testing.T) {
	p := newPost(t)
	p.follow([]discovery.Worker{entry(t, "s-1", policy.Ready, "127.0.0.1:1", "[::1]:1"), entry(t, "s-2", policy.Ready, "127.0.0.1:1", "127.0.0.1:2")})
	one := workerID("s-1+s-2")
	if got := p.call(one, 0); got != "tcp6 [::1]:1" {
		t.Fatalf("the worker of both is dialled over %q", got)
	}
	if got := p.call(workerID("s-1"), 1) + p.call(workerID("s-2"), 2); got != "" {
		t.Errorf("the entries are workers of their own: %s", got)
	}
	p.follow([]discovery.Worker{entry(t, "s-1", policy.Ready, "127.0.0.1:1", "[::1]:1"), entry(t, "s-2", policy.Draining, "127.0.0.1:1", "127.0.0.1:2")})
	p.opened[0].DialCompleted(nil)
	if got := p.call(one, 3); got != "" || p.lines[0].Wrote.Len() > 0 {
		t.Errorf("a drain told under one name: dialled %q, wrote %q", got, p.lines[0].Wrote.String())
	}
	p.follow([]discovery.Worker{entry(t, "s-1", policy.Ready, "127.0.0.1:1", "[::1]:1")})
	if got := p.call(one, 4); got != "" {
		t.Errorf("the worker of both goes on without one: dialled %q", got)
	}
	if got := p.call(workerID("s-1"), 5); got != "tcp6 [::1]:1" {
		t.Errorf("what is left is dialled over %q", got)
	}
}

// An address that moves from an id that is gone to a new one inherits nothing; two ids that swap theirs stay two.
func TestMovedAndSwappedAddresses(t *testing.T) {
	p := newPost(t)
	p.follow([]discovery.Worker{entry(t, "s-1", policy.Ready, "127.0.0.1:1")})
	p.call(workerID("s-1"), 0)
	p.follow([]discovery.Worker{entry(t, "s-9", policy.Ready, "127.0.0.1:1")})
	if !p.lines[0].HasClosed {
		t.Error("the dial to the worker that is gone goes on")
	}
	if got := p.call(workerID("s-9"), 1); got != "tcp4 127.0.0.1:1" {
		t.Errorf("the new worker is dialled over %q", got)
	}
	p.follow([]discovery.Worker{entry(t, "a", policy.Ready, "127.0.0.1:1"), entry(t, "b", policy.Ready, "127.0.0.1:2")})
	p.follow([]discovery.Worker{entry(t, "a", policy.Ready, "127.0.0.1:2"), entry(t, "b", policy.Ready, "127.0.0.1:1")})
	if got := p.call(workerID("a"), 2) + ", " + p.call(workerID("b"), 3); got != "tcp4 127.0.0.1:2, tcp4 127.0.0.1:1" {
		t.Errorf("after a swap: %s", got)
	}
}

// What the routes file says of a worker counts: addresses, their order, and whose alias it is; pools pick a worker by
// any of its names.
func TestRoutesFileNamesAddresses(t *testing.T) {
	sock, err := endpoint.Parse(endpoint.Unix, "/run/w.sock")
	if err != nil {
		t.Fatal(err)
	}
	p := newPost(t)
	p.list = []discovery.Worker{entry(t, "s-1", policy.Ready, "127.0.0.1:1"), entry(t, "s-2", policy.Ready, "127.0.0.1:2"), entry(t, "s-3", policy.Ready, "127.0.0.1:3")}
	table, err := route.Compile(&route.Spec{Workers: []route.Worker{{Name: "s-1", Cell: -1, Addrs: []endpoint.Addr{sock}}, {Name: "s-3", Cell: -1, Same: "s-2", Prefer: []endpoint.Network{endpoint.TCP4}}},
		Pools:  []route.PoolSpec{{Name: "a", Workers: []route.Selector{{IDs: []string{"s-3"}}}, MaxInFlight: route.Unset, LoadShare: route.Unset, OverflowShare: route.Unset, OverflowRate: route.Unset}},
		Routes: []route.RouteSpec{{Name: "r", Pool: "a"}}}, []string{"dim-level"})
	if err != nil {
		t.Fatal(err)
	}
	p.core.SetRoutes(table)
	p.again()
	if got := p.call(workerID("s-1"), 0); got != "unix /run/w.sock" {
		t.Errorf("a socket of the file's: dialled %q", got)
	}
	if got := p.call(workerID("s-2+s-3"), 1); got != "tcp4 127.0.0.1:2" {
		t.Errorf("aliases by the file: dialled %q", got)
	}
	if !table.Pools()[0].Contains(workerID("s-2+s-3")) || table.Pools()[0].Contains(workerID("s-1")) {
		t.Error("the pool does not pick the worker by its second name")
	}
}

// Guards the ramp: a name that had left the list and is back is a new process, as cold as any, though the directory tells
// no start of it. A start that it tells goes before that, and a list without any worker says of none that it ended.
func TestAWorkerThatReturnsIsCold(t *testing.T) {
	p := newPost(t)
	one, two := entry(t, "s-1", policy.Ready, "127.0.0.1:1"), entry(t, "s-2", policy.Ready, "127.0.0.1:2")
	lists := func(of ...[]discovery.Worker) {
		for _, list := range of {
			p.follow(list)
		}
	}
	both, alone := []discovery.Worker{one, two}, []discovery.Worker{two}
	lists(both, both)
	if p.started(one) != 0 {
		t.Error("a worker that was there all along counts as started")
	}
	lists(nil, both)
	if p.started(one) != 0 {
		t.Error("an empty list made all workers cold")
	}
	lists(alone, both)
	if at := p.started(one); at != p.lp.Now() || p.started(two) != 0 {
		t.Errorf("the one that returned counts as started at %v, the other at %v", at, p.started(two))
	}
	lists(both)
	if p.started(one) != p.lp.Now() {
		t.Error("a further list forgot the start")
	}
	one.Started = time.Now().Add(-time.Second).UnixMilli()
	if at := p.started(one); at >= p.lp.Now() {
		t.Errorf("a start that is told counts as %v", at)
	}
}

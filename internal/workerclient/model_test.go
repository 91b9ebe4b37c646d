package workerclient

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/modelcheck"
	"crankhold/internal/router"
	"crankhold/policy"
)

// scope bounds what may happen in a model check.
type scope struct {
	workers, addrs, calls     int
	bad                       int // refused dials, resets, misses and faults, together
	drains, ticks, interrupts int
	missing                   bool // functions must be ordered first
	most                      int  // states
}

// wire is a connection of the model, or a dial that is under way.
type wire struct {
	m      *model
	worker int
	addr   string
	h      eventloop.DialHandler
	state  string // dialling, up, shut (by us, its end is on the way), over
	buf    []byte
	at     int // parsed
	frames []*message
	left   int
}

// message is one that was written over a wire.
type message struct {
	word, id string
	end      int
	answered bool
	unrun    bool // proven never to have run
}

func (l *wire) Write(bufs ...[]byte) {
	for _, b := range bufs {
		l.buf = append(l.buf, b...)
	}
	for {
		var room [maxWords][]byte
		words, n, err := next(l.buf[l.at:], room[:0])
		if err != nil || n == 0 {
			break
		}
		l.at += n
		f := &message{word: string(words[0]), id: string(words[1]), end: l.at}
		l.m.written(l, f)
		l.frames = append(l.frames, f)
	}
}

func (l *wire) Close() {
	switch l.state {
	case "dialling":
		l.state = "over" // called off: nobody hears of it again
	case "up":
		l.state = "shut"
	}
}

func (l *wire) UnsentBytes() int { return l.left }

// model is the real core, module, pool and paths, with a world of a few workers around them.
type model struct {
	scope
	core    *router.Core
	pool    *Pool
	now     time.Duration
	lines   []*wire
	history strings.Builder // all that the core was told, in its order
	taken   int
	ids     map[string]policy.RequestID
	asked   []*answers
	state   []policy.WorkerState
	broken  error
}

type answers struct {
	n, after int
	left     bool
}

func (a *answers) Respond(router.Response) {
	a.n++
	if a.left {
		a.after++
	}
}

// log tells the core's events, and what the model asks of it, apart.
func (m *model) log(format string, args ...any) { fmt.Fprintf(&m.history, format+";", args...) }

// AttemptCompleted, LoadCompleted and Probed hand on to the core.
func (m *model) AttemptCompleted(a router.Attempt, r router.AttemptResult) {
	m.log("a%d.%d=%d", a.Request, a.Number, r.Outcome)
	m.core.AttemptCompleted(a, r)
}
func (m *model) LoadCompleted(tag uint64, o policy.Outcome, count int) {
	m.log("h%d=%d", tag, o)
	m.core.LoadCompleted(tag, o, count)
}
func (m *model) HealthCheckCompleted(tag uint64, o policy.Outcome, report []float64) {
	m.log("p%d=%d", tag, o)
	m.core.HealthCheckCompleted(tag, o, report)
}

func newModel(s scope) *model {
	m := &model{scope: s, now: time.Hour, ids: map[string]policy.RequestID{}}
	p, err := policy.New(policy.Config{Routers: 1, Tick: 4 * time.Millisecond, MaxAttempts: 3, CancelSupported: true, HealthCheckSupported: true, LoadOrdersSupported: true,
		MissWhenNotLoaded: s.missing, LoadStatusReported: true, RetryAfterSupported: true, MaxRetryAfter: time.Second, OverQuotaWeight: 1, KeepAlive: 10 * time.Second,
		LoadTimeout: 10 * time.Second, LoadBudgetWindow: 10 * time.Second, LoadBudgetMinimum: 4, LoadBudgetRatio: 0.3, DrainGracePeriod: time.Second,
		Classes: []policy.Class{{LatencyObjective: 1200 * time.Millisecond, Deadline: 3 * time.Second, Idempotency: policy.NotIdempotent, PriorityWeight: 5}}}, 1)
	if err != nil {
		panic(err)
	}
	m.core = router.New(p, router.Limits{MaxConcurrentRequests: 50, MaxBytes: 1 << 16, MaxAttempts: 3, LoadTimeout: 10 * time.Second, HealthCheckTimeout: 250 * time.Millisecond})
	m.pool = New(Config{Classes: []string{"repair-order"}, DialTimeout: 250 * time.Millisecond, KeepAlive: 30 * time.Second, MaxCallsPerConnection: 32, MaxConnections: 100,
		Dial: func(_, addr string, _ time.Duration, h eventloop.DialHandler) Transport {
			l := &wire{m: m, addr: addr, worker: int(addr[0] - '0'), h: h, state: "dialling"}
			m.lines = append(m.lines, l)
			return l
		}}, m)
	m.core.SetWorkerClient(m.pool)
	m.core.SetNow(m.now)
	m.pool.SetNow(m.now)
	m.state = make([]policy.WorkerState, s.workers)
	for w := range m.state {
		m.state[w] = policy.Ready
	}
	m.list()
	m.turn()
	return m
}

// list tells of the workers, as the service does.
func (m *model) list() {
	l := policy.EndpointList{Kind: policy.EndpointSnapshot}
	for w, state := range m.state {
		var addrs []endpoint.Addr
		for i := range m.addrs {
			addrs = append(addrs, endpoint.Addr{Network: endpoint.Network(i % 3), Addr: fmt.Sprintf("%d.%d", w, i)})
		}
		m.pool.SetWorker(policy.WorkerID(w+1), addrs, state)
		l.Workers = append(l.Workers, policy.Endpoint{Worker: policy.WorkerID(w + 1), State: state, Weight: 1})
	}
	m.core.SetEndpoints(l)
}

func (m *model) turn() { m.core.Process(m.now) }

func (m *model) violate(format string, args ...any) {
	if m.broken == nil {
		m.broken = fmt.Errorf(format, args...)
	}
}

// written checks what a message may not be: a call that may have run and is written again, or anything new to a
// worker that was told to drain.
func (m *model) written(l *wire, f *message) {
	if f.word != "RUN" && f.word != "HOLD" {
		return
	}
	if l.state != "up" {
		return // it never leaves
	}
	if m.state[l.worker] != policy.Ready {
		m.violate("%s %s goes to worker %d, which was told to drain", f.word, f.id, l.worker)
	}
	if f.word != "RUN" {
		return
	}
	for n, k := range m.asked {
		if fmt.Sprintf("%016x", n+1) == f.id && (k.left || k.n > 0) {
			m.violate("%s is written, which is over", f.id)
		}
	}
	for _, o := range m.lines {
		for _, g := range o.frames {
			if g.word == "RUN" && g.id == f.id && !g.unrun && !(o.state == "over" && g.end > len(o.buf)-o.left) {
				m.violate("the order %s, which may have run over %s, is written again over %s", f.id, o.addr, l.addr)
			}
		}
	}
}

type step struct {
	name string
	do   func()
}

// steps are all that may happen now.
func (m *model) steps() (list []step) {
	add := func(do func(), format string, args ...any) {
		list = append(list, step{fmt.Sprintf(format, args...), do})
	}
	bad := func(do func(), format string, args ...any) {
		if m.bad > 0 {
			add(func() { m.bad--; do() }, format, args...)
		}
	}
	if m.taken < m.calls {
		add(func() {
			n := m.taken
			m.taken++
			k := &answers{}
			m.asked = append(m.asked, k)
			id := fmt.Sprintf("%016x", n+1)
			m.log("take%d", n)
			m.ids[id] = m.core.Accept(m.now, router.Request{Asker: k, ID: id, FunctionKey: "00000000000000aa", Function: 0xaa, Lanes: 1,
				LoadTime: 500 * time.Millisecond, Body: []byte("x"), Deadline: m.now + 3*time.Second})
		}, "call %d comes", m.taken)
	}
	for i, l := range m.lines {
		switch l.state {
		case "dialling":
			add(func() { l.state = "up"; l.h.DialCompleted(nil) }, "dial %d over %s comes up", i, l.addr)
			bad(func() { l.state = "over"; l.h.DialCompleted(errors.New("refused")) }, "dial %d over %s is refused", i, l.addr)
		case "up", "shut":
			// The last message may not have left whole, unless it was answered.
			cut := 0
			if n := len(l.frames); n > 0 && !l.frames[n-1].answered {
				cut = 1
			}
			end := func(left int) func() {
				return func() { l.state, l.left = "over", left; l.h.Closed(errors.New("reset")) }
			}
			if l.state == "shut" {
				add(end(0), "the end of %d over %s", i, l.addr)
				if cut > 0 {
					add(end(cut), "the end of %d over %s, its last message cut", i, l.addr)
				}
				continue
			}
			bad(end(0), "a reset of %d over %s", i, l.addr)
			if cut > 0 {
				bad(end(cut), "a reset of %d over %s, its last message cut", i, l.addr)
			}
			for _, f := range l.frames {
				if f.answered || f.word == "STOP" || f.word == "FREE" {
					continue
				}
				answer := func(word string, unrun bool) func() {
					return func() { f.answered, f.unrun = true, unrun; l.h.Data(reply(f.id, word, "")) }
				}
				switch f.word {
				case "RUN":
					add(answer("HIT", false), "HIT for %s over %s", f.id, l.addr)
					bad(answer("FAULT", false), "FAULT for %s over %s", f.id, l.addr)
					bad(answer("NONE", true), "NONE for %s over %s", f.id, l.addr)
				case "HOLD":
					add(answer("HIT", false), "HIT for order %s over %s", f.id, l.addr)
				default:
					add(answer("PONG", false), "PONG for %s over %s", f.id, l.addr)
				}
			}
		}
	}
	if m.drains > 0 {
		for w, state := range m.state {
			if state == policy.Ready {
				add(func() {
					m.drains--
					m.state[w] = policy.Draining
					m.log("drain%d", w)
					m.list()
				}, "worker %d drains", w)
			}
		}
	}
	if m.interrupts > 0 {
		for n, k := range m.asked {
			if !k.left && k.n == 0 {
				add(func() {
					m.interrupts--
					k.left = true
					m.log("leave%d", n)
					m.core.CancelRequest(m.now, m.ids[fmt.Sprintf("%016x", n+1)])
				}, "the client of %d leaves", n)
			}
		}
	}
	if m.ticks > 0 {
		add(func() {
			m.ticks--
			m.now += 650 * time.Millisecond
			m.log("tick")
			m.core.SetNow(m.now)
			m.pool.Maintain(m.now)
		}, "650 ms pass")
	}
	return list
}

func (m *model) Steps() (names []string) {
	for _, s := range m.steps() {
		names = append(names, s.name)
	}
	return names
}

func (m *model) Do(i int) {
	m.steps()[i].do()
	m.turn()
}

// Check tells what does not hold now.
func (m *model) Check() error {
	dialling, conns := 0, 0
	for _, l := range m.lines {
		switch l.state {
		case "dialling":
			dialling++
		case "up":
			conns++
		}
	}
	if dialling != m.pool.dials-m.trialsUp() {
		return fmt.Errorf("%d dials are under way, the pool counts %d", dialling, m.pool.dials)
	}
	held := 0
	for _, w := range m.pool.workers {
		for _, c := range w.conns {
			if c.up && !c.shut {
				held++
			}
			if !c.up && !c.closing && len(c.dials) == 0 {
				return fmt.Errorf("a connection waits for no dial, with %d calls behind it", len(c.queue))
			}
		}
	}
	if conns != held+m.trialsUp() {
		return fmt.Errorf("%d connections are open, the pool holds %d", conns, held)
	}
	for n, k := range m.asked {
		if k.n > 1 || k.after > 0 {
			return fmt.Errorf("call %d has %d answers, %d of them after its client left", n, k.n, k.after)
		}
	}
	return m.broken
}

// trialsUp is how many trials are past their dial.
func (m *model) trialsUp() (n int) {
	for _, w := range m.pool.workers {
		if w.trial != nil && w.trial.line.(*wire).state == "up" {
			n++
		}
	}
	return n
}

// End lets the time of all calls run out: each has one answer, whose client has not left.
func (m *model) End() error {
	for range 50 {
		m.now += 100 * time.Millisecond
		m.core.SetNow(m.now)
		m.pool.Maintain(m.now)
		m.turn()
	}
	for n, k := range m.asked {
		if k.n != 1 && !k.left {
			return fmt.Errorf("call %d has %d answers at the end", n, k.n)
		}
	}
	return m.Check()
}

// Key is what the module was told, in its order, and the state of all connections and paths.
func (m *model) Key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %d %d %d %d %v ", m.history.String(), m.bad, m.drains, m.ticks, m.interrupts, m.state)
	for _, l := range m.lines {
		fmt.Fprintf(&b, "%s %s %d[", l.addr, l.state, l.left)
		for _, f := range l.frames {
			fmt.Fprintf(&b, "%s %s %v %v,", f.word, f.id, f.answered, f.unrun)
		}
		b.WriteByte(']')
	}
	for w := range m.state {
		p := m.pool.workers[policy.WorkerID(w+1)]
		if p == nil {
			continue
		}
		fmt.Fprintf(&b, "{%v", p.paths)
		for _, c := range p.conns {
			fmt.Fprintf(&b, "(%v %v %v %v %d %v", c.addr, c.up, c.closing, c.shut, c.race.Out(), c.pinged)
			for _, k := range c.queue {
				fmt.Fprintf(&b, " q%s", k.token)
			}
			for _, k := range c.sorted() {
				fmt.Fprintf(&b, " o%s %d %v", k.token, k.moved, k.written)
			}
			b.WriteByte(')')
		}
		fmt.Fprintf(&b, "%v}", p.trial != nil)
	}
	return b.String()
}

// scopes are what CI goes through whole.
var scopes = map[string]scope{
	"one call":    {workers: 2, addrs: 2, calls: 1, bad: 2, drains: 1, ticks: 1, interrupts: 1, most: 200_000},
	"two calls":   {workers: 2, addrs: 2, calls: 2, bad: 2, drains: 1, ticks: 0, interrupts: 0, most: 200_000},
	"load orders": {workers: 2, addrs: 2, calls: 1, bad: 2, drains: 1, ticks: 1, interrupts: 0, missing: true, most: 200_000},
}

// Every interleaving of a small scope, by the real code: an order that may have run is never written again, each
// call has one answer, nothing new goes to a worker that was told to drain, and no dial or connection leaks.
func TestEveryInterleaving(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(scopes)) {
		s := scopes[name]
		r := modelcheck.Search(func() modelcheck.System { return newModel(s) }, s.most, runtime.GOMAXPROCS(0))
		t.Logf("%s: %v", name, r)
		if r.Err != nil || !r.Whole || r.States < 1000 {
			t.Errorf("%s: %v", name, r)
		}
	}
}

// planted are faults, each put into a copy of the code by replacing a text; the model check must find all of them.
var planted = []struct{ name, file, old, new string }{
	{"calls that left whole are moved", "internal/workerclient/pool.go", "k.written && k.end > left && k.moved < mostMoves", "k.written && k.moved < mostMoves"},
	{"calls are moved to a draining worker", "internal/workerclient/pool.go", "k.moved < mostMoves && w.ready", "k.moved < mostMoves"},
	{"a drain leaves what waits behind a dial", "internal/workerclient/pool.go", "if c.dropQueue(); !c.up && len(c.queue) == 0 {", "if false {"},
	{"a reset counts as a refused dial", "internal/workerclient/pool.go", "c.lost(policy.ConnectionReset)", "c.lost(policy.Unreachable)"},
	{"an error counts as turned away", "internal/workerclient/pool.go", `"FAULT": policy.Failed`, `"FAULT": policy.Overloaded`},
	{"dials that lost the race go on", "internal/workerclient/dial.go", "\t\td.end()\n\t\td.line.Close()", "\t\td.end()"},
	{"a trial's connection stays", "internal/workerclient/dial.go", "t.pool.dials--\n\tt.line.Close()", "t.pool.dials--"},
	{"a call that was given up is sent all the same", "internal/workerclient/pool.go", "\tk.conn.unqueue(k)\n\treturn true", "\treturn true"},
	{"the module repeats what must not be", "policy/retries.go", "return withinLimit && (c.Idempotency == Idempotent ||", "return withinLimit && (c.Idempotency != IdempotentWithKey ||"},
	{"a lost race is never told", "internal/endpoint/race.go", "return !r.won && r.out == 0 && len(r.left) == 0", "return false"},
}

// Guards the check itself: each planted fault is found.
func TestPlantedFaultsAreFound(t *testing.T) {
	if os.Getenv("CRANKHOLD_PLANTED") != "" {
		t.Skip("this is a run with a fault planted")
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range planted {
		t.Run(strings.ReplaceAll(f.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			whole := filepath.Join(root, f.file)
			text, err := os.ReadFile(whole)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Count(string(text), f.old) != 1 {
				t.Fatalf("%s holds %q %d times", f.file, f.old, strings.Count(string(text), f.old))
			}
			dir := t.TempDir()
			mutant, overlay := filepath.Join(dir, "mutant.go"), filepath.Join(dir, "overlay.json")
			if err := os.WriteFile(mutant, []byte(strings.Replace(string(text), f.old, f.new, 1)), 0o644); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(overlay, fmt.Appendf(nil, `{"Replace": {%q: %q}}`, whole, mutant), 0o644); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command("go", "test", "-overlay", overlay, "-vet=off", "-count=1", "-run", "TestEveryInterleaving", ".")
			cmd.Env = append(os.Environ(), "CRANKHOLD_PLANTED=1")
			out, err := cmd.CombinedOutput()
			if err == nil {
				t.Errorf("not found:\n%s", out)
			} else if !strings.Contains(string(out), " after\n") && !strings.Contains(string(out), "panic") {
				t.Errorf("the run failed in another way:\n%s", out)
			}
		})
	}
}

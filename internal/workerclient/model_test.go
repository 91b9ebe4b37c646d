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
	faults                    int // refused dials, resets, misses and faults, together
	drains, ticks, interrupts int
	loadsRequired             bool // functions must be loaded first
	maxStates                 int
}

// modelTransportState is where a connection of the model is in its life.
type modelTransportState string

const (
	modelDialing modelTransportState = "dialing"
	modelUp      modelTransportState = "up"
	modelClosing modelTransportState = "closing" // by the pool; its end is under way
	modelEnded   modelTransportState = "ended"
)

// modelTransport is a connection of the model, or a dial that is under way.
type modelTransport struct {
	model    *model
	worker   int
	addr     string
	handler  eventloop.DialHandler
	state    modelTransportState
	written  []byte
	decoded  int // parsed
	messages []*modelMessage
	unsent   int
}

// modelMessage is one that was written over a connection.
type modelMessage struct {
	name, id  string
	endOffset int
	answered  bool
	notRun    bool // proven never to have run
}

func (l *modelTransport) Write(bufs ...[]byte) {
	for _, b := range bufs {
		l.written = append(l.written, b...)
	}
	for {
		var room [maxElements][]byte
		words, n, err := decodeArray(l.written[l.decoded:], room[:0])
		if err != nil || n == 0 {
			break
		}
		l.decoded += n
		f := &modelMessage{name: string(words[0]), id: string(words[1]), endOffset: l.decoded}
		l.model.written(l, f)
		l.messages = append(l.messages, f)
	}
}

func (l *modelTransport) Close() {
	switch l.state {
	case modelDialing:
		l.state = modelEnded // cancelled: nobody hears of it again
	case modelUp:
		l.state = modelClosing
	}
}

func (l *modelTransport) UnsentBytes() int { return l.unsent }

// model is the real core, decision module, pool and address sets, with a world of a few workers around them.
type model struct {
	scope
	core         *router.Core
	pool         *Pool
	now          time.Duration
	transports   []*modelTransport
	history      strings.Builder // all events that the core received, in order
	arrived      int
	ids          map[string]policy.RequestID
	requests     []*modelRequest
	workerStates []policy.WorkerState
	violation    error
}

type modelRequest struct {
	responses, responsesAfterLeaving int
	left                             bool
}

func (a *modelRequest) Respond(router.Response) {
	a.responses++
	if a.left {
		a.responsesAfterLeaving++
	}
}

// log adds an event of the core, or what the model asks of it, to the history.
func (m *model) log(format string, args ...any) { fmt.Fprintf(&m.history, format+";", args...) }

// AttemptCompleted, LoadCompleted and HealthCheckCompleted hand on to the core.
func (m *model) AttemptCompleted(a router.Attempt, r router.AttemptResult) {
	m.log("a%d.%d=%d", a.Request, a.Number, r.Outcome)
	m.core.AttemptCompleted(a, r)
}
func (m *model) LoadCompleted(tag uint64, o policy.Outcome, count int) {
	m.log("h%d=%d", tag, o)
	m.core.LoadCompleted(tag, o, count)
}
func (m *model) MaySendLoad(tag uint64) bool { return m.core.MaySendLoad(tag) }
func (m *model) HealthCheckCompleted(tag uint64, o policy.Outcome, report []float64) {
	m.log("p%d=%d", tag, o)
	m.core.HealthCheckCompleted(tag, o, report)
}

func newModel(s scope) *model {
	m := &model{scope: s, now: time.Hour, ids: map[string]policy.RequestID{}}
	p, err := policy.New(policy.Config{Routers: 1, Tick: 4 * time.Millisecond, MaxAttempts: 3, CancelSupported: true, HealthCheckSupported: true, LoadCommandsSupported: true,
		MissWhenNotLoaded: s.loadsRequired, LoadStatusReported: true, RetryAfterSupported: true, MaxRetryAfter: time.Second, OverQuotaWeight: 1, KeepAlive: 10 * time.Second,
		LoadTimeout: 10 * time.Second, LoadBudgetWindow: 10 * time.Second, LoadBudgetMinimum: 4, LoadBudgetRatio: 0.3, DrainGracePeriod: time.Second,
		Classes: []policy.Class{{LatencyObjective: 1200 * time.Millisecond, Deadline: 3 * time.Second, Idempotency: policy.NotIdempotent, PriorityWeight: 5}}}, 1)
	if err != nil {
		panic(err)
	}
	m.pool = New(Config{Classes: []string{"repair-order"}, DialTimeout: 250 * time.Millisecond, KeepAlive: 30 * time.Second, MaxCallsPerConnection: 32, MaxConnections: 100,
		Dial: func(_, addr string, _ time.Duration, h eventloop.DialHandler) Transport {
			l := &modelTransport{model: m, addr: addr, worker: int(addr[0] - '0'), handler: h, state: modelDialing}
			m.transports = append(m.transports, l)
			return l
		}}, m)
	m.core = router.New(p, router.Config{
		Limits:          router.Limits{MaxConcurrentRequests: 50, MaxBytes: 1 << 16, MaxAttempts: 3, LoadTimeout: 10 * time.Second, HealthCheckTimeout: 250 * time.Millisecond},
		NewWorkerClient: func(*router.Core) router.WorkerClient { return m.pool },
	})
	m.core.SetNow(m.now)
	m.pool.SetNow(m.now)
	m.workerStates = make([]policy.WorkerState, s.workers)
	for w := range m.workerStates {
		m.workerStates[w] = policy.Ready
	}
	m.list()
	m.turn()
	return m
}

// list tells of the workers, as the service does.
func (m *model) list() {
	l := policy.EndpointList{Kind: policy.EndpointSnapshot}
	for w, state := range m.workerStates {
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
	if m.violation == nil {
		m.violation = fmt.Errorf(format, args...)
	}
}

// written checks what a message may not be: a request that may have run and is written again, or anything new to a
// worker that is draining.
func (m *model) written(l *modelTransport, f *modelMessage) {
	if f.name != "RUN" && f.name != "HOLD" {
		return
	}
	if l.state != modelUp {
		return // it never leaves
	}
	if m.workerStates[l.worker] != policy.Ready {
		m.violate("%s %s goes to worker %d, which was told to drain", f.name, f.id, l.worker)
	}
	if f.name != "RUN" {
		return
	}
	for n, k := range m.requests {
		if fmt.Sprintf("%016x", n+1) == f.id && (k.left || k.responses > 0) {
			m.violate("%s is written, which is over", f.id)
		}
	}
	for _, o := range m.transports {
		for _, g := range o.messages {
			if g.name == "RUN" && g.id == f.id && !g.notRun && !(o.state == modelEnded && g.endOffset > len(o.written)-o.unsent) {
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
		if m.faults > 0 {
			add(func() { m.faults--; do() }, format, args...)
		}
	}
	if m.arrived < m.calls {
		add(func() {
			n := m.arrived
			m.arrived++
			k := &modelRequest{}
			m.requests = append(m.requests, k)
			id := fmt.Sprintf("%016x", n+1)
			m.log("take%d", n)
			m.ids[id] = m.core.Accept(m.now, router.Request{Responder: k, ID: id, Function: router.Function{Key: "00000000000000aa", ID: 0xaa, Lanes: 1, LoadTime: 500 * time.Millisecond},
				Body: []byte("x"), Deadline: m.now + 3*time.Second})
		}, "call %d comes", m.arrived)
	}
	for i, l := range m.transports {
		switch l.state {
		case modelDialing:
			add(func() { l.state = modelUp; l.handler.DialCompleted(nil) }, "dial %d over %s comes up", i, l.addr)
			bad(func() { l.state = modelEnded; l.handler.DialCompleted(errors.New("refused")) }, "dial %d over %s is refused", i, l.addr)
		case modelUp, modelClosing:
			// The last message may not have left whole, unless it has its response.
			cut := 0
			if n := len(l.messages); n > 0 && !l.messages[n-1].answered {
				cut = 1
			}
			end := func(left int) func() {
				return func() { l.state, l.unsent = modelEnded, left; l.handler.Closed(errors.New("reset")) }
			}
			if l.state == modelClosing {
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
			for _, f := range l.messages {
				if f.answered || f.name == "STOP" || f.name == "FREE" {
					continue
				}
				answer := func(word string, unrun bool) func() {
					return func() { f.answered, f.notRun = true, unrun; l.handler.Data(encodeResponse(f.id, word, "")) }
				}
				switch f.name {
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
		for w, state := range m.workerStates {
			if state == policy.Ready {
				add(func() {
					m.drains--
					m.workerStates[w] = policy.Draining
					m.log("drain%d", w)
					m.list()
				}, "worker %d drains", w)
			}
		}
	}
	if m.interrupts > 0 {
		for n, k := range m.requests {
			if !k.left && k.responses == 0 {
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
	for _, l := range m.transports {
		switch l.state {
		case modelDialing:
			dialling++
		case modelUp:
			conns++
		}
	}
	if dialling != m.pool.dialsInProgress-m.recoveryConnections() {
		return fmt.Errorf("%d dials are under way, the pool counts %d", dialling, m.pool.dialsInProgress)
	}
	held := 0
	for _, w := range m.pool.workers {
		for _, c := range w.connections {
			if c.state == ready || c.state == draining {
				held++
			}
			if c.state == connecting && len(c.dials) == 0 {
				return fmt.Errorf("a connection waits for no dial, with %d calls behind it", len(c.queued))
			}
		}
	}
	if conns != held+m.recoveryConnections() {
		return fmt.Errorf("%d connections are open, the pool holds %d", conns, held)
	}
	for n, k := range m.requests {
		if k.responses > 1 || k.responsesAfterLeaving > 0 {
			return fmt.Errorf("call %d has %d answers, %d of them after its client left", n, k.responses, k.responsesAfterLeaving)
		}
	}
	return m.violation
}

// recoveryConnections is how many recovery dials are past their dial.
func (m *model) recoveryConnections() (n int) {
	for _, w := range m.pool.workers {
		if w.recoveryDial != nil && w.recoveryDial.transport.(*modelTransport).state == modelUp {
			n++
		}
	}
	return n
}

// End lets the time of all requests run out: each has one response, whose client has not left.
func (m *model) End() error {
	for range 50 {
		m.now += 100 * time.Millisecond
		m.core.SetNow(m.now)
		m.pool.Maintain(m.now)
		m.turn()
	}
	for n, k := range m.requests {
		if k.responses != 1 && !k.left {
			return fmt.Errorf("call %d has %d answers at the end", n, k.responses)
		}
	}
	return m.Check()
}

// Key is the history of events, and the state of all connections and addresses.
func (m *model) Key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %d %d %d %d %v ", m.history.String(), m.faults, m.drains, m.ticks, m.interrupts, m.workerStates)
	for _, l := range m.transports {
		fmt.Fprintf(&b, "%s %s %d[", l.addr, l.state, l.unsent)
		for _, f := range l.messages {
			fmt.Fprintf(&b, "%s %s %v %v,", f.name, f.id, f.answered, f.notRun)
		}
		b.WriteByte(']')
	}
	for w := range m.workerStates {
		p := m.pool.workers[policy.WorkerID(w+1)]
		if p == nil {
			continue
		}
		fmt.Fprintf(&b, "{%v", p.addresses)
		for _, c := range p.connections {
			fmt.Fprintf(&b, "(%v %v %d %v", c.addr, c.state, c.race.InProgress(), c.pingedAt)
			for _, k := range c.queued {
				fmt.Fprintf(&b, " q%s", k.id)
			}
			for _, k := range c.commandsInOrder() {
				fmt.Fprintf(&b, " o%s %d %v", k.id, k.resends, k.written)
			}
			b.WriteByte(')')
		}
		fmt.Fprintf(&b, "%v}", p.recoveryDial != nil)
	}
	return b.String()
}

// scopes are what CI goes through whole.
var scopes = map[string]scope{
	"one call":    {workers: 2, addrs: 2, calls: 1, faults: 2, drains: 1, ticks: 1, interrupts: 1, maxStates: 200_000},
	"two calls":   {workers: 2, addrs: 2, calls: 2, faults: 2, drains: 1, ticks: 0, interrupts: 0, maxStates: 200_000},
	"load orders": {workers: 2, addrs: 2, calls: 1, faults: 2, drains: 1, ticks: 1, interrupts: 0, loadsRequired: true, maxStates: 200_000},
}

// Every interleaving of a small scope, by the real code: a request that may have run is never written again, each
// request has one response, nothing new goes to a worker that is draining, and no dial or connection leaks.
func TestEveryInterleaving(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(scopes)) {
		s := scopes[name]
		r := modelcheck.Search(func() modelcheck.System { return newModel(s) }, s.maxStates, runtime.GOMAXPROCS(0))
		t.Logf("%s: %v", name, r)
		if r.Err != nil || !r.Whole || r.States < 1000 {
			t.Errorf("%s: %v", name, r)
		}
	}
}

// planted are faults, each put into a copy of the code by replacing a text; the model check must find all of them.
var planted = []struct{ name, file, old, new string }{
	{"requests that left whole are sent again", "internal/workerclient/dispatch.go", "case neverArrived && !cmd.abandoned && cmd.resends < maxResends", "case !cmd.kind.isHealthQuery() && cmd.written && cmd.resends < maxResends"},
	{"requests are sent again to a draining worker", "internal/workerclient/dispatch.go", "cmd.resends < maxResends && w.ready()", "cmd.resends < maxResends"},
	{"draining leaves what is queued behind a dial", "internal/workerclient/worker.go", "c.failQueued()\n\t\t\tif c.state == connecting && len(c.queued) == 0 {", "if false {"},
	{"a reset counts as a refused dial", "internal/workerclient/conn.go", "c.terminate(policy.ConnectionReset)", "c.terminate(policy.Unreachable)"},
	{"a failure counts as rejected", "internal/workerclient/response.go", "statusFault: policy.Failed", "statusFault: policy.Overloaded"},
	{"dials that lost the race go on", "internal/workerclient/dial.go", "\t\td.finish()\n\t\td.transport.Close()", "\t\td.finish()"},
	{"the connection of a recovery dial stays open", "internal/workerclient/recovery.go", "r.pool.dialsInProgress--\n\tr.transport.Close()", "r.pool.dialsInProgress--"},
	{"a cancelled request is sent all the same", "internal/workerclient/dispatch.go", "\tcmd.conn.dequeue(cmd)\n\treturn true", "\treturn true"},
	{"the module repeats what must not be", "policy/retries.go", "return withinLimit && (c.Idempotency == Idempotent ||", "return withinLimit && (c.Idempotency != IdempotentWithKey ||"},
	{"a lost race is never reported", "internal/endpoint/race.go", "return !r.won && r.inProgress == 0 && len(r.remaining) == 0", "return false"},
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

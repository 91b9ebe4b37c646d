package workerclient

import (
	"fmt"
	"strings"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
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
	m.core = router.New(p, router.Limits{MaxConcurrentRequests: 50, MaxBytes: 1 << 16, MaxAttempts: 3, LoadTimeout: 10 * time.Second, HealthCheckTimeout: 250 * time.Millisecond})
	m.pool = New(Config{Classes: []string{"repair-order"}, DialTimeout: 250 * time.Millisecond, KeepAlive: 30 * time.Second, MaxRequestsPerConnection: 32, MaxConnections: 100,
		Dial: func(_, addr string, _ time.Duration, h eventloop.DialHandler) Transport {
			l := &modelTransport{model: m, addr: addr, worker: int(addr[0] - '0'), handler: h, state: modelDialing}
			m.transports = append(m.transports, l)
			return l
		}}, m)
	m.core.SetWorkerClient(m.pool)
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
			if c.state == connecting && len(c.dialer.inProgress) == 0 {
				return fmt.Errorf("a connection waits for no dial, with %d calls behind it", len(c.commands.queued))
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
			fmt.Fprintf(&b, "(%v %v %d %v", c.addr, c.state, c.dialer.race.InProgress(), c.liveness.pingedAt)
			for _, k := range c.commands.queued {
				fmt.Fprintf(&b, " q%s", k.id)
			}
			for _, k := range c.commands.inOrder() {
				fmt.Fprintf(&b, " o%s %d %v", k.id, k.delivery.resends, k.delivery.written)
			}
			b.WriteByte(')')
		}
		fmt.Fprintf(&b, "%v}", p.recoveryDial != nil)
	}
	return b.String()
}

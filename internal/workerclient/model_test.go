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

// scope limits what may happen in a model check.
type scope struct {
	workers       int
	addrs         int  // per worker
	requestCount  int  // requests that arrive
	faults        int  // refused dials, resets, misses and failures together
	drains        int  // workers that start to drain
	ticks         int  // steps of the clock
	disconnects   int  // clients that disconnect
	loadsRequired bool // functions must be loaded before they run
	maxStates     int
}

// model is the real router core, decision module, pool and address sets, with a simulated environment of a few workers.
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

// modelRequest is a request of a client of the model, and its own responder.
type modelRequest struct {
	responses                int
	responsesAfterDisconnect int
	clientDisconnected       bool
}

func (r *modelRequest) Respond(router.Response) {
	r.responses++
	if r.clientDisconnected {
		r.responsesAfterDisconnect++
	}
}

// modelRequestID returns the id of the request with that index in the order of arrival, from 0.
func modelRequestID(index int) string { return fmt.Sprintf("%016x", index+1) }

// log appends a result that the core receives, or a step of the model, to the history.
func (m *model) log(format string, args ...any) { fmt.Fprintf(&m.history, format+";", args...) }

// AttemptCompleted logs the result and passes it on to the core.
func (m *model) AttemptCompleted(a router.Attempt, r router.AttemptResult) {
	m.log("a%d.%d=%d", a.Request, a.Number, r.Outcome)
	m.core.AttemptCompleted(a, r)
}

// LoadCompleted logs the result and passes it on to the core.
func (m *model) LoadCompleted(commandID uint64, o policy.Outcome, replicas int) {
	m.log("h%d=%d", commandID, o)
	m.core.LoadCompleted(commandID, o, replicas)
}

// MaySendLoad asks the core.
func (m *model) MaySendLoad(commandID uint64) bool { return m.core.MaySendLoad(commandID) }

// HealthCheckCompleted logs the result and passes it on to the core.
func (m *model) HealthCheckCompleted(commandID uint64, o policy.Outcome, report []float64) {
	m.log("p%d=%d", commandID, o)
	m.core.HealthCheckCompleted(commandID, o, report)
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
	m.pool = New(Config{
		Classes:                  []string{"repair-order"},
		DialTimeout:              250 * time.Millisecond,
		KeepAlive:                30 * time.Second,
		MaxRequestsPerConnection: 32,
		MaxConnections:           100,
		Dial:                     m.dial,
	}, m)
	m.core = router.New(p, router.Config{
		Limits: router.Limits{
			MaxConcurrentRequests: 50,
			MaxBytes:              1 << 16,
			MaxAttempts:           3,
			LoadTimeout:           10 * time.Second,
			HealthCheckTimeout:    250 * time.Millisecond,
		},
		NewWorkerClient: func(*router.Core) router.WorkerClient { return m.pool },
	})
	m.core.SetNow(m.now)
	m.pool.SetNow(m.now)
	m.workerStates = make([]policy.WorkerState, s.workers)
	for w := range m.workerStates {
		m.workerStates[w] = policy.Ready
	}
	m.list()
	m.runTurn()
	return m
}

// dial starts a dial of the model. An address starts with the worker's index.
func (m *model) dial(_, addr string, _ time.Duration, handler eventloop.DialHandler) Transport {
	worker := int(addr[0] - '0')
	transport := &modelTransport{model: m, addr: addr, worker: worker, handler: handler, state: modelDialing}
	m.transports = append(m.transports, transport)
	return transport
}

// list passes the endpoint list to the pool and the core, as the server does.
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

func (m *model) runTurn() { m.core.Process(m.now) }

func (m *model) reportViolation(format string, args ...any) {
	if m.violation == nil {
		m.violation = fmt.Errorf(format, args...)
	}
}

// checkWritten checks a message as it is written: it must not be a request that may have run already, or that is
// complete or canceled, and nothing new may go to a draining worker.
func (m *model) checkWritten(transport *modelTransport, message *modelMessage) {
	if message.name != nameRun && message.name != nameHold {
		return
	}
	if transport.state != modelUp {
		return // it is never sent
	}
	if m.workerStates[transport.worker] != policy.Ready {
		m.reportViolation("%s %s goes to worker %d, which is draining", message.name, message.id, transport.worker)
	}
	if message.name != nameRun {
		return
	}
	for n, request := range m.requests {
		if modelRequestID(n) == message.id && (request.clientDisconnected || request.responses > 0) {
			m.reportViolation("request %s is written although it is complete or canceled", message.id)
		}
	}
	for _, other := range m.transports {
		for _, earlier := range other.messages {
			if earlier.id == message.id && other.mayHaveRun(earlier) {
				m.reportViolation("request %s, which may have run over %s, is written again over %s", message.id, other.addr, transport.addr)
			}
		}
	}
}

// Check returns the first property that is violated, or nil.
func (m *model) Check() error {
	if err := m.checkConnections(); err != nil {
		return err
	}
	for n, request := range m.requests {
		if request.responses > 1 || request.responsesAfterDisconnect > 0 {
			return fmt.Errorf("request %d has %d responses, %d of them after its client disconnected",
				n, request.responses, request.responsesAfterDisconnect)
		}
	}
	return m.violation
}

// checkConnections compares the open connections and dials with those that the pool knows of, to find leaks.
func (m *model) checkConnections() error {
	dialing := m.count(modelDialing)
	if dialing != m.pool.dialsInProgress-m.recoveryConnections() {
		return fmt.Errorf("%d dials are in progress, the pool counts %d", dialing, m.pool.dialsInProgress)
	}
	poolConnections := 0
	for _, w := range m.pool.workers {
		for _, c := range w.connections {
			if c.state == ready || c.state == draining {
				poolConnections++
			}
			if c.state == connecting && len(c.dialer.inProgress) == 0 {
				return fmt.Errorf("a connection is in state connecting without a dial, with %d commands queued", len(c.commands.queued))
			}
		}
	}
	if open := m.count(modelUp); open != poolConnections+m.recoveryConnections() {
		return fmt.Errorf("%d connections are open, the pool counts %d", open, poolConnections)
	}
	return nil
}

// count returns how many connections are in a state.
func (m *model) count(state modelTransportState) (count int) {
	for _, transport := range m.transports {
		if transport.state == state {
			count++
		}
	}
	return count
}

// recoveryConnections returns how many recovery dials have succeeded and await their response.
func (m *model) recoveryConnections() (count int) {
	for _, w := range m.pool.workers {
		if w.recoveryDial != nil && w.recoveryDial.transport.(*modelTransport).state == modelUp {
			count++
		}
	}
	return count
}

// End advances the clock until the deadlines of all requests have passed, and checks that each request has one
// response, unless its client has disconnected.
func (m *model) End() error {
	for range 50 {
		m.now += 100 * time.Millisecond
		m.core.SetNow(m.now)
		m.pool.Maintain(m.now)
		m.runTurn()
	}
	for n, request := range m.requests {
		if request.responses != 1 && !request.clientDisconnected {
			return fmt.Errorf("request %d has %d responses at the end", n, request.responses)
		}
	}
	return m.Check()
}

// Key identifies the state: the history of events, and the state of all connections and addresses.
func (m *model) Key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %d %d %d %d %v ", m.history.String(), m.faults, m.drains, m.ticks, m.disconnects, m.workerStates)
	for _, transport := range m.transports {
		fmt.Fprintf(&b, "%s %s %d[", transport.addr, transport.state, transport.unsent)
		for _, message := range transport.messages {
			fmt.Fprintf(&b, "%s %s %v %v,", message.name, message.id, message.responded, message.neverRan)
		}
		b.WriteByte(']')
	}
	for w := range m.workerStates {
		if worker := m.pool.workers[policy.WorkerID(w+1)]; worker != nil {
			writeWorkerKey(&b, worker)
		}
	}
	return b.String()
}

// writeWorkerKey writes the state of a worker's addresses and connections to b.
func writeWorkerKey(b *strings.Builder, w *worker) {
	fmt.Fprintf(b, "{%v", w.addresses)
	for _, c := range w.connections {
		fmt.Fprintf(b, "(%v %v %d %v", c.addr, c.state, c.dialer.race.InProgress(), c.liveness.pingedAt)
		for _, cmd := range c.commands.queued {
			fmt.Fprintf(b, " q%s", cmd.id)
		}
		for _, cmd := range c.commands.sortedInFlight() {
			fmt.Fprintf(b, " o%s %d %v", cmd.id, cmd.sendState.resends, cmd.sendState.written)
		}
		b.WriteByte(')')
	}
	fmt.Fprintf(b, "%v}", w.recoveryDial != nil)
}

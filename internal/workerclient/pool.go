package workerclient

import (
	"log/slog"
	"slices"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/policy"
)

// MaintenanceInterval is how often Maintain is to be called.
const MaintenanceInterval = 50 * time.Millisecond

// ResultHandler receives the results of commands; a router.Core is one. It is called on the event loop, also from
// within methods of the Pool.
type ResultHandler interface {
	AttemptCompleted(a router.Attempt, r router.AttemptResult)
	LoadCompleted(commandID uint64, o policy.Outcome, replicas int)
	HealthCheckCompleted(commandID uint64, o policy.Outcome, report []float64)
	// MaySendLoad reports whether a load that has waited for a connection is still within the budget: it counts when it
	// arrives at its worker.
	MaySendLoad(commandID uint64) bool
}

// Transport is a connection to a worker; an eventloop.Conn is one. None of its methods blocks.
type Transport interface {
	// Write queues buffers, which the transport keeps until they are written.
	Write(buffers ...[]byte)
	// Close closes the connection, or cancels its dial.
	Close()
	// UnsentBytes is how many of the last bytes that were written never left this program. It is for a connection
	// that has ended: what a kernel took may have arrived.
	UnsentBytes() int
}

// Config holds the deployment's figures, and by what the pool reaches the network and the log.
type Config struct {
	Classes                  []string // their names, as workers know them
	ReportFields             []string // of load reports
	DialTimeout              time.Duration
	KeepAlive                time.Duration // a worker closes a connection that is idle for so long
	SlowestObjective         time.Duration // the slowest latency objective of all classes
	MaxRequestsPerConnection int           // requests in flight on one connection
	MaxConnections           int           // to all workers together
	CancelSupported          bool          // STOP may be sent
	HealthChecksAllowed      bool          // NOOP and INFO may be sent
	Seed                     uint64        // spreads the backoff of addresses that failed
	Logger                   *slog.Logger  // nil: slog.Default()
	// Dial begins to connect and returns at once; the handler is notified of the end. It is called on the event loop.
	Dial func(network, addr string, timeout time.Duration, h eventloop.DialHandler) Transport
}

// Counters counts what became of connections.
type Counters struct {
	Dials               uint64 // that were started, recovery dials aside
	DialsFailed         uint64
	RecoveryDials       uint64 // that were started
	RecoveryDialsFailed uint64
	RequestsResent      uint64 // commands that never left one connection and went to another
	Pings               uint64 // keepalive pings that were sent
}

// Pool holds the connections to all workers. Its owner is the event loop's goroutine, on which all of its methods are
// to be called; none of them blocks.
type Pool struct {
	// Counters are for the owner to read.
	Counters Counters

	cfg             Config
	logger          *slog.Logger
	results         ResultHandler
	now             time.Duration
	workers         map[policy.WorkerID]*worker
	workersInOrder  []*worker                   // as they were added, so that equal runs do equal things
	attempts        map[router.Attempt]*command // in flight, and queued
	pingSequence    uint64                      // of the latest keepalive ping
	silence         silenceEstimate
	dialsInProgress int
	ignoredFields   ignoredFieldLog
}

// New returns a Pool that knows no worker.
func New(cfg Config, results ResultHandler) *Pool {
	logger := cfg.Logger
	if logger == nil {
		logger = slog.Default()
	}
	return &Pool{
		cfg:           cfg,
		logger:        logger,
		results:       results,
		workers:       map[policy.WorkerID]*worker{},
		attempts:      map[router.Attempt]*command{},
		silence:       silenceEstimate{peak: cfg.SlowestObjective},
		ignoredFields: ignoredFieldLog{logger: logger},
	}
}

// SetNow moves the clock on, to a time on the event loop's monotonic clock. An earlier time is ignored.
func (p *Pool) SetNow(now time.Duration) { p.now = max(p.now, now) }

// SetWorker sets a worker's state and its addresses; none leaves those that it has. What is queued behind a dial to a
// worker that no longer takes anything new ends unsent.
func (p *Pool) SetWorker(
	id policy.WorkerID, addrs []endpoint.Addr, state policy.WorkerState, prefer ...endpoint.Network,
) {
	w := p.workers[id]
	if w == nil {
		if state == policy.Gone {
			return
		}
		w = p.addWorker(id)
	}
	w.addresses.Prefer(prefer...)
	w.setAddresses(addrs)
	w.setState(state)
}

func (p *Pool) addWorker(id policy.WorkerID) *worker {
	w := &worker{pool: p, id: id, addresses: endpoint.NewAddressSet(p.cfg.Seed ^ uint64(id))}
	p.workers[id] = w
	p.workersInOrder = append(p.workersInOrder, w)
	return w
}

// RetainWorkers sets every worker that is not present to gone.
func (p *Pool) RetainWorkers(present map[policy.WorkerID]bool) {
	for _, w := range p.workersInOrder {
		if !present[w.id] {
			p.SetWorker(w.id, nil, policy.Gone)
		}
	}
}

// CloseIdle closes the connections to a worker on which nothing is in flight.
func (p *Pool) CloseIdle(id policy.WorkerID) {
	w := p.workers[id]
	if w != nil {
		w.closeIdle()
	}
}

// Maintain moves the clock on and does what is due: further dials, recovery dials, keepalive pings, and closing
// connections that have failed silently or were idle for nearly as long as workers allow. A request that crossed the
// worker's own close would count as one that may have run.
func (p *Pool) Maintain(now time.Duration) {
	p.SetNow(now)
	for _, w := range p.workersInOrder {
		w.maintain()
		if w.state == policy.Gone && len(w.connections) == 0 {
			delete(p.workers, w.id)
		}
	}
	p.workersInOrder = slices.DeleteFunc(p.workersInOrder, func(w *worker) bool { return p.workers[w.id] != w })
}

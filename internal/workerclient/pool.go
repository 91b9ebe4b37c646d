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

// MaintenanceInterval is how often Maintain must be called.
const MaintenanceInterval = 50 * time.Millisecond

// ResultHandler receives the results of commands, as a router.Core does. Its methods are called on the event loop, also
// from within methods of the Pool.
type ResultHandler interface {
	AttemptCompleted(a router.Attempt, r router.AttemptResult)
	LoadCompleted(commandID uint64, o policy.Outcome, replicas int)
	HealthCheckCompleted(commandID uint64, o policy.Outcome, report []float64)
	// MaySendLoad reports whether a load that has waited for a connection is still within the load budget, which counts
	// a load when it arrives at its worker.
	MaySendLoad(commandID uint64) bool
}

// Transport is a connection to a worker, such as an eventloop.Conn. None of its methods blocks.
type Transport interface {
	// Write queues buffers, which the transport keeps until they are written.
	Write(buffers ...[]byte)
	// Close closes the connection, or cancels its dial.
	Close()
	// UnsentBytes returns how many of the last bytes that were written never left this program. It is valid only after
	// the connection has ended. Bytes that the kernel has accepted may have arrived.
	UnsentBytes() int
}

// Config holds the settings of the deployment, and how the pool reaches the network and the log.
type Config struct {
	Classes                  []string // class names, as workers know them
	ReportFields             []string // names of the fields of load reports
	DialTimeout              time.Duration
	KeepAlive                time.Duration // a worker closes a connection that has been idle for this long
	SlowestObjective         time.Duration // the slowest latency objective of all classes
	MaxRequestsPerConnection int           // requests in flight on one connection
	MaxConnections           int           // to all workers together
	MaxRememberedIDs         int           // ids of requests, on all connections together; 0: no limit
	CancelSupported          bool          // STOP may be sent
	HealthChecksAllowed      bool          // NOOP and INFO may be sent
	Seed                     uint64        // randomizes the backoff of addresses that failed
	Logger                   *slog.Logger  // nil: slog.Default()
	// Dial starts to connect and returns at once; the handler is told the result. It is called on the event loop.
	Dial func(network, addr string, timeout time.Duration, h eventloop.DialHandler) Transport
}

// Pool manages the connections to all workers. The event loop's goroutine owns it: all of its methods must be called
// there. None of them blocks.
type Pool struct {
	// Counters are for the owner to read.
	Counters Counters

	cfg             Config
	logger          *slog.Logger
	results         ResultHandler
	now             time.Duration
	workers         map[policy.WorkerID]*worker
	workersInOrder  []*worker                   // in order of addition, so that equal runs behave equally
	attempts        map[router.Attempt]*command // in flight, including queued ones
	pingSequence    uint64                      // number of the latest keepalive ping
	silence         silenceEstimate
	idBudget        idBudget
	dialsInProgress int
	newProcesses    []*worker // workers whose process was replaced since the last RetainWorkers
	ignoredFields   ignoredFieldLog
}

// New returns a Pool without workers.
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
		idBudget:      idBudget{total: cfg.MaxRememberedIDs},
		silence:       silenceEstimate{peak: cfg.SlowestObjective},
		ignoredFields: ignoredFieldLog{logger: logger},
	}
}

// SetNow advances the clock to now, a time on the event loop's monotonic clock. An earlier time is ignored.
func (p *Pool) SetNow(now time.Duration) { p.now = max(p.now, now) }

// SetWorker sets a worker's state and its addresses. If addrs is empty, the worker keeps the addresses that it has. If
// the worker no longer accepts new commands, those that are queued behind a dial to it complete without being sent,
// except for health checks. prefer is the order in which to prefer the networks of addresses.
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
	w.addresses.SetPreference(prefer...)
	w.setAddresses(addrs)
	w.setState(state)
}

func (p *Pool) addWorker(id policy.WorkerID) *worker {
	w := &worker{pool: p, id: id, addresses: endpoint.NewAddressSet(p.cfg.Seed ^ uint64(id))}
	p.workers[id] = w
	p.workersInOrder = append(p.workersInOrder, w)
	return w
}

// RetainWorkers sets the state of every worker that is not in present to Gone. It is called after SetWorker and
// SetProcess have been called for all workers of a list.
func (p *Pool) RetainWorkers(present map[policy.WorkerID]bool) {
	for _, w := range p.workersInOrder {
		if !present[w.id] {
			p.SetWorker(w.id, nil, policy.Gone)
		}
	}
	p.endProcessesAtTakenAddresses()
}

// CloseIdle closes the connections to a worker on which nothing is in flight.
func (p *Pool) CloseIdle(id policy.WorkerID) {
	w := p.workers[id]
	if w != nil {
		w.closeIdle()
	}
}

// Maintain advances the clock and performs the housekeeping that is due: it starts further dials and recovery dials,
// sends keepalive pings, and closes connections that have failed silently or have been idle for nearly as long as
// workers allow. If the worker closed the connection first, a request that was sent at that moment would count as one
// that may have run.
func (p *Pool) Maintain(now time.Duration) {
	p.SetNow(now)
	connections := 0
	for _, w := range p.workersInOrder {
		w.maintain()
		connections += len(w.connections)
		if w.state == policy.Gone && len(w.connections) == 0 {
			delete(p.workers, w.id)
		}
	}
	p.workersInOrder = slices.DeleteFunc(p.workersInOrder, func(w *worker) bool { return p.workers[w.id] != w })
	p.idBudget.divide(connections)
}

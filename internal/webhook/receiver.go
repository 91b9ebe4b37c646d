package webhook

import (
	"log/slog"
	"net/netip"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/ledger"
	"crankhold/internal/router"
	"crankhold/policy"
)

// Core runs requests; a router.Core is one. Its method is called on the event loop's goroutine.
type Core interface {
	// Accept takes a request, and responds to its Responder once, possibly before it returns.
	Accept(now time.Duration, r router.Request) policy.RequestID
}

// Clock is a monotonic clock; an eventloop.Loop is one. Its methods are called on the event loop's goroutine.
type Clock interface {
	// Now returns the present.
	Now() time.Duration
	// ArrivedAt returns when the delivery that is being handled was read.
	ArrivedAt() time.Duration
}

// Counters counts deliveries by what became of them.
type Counters struct {
	Deliveries     uint64 // HTTP requests to the configured path, authenticated or not
	Unauthorized   uint64 // answered with 401
	Malformed      uint64 // answered with another 4xx, HTTP requests that are no delivery included
	Replayed       uint64 // answered with the response of an earlier delivery
	Joined         uint64 // that wait for the response of an earlier delivery
	LedgerRejected uint64 // of orders that could not be recorded, answered with 503
}

// Receiver takes requests from signed webhooks. It belongs to the event loop's goroutine.
type Receiver struct {
	config        ReceiverConfig
	core          Core
	classes       *classTable
	clock         Clock
	deliveryClock *deliveryClock
	post          func(func())
	authenticator authenticator
	ledger        *ledger.Ledger // nil: none is configured, and orders are rejected
	retention     retentionWindow
	outcomes      *outcomeTable
	rejections    rejectionLog
	counters      Counters
}

// Options are the parts that a Receiver works with.
type Options struct {
	// Config is the receiver's part of the webhook file, which ReadConfig has checked.
	Config ReceiverConfig
	// Core is handed the requests.
	Core Core
	// Classes are the classes of requests, in the order of router.Request.Class.
	Classes []Class
	// MaxOutcomeBytes limits the bytes of kept responses' bodies.
	MaxOutcomeBytes int
	// Clock is the event loop's.
	Clock Clock
	// WallClock is the system's.
	WallClock func() time.Time
	// Post runs a function on the event loop's goroutine. It may be called on any goroutine.
	Post func(func())
	// Logger logs rejections and the ledger's failures; nil: slog.Default().
	Logger *slog.Logger
}

// NewReceiver reads the keys and the ledger that the configuration names, and starts the ledger's goroutine. It blocks
// on file I/O and must be called before the event loop runs. Its errors are signature.KeyErrors, ledger.FileErrors and
// ledger.InUseErrors.
func NewReceiver(options Options) (*Receiver, error) {
	return newReceiver(options, ledger.SystemDisk{})
}

// newReceiver is NewReceiver with the disk that the ledger is kept on.
func newReceiver(options Options, disk ledger.Disk) (*Receiver, error) {
	keys, err := readKeys(options.Config.Keys)
	if err != nil {
		return nil, err
	}
	logger := options.Logger
	if logger == nil {
		logger = slog.Default()
	}
	clock := newDeliveryClock(options.Clock, options.WallClock)
	r := &Receiver{
		config:        options.Config,
		core:          options.Core,
		classes:       newClassTable(options.Classes),
		clock:         options.Clock,
		deliveryClock: clock,
		post:          options.Post,
		authenticator: authenticator{keys: keys, clock: clock, tolerance: options.Config.Tolerance},
		retention: retentionWindow{
			clock:     clock,
			retention: options.Config.Ledger.Retention,
			tolerance: options.Config.Tolerance,
		},
		outcomes:   newOutcomeTable(options.MaxOutcomeBytes),
		rejections: rejectionLog{logger: logger},
	}
	if r.config.Ledger.Path == "" {
		return r, nil
	}
	if err := r.openLedger(disk); err != nil {
		return nil, err
	}
	return r, nil
}

// openLedger opens the ledger and recovers the outcomes that it holds.
func (r *Receiver) openLedger(disk ledger.Disk) error {
	orders, content, err := ledger.Open(ledger.Options{
		Config: r.config.Ledger,
		Now:    r.deliveryClock.steady(),
		Disk:   disk,
		Logger: r.rejections.logger,
	})
	if err != nil {
		return err
	}
	r.ledger = orders
	r.retention.horizon = content.RetentionHorizon
	for _, entry := range content.Entries {
		r.outcomes.add(entry.ID, recoveredOutcome(entry))
	}
	return nil
}

// Counters returns the counters of deliveries since the start.
func (r *Receiver) Counters() Counters { return r.counters }

// LedgerCounters returns the counters of the ledger; zero where none is configured.
func (r *Receiver) LedgerCounters() ledger.Counters {
	if r.ledger == nil {
		return ledger.Counters{}
	}
	return r.ledger.Counters()
}

// Close ends the ledger's goroutine when all entries are written. It blocks until then and must not be called on the
// event loop. No delivery may arrive after it.
func (r *Receiver) Close() error {
	if r.ledger == nil {
		return nil
	}
	return r.ledger.Close()
}

// Accept returns the handler of a client's connection.
func (r *Receiver) Accept(c *eventloop.Conn) eventloop.AcceptedHandler {
	return r.serve(c, c.RemoteAddr())
}

func (r *Receiver) serve(transport clientConn, peer netip.AddrPort) *connection {
	return &connection{receiver: r, transport: transport, peer: peer}
}

// Sweep forgets outcomes that are older than the configuration has them kept. The age of an order counts from its
// event, as in the ledger, that of another request from its response.
func (r *Receiver) Sweep(now time.Duration) {
	steadyNow := r.deliveryClock.steady()
	r.outcomes.removeCompleted(func(o *outcome) bool {
		if o.inLedger {
			return steadyNow.Sub(o.eventTime) > r.config.Ledger.Retention
		}
		return now-o.completedAt > r.config.DedupeFor
	})
}

// logRejection logs why a delivery was rejected.
func (r *Receiver) logRejection(event string, err error) { r.rejections.add(r.clock.Now(), event, err) }

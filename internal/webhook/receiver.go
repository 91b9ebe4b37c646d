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

// Core runs requests. *router.Core implements it. Its method is called on the event loop's goroutine.
type Core interface {
	// Accept accepts a request and calls the request's Responder exactly once, possibly before it returns.
	Accept(now time.Duration, r router.Request) policy.RequestID
}

// Clock is a monotonic clock. *eventloop.Loop implements it. Its methods are called on the event loop's goroutine.
type Clock interface {
	// Now returns the current time.
	Now() time.Duration
	// ArrivedAt returns the time at which the delivery that is being handled was read from its socket.
	ArrivedAt() time.Duration
}

// Counters counts deliveries by their result.
type Counters struct {
	Deliveries     uint64 // HTTP requests to the configured path, authenticated or not
	Unauthorized   uint64 // responded to with 401
	Malformed      uint64 // responded to with another 4xx, including HTTP requests that are not deliveries
	Replayed       uint64 // responded to with the response to an earlier delivery
	Joined         uint64 // deliveries that waited for the response to an earlier one
	LedgerRejected uint64 // orders that could not be recorded, responded to with 503
}

// Receiver accepts requests as signed webhooks. It must only be used on the event loop's goroutine.
type Receiver struct {
	config        ReceiverConfig
	core          Core
	classes       *classTable
	clock         Clock
	deliveryClock *deliveryClock
	post          func(func())
	authenticator authenticator
	ledger        *ledger.Ledger // nil if none is configured; orders are then rejected
	retention     retentionWindow
	outcomes      *outcomeTable
	rejections    rejectionLog
	counters      Counters
}

// Options holds the configuration and the dependencies of a Receiver.
type Options struct {
	// Config is the receiver's part of a webhook file that ReadConfig has checked.
	Config ReceiverConfig
	// Core runs the requests.
	Core Core
	// Classes are the classes of requests. router.Request.Class is an index into them.
	Classes []Class
	// MaxOutcomeBytes limits the total size of the kept response bodies.
	MaxOutcomeBytes int
	// Clock is the event loop's clock.
	Clock Clock
	// WallClock returns the system's time.
	WallClock func() time.Time
	// Post runs a function on the event loop's goroutine. It may be called on any goroutine.
	Post func(func())
	// Logger logs rejections and the ledger's failures. If it is nil, slog.Default() is used.
	Logger *slog.Logger
}

// NewReceiver reads the keys and the ledger that the configuration names, and starts the ledger's goroutine. It blocks
// on file I/O and must be called before the event loop runs. Its errors are of type *signature.KeyError,
// *ledger.FileError or *ledger.InUseError.
func NewReceiver(options Options) (*Receiver, error) {
	return newReceiver(options, ledger.SystemDisk{})
}

// newReceiver is like NewReceiver, with a given disk for the ledger.
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

// openLedger opens the ledger and recovers the outcomes in it.
func (r *Receiver) openLedger(disk ledger.Disk) error {
	orderLedger, content, err := ledger.Open(ledger.Options{
		Config: r.config.Ledger,
		Now:    r.deliveryClock.steady(),
		Disk:   disk,
		Logger: r.rejections.logger,
	})
	if err != nil {
		return err
	}
	r.ledger = orderLedger
	r.retention.horizon = content.RetentionHorizon
	for _, entry := range content.Entries {
		r.outcomes.add(entry.ID, recoveredOutcome(entry))
	}
	return nil
}

// Counters returns the counters of deliveries since the start.
func (r *Receiver) Counters() Counters { return r.counters }

// LedgerCounters returns the counters of the ledger, or zero counters if none is configured.
func (r *Receiver) LedgerCounters() ledger.Counters {
	if r.ledger == nil {
		return ledger.Counters{}
	}
	return r.ledger.Counters()
}

// Close waits until all entries are written and stops the ledger's goroutine. It blocks and must not be called on the
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

// Sweep removes outcomes that are older than the configured limits. The age of an order is measured from its event,
// like in the ledger; the age of any other request is measured from its response.
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

package webhook

import (
	"log/slog"
	"net/netip"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/policy"
)

// rejectionLogInterval is the least time between two log lines about rejected deliveries.
const rejectionLogInterval = time.Second

// Core is what the receiver hands requests to.
type Core interface {
	Accept(now time.Duration, r router.Request) policy.RequestID
}

// Clock tells times; an eventloop.Loop is one.
type Clock interface {
	// Now is the present.
	Now() time.Duration
	// ArrivedAt is when the delivery was read that is being handled.
	ArrivedAt() time.Duration
}

// Class is a class of requests as the receiver needs to know it.
type Class struct {
	Name                   string
	NotIdempotent          bool          // its requests are orders: they must never run twice and go through the ledger
	RequiresIdempotencyKey bool          // workers drop repeats by a key, which is derived from the webhook-id
	MaxWait                time.Duration // the longest that a request may wait for its response
}

// Counters counts deliveries by what became of them.
type Counters struct {
	Deliveries, Unauthorized, Malformed, Replayed, Joined, LedgerRejected uint64
}

// Receiver takes requests from signed webhooks.
type Receiver struct {
	config           *Config
	core             Core
	classes          []Class
	classIndex       map[string]int
	clock            Clock
	time             *deliveryClock
	post             func(func())
	keys             []signingKey
	ledger           *ledger   // nil: none is configured, and orders are rejected
	horizon          time.Time // orders that happened up to then may have been forgotten
	outcomes         *outcomeTable
	nextRejectionLog time.Duration
	Counters         Counters
}

// NewReceiver reads the keys and the ledger that cfg names. The receiver keeps at most maxOutcomeBytes of responses'
// bodies. Clock is the event loop's, wallClock the system's; post runs a function on the event loop's goroutine.
func NewReceiver(cfg *Config, core Core, classes []Class, maxOutcomeBytes int, clock Clock,
	wallClock func() time.Time, post func(func())) (*Receiver, error) {
	keys, err := readKeys(cfg.Receiver.Keys)
	if err != nil {
		return nil, err
	}
	r := &Receiver{
		config:     cfg,
		core:       core,
		classes:    classes,
		classIndex: map[string]int{},
		clock:      clock,
		time:       newDeliveryClock(clock, wallClock),
		post:       post,
		keys:       keys,
		outcomes:   newOutcomeTable(maxOutcomeBytes),
	}
	for i, class := range classes {
		r.classIndex[class.Name] = i
	}
	if cfg.Receiver.Ledger.Path == "" {
		return r, nil
	}
	if err := r.openLedger(); err != nil {
		return nil, err
	}
	return r, nil
}

// openLedger opens the ledger and recovers the outcomes that it holds.
func (r *Receiver) openLedger() error {
	ledger, content, err := openLedger(r.config.Receiver.Ledger, r.time.steady(), systemDisk{})
	if err != nil {
		return err
	}
	r.ledger = ledger
	r.horizon = content.horizon
	for _, entry := range content.entries {
		r.outcomes.add(entry.ID, recoveredOutcome(entry))
	}
	return nil
}

// LedgerCounters count what became of the ledger's file: failed writes and syncs, recoveries, and entries that are owed
// to it now.
type LedgerCounters struct{ Failures, Recoveries, Unwritten uint64 }

// LedgerCounters returns the counters of the ledger; zero where there is none.
func (r *Receiver) LedgerCounters() LedgerCounters {
	if r.ledger == nil {
		return LedgerCounters{}
	}
	counters := &r.ledger.counters
	return LedgerCounters{counters.failures.Load(), counters.recoveries.Load(), counters.unwritten.Load()}
}

// Close ends the ledger's goroutine when all entries are written. No delivery may arrive after it.
func (r *Receiver) Close() error {
	if r.ledger == nil {
		return nil
	}
	return r.ledger.close()
}

// Accept serves a connection.
func (r *Receiver) Accept(c *eventloop.Conn) eventloop.AcceptedHandler {
	return r.serve(c, c.RemoteAddr())
}

func (r *Receiver) serve(transport Transport, peer netip.AddrPort) *connection {
	return &connection{receiver: r, transport: transport, peer: peer}
}

// logRejection logs why a delivery was rejected, at most once a second: whoever can connect could fill the log
// otherwise. The counters count them all.
func (r *Receiver) logRejection(event string, err error) {
	now := r.clock.Now()
	if now < r.nextRejectionLog {
		return
	}
	r.nextRejectionLog = now + rejectionLogInterval
	slog.Warn(event, slog.String("front", "webhook"), slog.Any("err", err))
}

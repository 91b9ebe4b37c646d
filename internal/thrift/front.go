package thrift

import (
	"log/slog"
	"net/netip"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/policy"
)

// Core is what the front hands requests to.
type Core interface {
	Accept(now time.Duration, r router.Request) policy.RequestID
	RejectUnaccepted(now time.Duration, r router.Request)
	CancelRequest(now time.Duration, id policy.RequestID)
}

// Clock tells times; an eventloop.Loop is one.
type Clock interface {
	// Now is the present.
	Now() time.Duration
	// ArrivedAt is when the message was read that is being handled.
	ArrivedAt() time.Duration
}

// Class is a class of requests.
type Class struct {
	Name                   string
	RequiresIdempotencyKey bool // each request carries an idempotency key, by which workers drop repeats
}

// Config is what the settings say of requests.
type Config struct {
	Classes []Class
	Tenants []string // empty: tenants are not distinguished
}

// Front serves Thrift clients.
type Front struct {
	core              Core
	config            Config
	classIndex        map[string]int
	clock             Clock
	ready             func() bool
	closedConnections logLimiter // for breaking the protocol
	rejectedRequests  logLimiter // for a field that can't be used
}

// New returns a Front. Ready is what check is answered with.
func New(core Core, cfg Config, clock Clock, ready func() bool) *Front {
	f := &Front{core: core, config: cfg, classIndex: map[string]int{}, clock: clock, ready: ready}
	for i, class := range cfg.Classes {
		f.classIndex[class.Name] = i
	}
	return f
}

// Accept serves a connection.
func (f *Front) Accept(c *eventloop.Conn) eventloop.AcceptedHandler {
	return f.serve(c, c.RemoteAddr())
}

func (f *Front) serve(transport Transport, peer netip.AddrPort) *connection {
	return &connection{front: f, transport: transport, peer: peer, open: map[uint32]*openRequest{}}
}

// logClosedConnection logs that a client broke the protocol.
func (f *Front) logClosedConnection(err error) {
	if count := f.closedConnections.add(f.clock.Now()); count > 0 {
		slog.Warn("client_connections_closed", slog.String("front", "thrift"), slog.Int("count", count), slog.Any("err", err))
	}
}

// logRejectedRequest logs a field that can't be used.
func (f *Front) logRejectedRequest(rejected *FieldError) {
	if count := f.rejectedRequests.add(f.clock.Now()); count > 0 {
		slog.Warn("client_request_field_rejected", slog.String("front", "thrift"), slog.String("field", rejected.Field),
			slog.String("value", rejected.Value), slog.Int("count", count))
	}
}

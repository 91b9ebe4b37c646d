package thrift

import (
	"log/slog"
	"net/netip"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/policy"
)

// Core receives the requests of the front. A router.Core implements it. Its methods may call the request's Responder
// before they return.
type Core interface {
	// Accept starts a request and returns its id.
	Accept(now time.Duration, r router.Request) policy.RequestID
	// RejectAtCapacity responds to a request with a rejection, without accepting it first.
	RejectAtCapacity(now time.Duration, r router.Request)
	// CancelRequest cancels a request whose client no longer waits for a response.
	CancelRequest(now time.Duration, id policy.RequestID)
}

// Clock is a monotonic clock. An eventloop.Loop implements it.
type Clock interface {
	// Now returns the time at which the present turn of the event loop started.
	Now() time.Duration
	// ArrivedAt returns the time at which the message that is being handled was read.
	ArrivedAt() time.Duration
}

// Class configures a class of requests.
type Class struct {
	Name                   string
	RequiresIdempotencyKey bool // requests must have an idempotency key, by which workers drop duplicates
}

// Config configures a Front.
type Config struct {
	Classes []Class
	Tenants []string // empty if the front ignores the tenants of requests

	// Logger logs connections that the front closes and requests that it rejects; nil means slog.Default().
	Logger *slog.Logger
}

// Front serves Thrift clients. It belongs to the event loop's goroutine.
type Front struct {
	core              Core
	clock             Clock
	ready             func() bool
	logger            *slog.Logger
	classes           []Class
	classIndex        map[string]int // by name, in classes
	tenants           []string
	closedConnections logLimiter // connections that were closed because of a protocol violation
	rejectedRequests  logLimiter // requests that were rejected because of an invalid field
}

// New returns a Front. ready reports whether the router is ready, which is the result of the method check.
func New(core Core, cfg Config, clock Clock, ready func() bool) *Front {
	front := &Front{
		core:       core,
		clock:      clock,
		ready:      ready,
		logger:     cfg.Logger,
		classes:    cfg.Classes,
		classIndex: map[string]int{},
		tenants:    cfg.Tenants,
	}
	if front.logger == nil {
		front.logger = slog.Default()
	}
	for i, class := range cfg.Classes {
		front.classIndex[class.Name] = i
	}
	return front
}

// Accept returns the handler of a connection that the event loop has accepted.
func (f *Front) Accept(c *eventloop.Conn) eventloop.AcceptedHandler {
	return f.serve(c, c.RemoteAddr())
}

func (f *Front) serve(transport Transport, peer netip.AddrPort) *connection {
	return &connection{front: f, transport: transport, peer: peer, open: map[uint32]*openRequest{}}
}

// logClosedConnection logs that a connection was closed because its client has violated the protocol.
func (f *Front) logClosedConnection(err error) {
	count := f.closedConnections.add(f.clock.Now())
	if count == 0 {
		return
	}
	f.logger.Warn("client_connections_closed", slog.String("front", "thrift"), slog.Int("count", count),
		slog.Any("err", err))
}

// logRejectedRequest logs the invalid field of a rejected request.
func (f *Front) logRejectedRequest(rejected *FieldError) {
	count := f.rejectedRequests.add(f.clock.Now())
	if count == 0 {
		return
	}
	f.logger.Warn("client_request_field_rejected", slog.String("front", "thrift"),
		slog.String("field", rejected.Field), slog.String("value", rejected.Value), slog.Int("count", count))
}

package ipfix

import (
	"errors"
	"log/slog"
	"time"

	"crankhold/internal/eventloop"
)

const (
	maxQueuedRecords = 1024
	flushInterval    = time.Second
)

// errSocketClosed is logged for a socket that was closed without an error.
var errSocketClosed = errors.New("closed")

// ExporterConfig configures an Exporter. Dial and WallClock are required.
type ExporterConfig struct {
	// Domain is the observation domain, by which a collector distinguishes exporters.
	Domain uint32

	// Dial opens a socket to the collector. The handler receives the socket's events, all of them after Dial has
	// returned.
	Dial func(handler eventloop.DialHandler) Transport

	// WallClock returns the present time for the headers of messages.
	WallClock func() time.Time

	// Logger logs the failures of sockets; nil means slog.Default().
	Logger *slog.Logger
}

// Counters counts records and messages. A message that was sent may still be lost.
type Counters struct {
	Records  uint64 // records that were added, including dropped ones
	Sent     uint64 // records in messages that were sent
	Dropped  uint64 // records that were dropped
	Messages uint64 // messages that were sent
}

// Exporter queues records and sends them to a collector. It belongs to the event loop's goroutine and is the
// eventloop.DialHandler of its socket.
type Exporter struct {
	// Counters may be read only on the event loop's goroutine.
	Counters Counters

	logger    *slog.Logger
	socket    collectorSocket
	messages  messageBuilder
	queue     []record // at most maxQueuedRecords
	now       time.Duration
	nextFlush time.Duration
}

// New returns an Exporter. The first call of Tick opens its socket.
func New(cfg ExporterConfig) *Exporter {
	exporter := &Exporter{
		logger:   cfg.Logger,
		socket:   collectorSocket{dial: cfg.Dial},
		messages: messageBuilder{domain: cfg.Domain, wallClock: cfg.WallClock},
	}
	if exporter.logger == nil {
		exporter.logger = slog.Default()
	}
	return exporter
}

// Add queues the record of a flow, or drops it if the queue is full or no template fits its addresses.
func (e *Exporter) Add(f Flow) {
	e.Counters.Records++
	if len(e.queue) >= maxQueuedRecords {
		e.Counters.Dropped++
		return
	}
	encoded, ok := encodeRecord(f)
	if !ok {
		e.Counters.Dropped++
		return
	}
	e.queue = append(e.queue, encoded)
}

// Tick opens a socket if there is none, and sends the queued records once per flushInterval. It returns the time at
// which it must be called again.
func (e *Exporter) Tick(now time.Duration) time.Duration {
	e.now = now
	if e.socket.transport == nil && now >= e.socket.nextDial {
		e.socket.open(now, e)
	}
	if !e.socket.connected {
		return e.socket.nextDial
	}
	if now < e.nextFlush {
		return e.nextFlush
	}
	e.nextFlush = now + flushInterval
	for len(e.queue) > 0 {
		e.sendMessage()
	}
	return e.nextFlush
}

// sendMessage sends one message with as many queued records as fit into it.
func (e *Exporter) sendMessage() {
	message, count := e.messages.next(e.now, e.queue)
	e.queue = append(e.queue[:0], e.queue[count:]...)
	e.Counters.Sent += uint64(count)
	e.Counters.Messages++
	e.socket.transport.Write(message)
}

// DialCompleted is called when the dial has succeeded or failed. The templates are sent first on a new socket, because
// the collector may not have them.
func (e *Exporter) DialCompleted(err error) {
	if err != nil {
		e.Closed(err)
		return
	}
	e.socket.connected = true
	e.messages.nextTemplates = 0
}

// Data ignores received bytes: IPFIX has no responses.
func (e *Exporter) Data([]byte) {}

// Closed is called when the socket was closed, for example because no collector listens at the address. The next socket
// is opened after redialDelay.
func (e *Exporter) Closed(err error) {
	if err == nil {
		err = errSocketClosed
	}
	e.logger.Warn("collector_connection_lost", slog.Any("err", err))
	e.socket.handleClose(e.now)
}

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
	templateInterval = time.Minute // between two transmissions of the templates (RFC 7011, section 8.4)
	redialDelay      = 5 * time.Second
)

// errSocketClosed is the end of a socket for which the system gave no reason.
var errSocketClosed = errors.New("closed")

// Transport is a socket to the collector; an eventloop.Conn is one.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
}

// Counters counts records and messages by what became of them. A message that was sent may still be lost.
type Counters struct{ Records, Sent, Dropped, Messages uint64 }

// Exporter queues records and sends them to a collector.
type Exporter struct {
	domain        uint32
	dial          func(h eventloop.DialHandler) Transport
	wallClock     func() time.Time
	transport     Transport // nil: there is no socket
	connected     bool
	now           time.Duration
	nextDial      time.Duration
	nextFlush     time.Duration
	nextTemplates time.Duration
	queue         []record
	sequence      uint32 // the number of records sent, modulo 2^32
	Counters      Counters
}

// New returns an Exporter that opens its socket by dial.
func New(c *Config, wallClock func() time.Time, dial func(h eventloop.DialHandler) Transport) *Exporter {
	return &Exporter{domain: c.Domain, dial: dial, wallClock: wallClock}
}

// Add queues the record of a flow, or drops it where the queue is full or no template can hold it.
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

// Tick opens the socket if there is none, and sends what is queued once each flushInterval. It returns when it is to be
// called again.
func (e *Exporter) Tick(now time.Duration) time.Duration {
	e.now = now
	if e.transport == nil {
		if now < e.nextDial {
			return e.nextDial
		}
		e.nextDial = now + redialDelay
		e.transport = e.dial(e)
	}
	if !e.connected {
		return e.nextDial
	}
	if now < e.nextFlush {
		return e.nextFlush
	}
	e.nextFlush = now + flushInterval
	for len(e.queue) > 0 {
		e.transport.Write(e.nextMessage())
	}
	return e.nextFlush
}

// nextMessage takes as many records off the queue as fit into one message, with the templates where they are due.
func (e *Exporter) nextMessage() []byte {
	message := beginMessage()
	if e.nextTemplates <= e.now {
		e.nextTemplates = e.now + templateInterval
		message = appendTemplateSet(message)
	}
	message, count := appendRecords(message, e.queue)
	e.queue = append(e.queue[:0], e.queue[count:]...)
	finishMessage(message, messageHeader{exportTime: e.wallClock(), sequence: e.sequence, domain: e.domain})
	e.sequence += uint32(count)
	e.Counters.Sent += uint64(count)
	e.Counters.Messages++
	return message
}

// DialCompleted is the end of the dial. Templates go over a new socket first: its collector may know none.
func (e *Exporter) DialCompleted(err error) {
	if err != nil {
		e.Closed(err)
		return
	}
	e.connected = true
	e.nextTemplates = 0
}

// Data ignores what is received: IPFIX has no responses.
func (e *Exporter) Data([]byte) {}

// Closed has the socket opened again after redialDelay. A collector that is not there shows in this way too.
func (e *Exporter) Closed(err error) {
	if err == nil {
		err = errSocketClosed
	}
	slog.Warn("collector_connection_lost", slog.Any("err", err))
	e.transport = nil
	e.connected = false
	e.nextDial = e.now + redialDelay
}

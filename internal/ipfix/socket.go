package ipfix

import (
	"time"

	"crankhold/internal/eventloop"
)

// redialDelay is the time between a socket's failure, or the beginning of a dial, and the next dial.
const redialDelay = 5 * time.Second

// Transport is a socket to the collector; an eventloop.Conn is one.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
}

// collectorSocket is the socket to the collector, and when the next one is opened.
type collectorSocket struct {
	dial      func(handler eventloop.DialHandler) Transport
	transport Transport // nil: there is no socket
	connected bool
	nextDial  time.Duration
}

// open begins a dial.
func (s *collectorSocket) open(now time.Duration, handler eventloop.DialHandler) {
	s.nextDial = now + redialDelay
	s.transport = s.dial(handler)
}

// handleClose drops the socket and schedules the next dial.
func (s *collectorSocket) handleClose(now time.Duration) {
	s.transport = nil
	s.connected = false
	s.nextDial = now + redialDelay
}

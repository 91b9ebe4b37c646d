package ipfix

import (
	"time"

	"crankhold/internal/eventloop"
)

// redialDelay is the time from the failure of a socket, or the start of a dial, to the next dial.
const redialDelay = 5 * time.Second

// Transport is a socket to the collector. An eventloop.Conn implements it.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
}

// collectorSocket holds the socket to the collector and the time of the next dial.
type collectorSocket struct {
	dial      func(handler eventloop.DialHandler) Transport
	transport Transport // nil if there is no socket
	connected bool
	nextDial  time.Duration
}

// open starts a dial.
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

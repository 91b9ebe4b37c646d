package discovery

import (
	"errors"
	"math/rand/v2"
	"slices"

	"crankhold/internal/eventloop"
)

// maxPendingQueries is how many of the latest queries a response may belong to. A server that takes longer than the
// backoff responds to a query that is no longer the latest; if only the latest counted, none of its responses would.
const maxPendingQueries = 32

var errUnknownQuery = errors.New("not the answer to a query of ours")

// Transport is a socket to the discovery server; an eventloop.Conn is one.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
}

// serverSockets holds the socket to the discovery server. After a switch to another address it also holds the one to
// the former address, whose descriptor clients could take otherwise before the new socket has one.
type serverSockets struct {
	dial     func(addr string, handler eventloop.DialHandler) Transport
	addr     string  // of the discovery server
	current  *socket // nil between a failure and the next dial
	previous *socket // to the former address, until the dial to the new one has ended
}

// open begins a dial to the server. The socket is current before the dial, which may call it back at once.
func (s *serverSockets) open(client *Client) {
	opened := &socket{client: client}
	s.current = opened
	opened.transport = s.dial(s.addr, opened)
}

// switchTo sets another address, to which the next dial goes.
func (s *serverSockets) switchTo(addr string) {
	s.addr = addr
	if s.current == nil {
		return
	}
	s.closePrevious()
	s.previous = s.current
	s.current = nil
}

// closePrevious closes the socket to the former address, if there is one.
func (s *serverSockets) closePrevious() {
	if s.previous != nil {
		s.previous.transport.Close()
		s.previous = nil
	}
}

// socket is one socket to the discovery server. It has pending queries of its own, so that a late response on a socket
// that was replaced matches none. It implements eventloop.DialHandler.
type socket struct {
	client    *Client
	transport Transport
	connected bool
	pending   []uint16 // ids of queries that have had no response, the latest at the end
}

// DialCompleted notifies the client that the dial has ended.
func (s *socket) DialCompleted(err error) {
	s.connected = err == nil
	s.client.dialCompleted(s, err)
}

// Closed notifies the client that the socket was closed.
func (s *socket) Closed(err error) { s.client.socketClosed(s, err) }

// Data hands a datagram to the client.
func (s *socket) Data(datagram []byte) { s.client.datagramReceived(s, datagram) }

// sendQuery sends a query under an id that can't be guessed and that no other pending query has.
func (s *socket) sendQuery() {
	id := uint16(rand.Uint32())
	for slices.Contains(s.pending, id) {
		id++
	}
	if len(s.pending) >= maxPendingQueries {
		s.pending = s.pending[len(s.pending)+1-maxPendingQueries:]
	}
	s.pending = append(s.pending, id)
	s.transport.Write(encodeQuery(id, serviceName))
}

// matchResponse parses a response and removes its query from those that are pending.
func (s *socket) matchResponse(datagram []byte) (response, error) {
	id, r, err := parseResponse(datagram)
	if err != nil {
		return r, err
	}
	i := slices.Index(s.pending, id)
	if i < 0 {
		return r, errUnknownQuery
	}
	s.pending = slices.Delete(s.pending, i, i+1)
	return r, nil
}

package discovery

import (
	"errors"
	"math/rand/v2"
	"slices"

	"crankhold/internal/eventloop"
)

// maxPendingQueries is the number of latest queries to which a response may belong. A server that takes longer than the
// backoff responds to a query that is no longer the latest. If only the latest query counted, none of its responses
// would be used.
const maxPendingQueries = 32

var errUnknownQuery = errors.New("response matches no pending query")

// Transport is a socket to the discovery server. An eventloop.Conn implements it.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
}

// serverSockets holds the socket to the discovery server. After a switch to another address it also holds the socket to
// the former address until the dial to the new one has completed. If that socket were closed earlier, a client's
// connection could take its descriptor, and the new socket might get none.
type serverSockets struct {
	dial     func(addr string, handler eventloop.DialHandler) Transport
	addr     string  // of the discovery server
	current  *socket // nil between a failure and the next dial
	previous *socket // to the former address, until the dial to the new one has completed
}

// open starts a dial to the server. It sets current before the dial, because dial may call the socket's methods before
// it returns.
func (s *serverSockets) open(client *Client) {
	opened := &socket{client: client}
	s.current = opened
	opened.transport = s.dial(s.addr, opened)
}

// switchTo sets the address for the next dial.
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

// socket is one socket to the discovery server. It has its own pending queries, so that a late response on a replaced
// socket matches no query of the new one. It implements eventloop.DialHandler.
type socket struct {
	client    *Client
	transport Transport
	connected bool
	pending   []uint16 // ids of the queries without a response, the latest one last
}

// DialCompleted notifies the client that the dial has succeeded or failed.
func (s *socket) DialCompleted(err error) {
	s.connected = err == nil
	s.client.dialCompleted(s, err)
}

// Closed notifies the client that the socket was closed.
func (s *socket) Closed(err error) { s.client.socketClosed(s, err) }

// Data passes a datagram to the client.
func (s *socket) Data(datagram []byte) { s.client.datagramReceived(s, datagram) }

// sendQuery sends a query with a random id that no other pending query has. A random id can't be guessed by others.
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

// matchResponse parses a response and removes its query from the pending queries.
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

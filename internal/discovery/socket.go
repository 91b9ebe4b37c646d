package discovery

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// maxPendingQueries is how many of the latest queries a response may belong to. A server that takes longer than the
// backoff responds to a query that is no longer the latest; if only the latest counted, none of its responses would.
const maxPendingQueries = 32

var errUnknownQuery = errors.New("not the answer to a query of ours")

// socket is one socket to the discovery server. It has pending queries of its own, so that a late response on a socket
// that was replaced matches none. It implements eventloop.DialHandler.
type socket struct {
	client    *Client
	transport Transport
	connected bool
	pending   []uint16 // ids of queries that have had no response, the latest at the end
}

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
	s.client.QueriesSent++
	s.transport.Write(encodeQuery(id, serviceName))
}

// DialCompleted ends the dial. The first query follows after a random part of the initial backoff, which spreads
// routers that start together.
func (s *socket) DialCompleted(err error) {
	c := s.client
	if c.socket == s {
		c.closePreviousSocket()
	}
	s.connected = err == nil
	if err != nil {
		s.Closed(err)
		return
	}
	if c.socket == s {
		c.nextTick = c.now + time.Duration(c.random.Int64N(int64(initialBackoff)))
	}
}

// Closed ends the socket. Another is opened after the redial delay, unless SetServer has replaced this one.
func (s *socket) Closed(err error) {
	c := s.client
	if c.socket != s {
		return
	}
	c.logFailure("discovery_connection_lost", err)
	c.socket = nil
	c.nextTick = c.now + redialDelay
}

// Data processes a datagram. Whatever is wrong with it is logged and has no other effect.
func (s *socket) Data(datagram []byte) {
	c := s.client
	if c.socket != s {
		return
	}
	r, err := s.match(datagram)
	if err == nil {
		err = c.receive(r)
	}
	if err != nil {
		c.logFailure("discovery_response_invalid", err)
	}
}

// match parses a response and removes its query from those that are pending.
func (s *socket) match(datagram []byte) (response, error) {
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

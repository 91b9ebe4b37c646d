package server

import (
	"fmt"
	"math/rand/v2"
	"time"

	"crankhold/internal/fake"
)

// drawRequest returns a request that is drawn from the seed, and the record of it.
func (s *soak) drawRequest(random *rand.Rand, canceling bool) (fake.Request, *soakRequest) {
	classes := []string{"dim-level", "fault-check", "repair-order"}
	request := newRequest(0)
	request.ID = fmt.Sprintf("%016x", random.Uint64())
	request.Class = classes[random.IntN(len(classes))]
	request.Timeout = s.deadline/2 + time.Duration(random.Int64N(int64(s.deadline/2)))
	request.Body = make([]byte, random.IntN(2048))
	r := &soakRequest{id: request.ID, notIdempotent: request.Class == "repair-order", timeout: request.Timeout, canceling: canceling}
	s.mu.Lock()
	s.requests[r.id] = r
	s.mu.Unlock()
	return request, r
}

// send sends a request, and calls done when the response has arrived or the connection was closed before it.
func (s *soak) send(client *fake.Client, request fake.Request, r *soakRequest, done func(connectionLost bool)) {
	sentAt := time.Now()
	client.Go(request, func(_ fake.Response, err error) {
		s.mu.Lock()
		if err == nil {
			r.responses++
		}
		r.exchanges = append(r.exchanges, soakExchange{sentAt: sentAt, endedAt: time.Now(), connectionLost: err != nil})
		s.mu.Unlock()
		done(err != nil)
	})
}

// exchange sends a request and waits for its response. It reports whether the connection was closed before the
// response.
func (s *soak) exchange(client *fake.Client, request fake.Request, r *soakRequest) bool {
	ended := make(chan bool, 1)
	s.send(client, request, r, func(connectionLost bool) { ended <- connectionLost })
	return <-ended
}

// drawRouter returns one of the routers that are shut down.
func (s *soak) drawRouter(random *rand.Rand) *program {
	return s.draining[random.IntN(len(s.draining))]
}

// sendUntilKilled is a client that sends one request after the other until its connection is closed. If there are too
// few descriptors for all clients, it connects again for as long as clients open connections.
func (s *soak) sendUntilKilled(random *rand.Rand) {
	for s.shortConnections && s.mayConnect() && s.sendAndClose(random) {
	}
	s.sendUntilClosed(random)
	for s.atDescriptorLimit {
		select {
		case <-s.stopConnecting:
			return
		case <-time.After(time.Duration(random.IntN(50)) * time.Millisecond):
			s.sendUntilClosed(random)
		}
	}
}

// sendUntilClosed sends one request after the other until the connection is closed. The request that was open then is
// sent once more, on a new connection.
func (s *soak) sendUntilClosed(random *rand.Rand) {
	client, err := fake.Dial(s.drawRouter(random).listen)
	if err != nil {
		return
	}
	defer client.Close()
	for {
		request, r := s.drawRequest(random, false)
		if s.exchange(client, request, r) {
			s.resend(request, r)
			return
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// mayConnect reports whether clients may still open connections.
func (s *soak) mayConnect() bool {
	select {
	case <-s.stopConnecting:
		return false
	default:
		return true
	}
}

// sendAndClose sends a few requests over a new connection and closes it. It reports whether the router kept the
// connection open until then.
func (s *soak) sendAndClose(random *rand.Rand) bool {
	client, err := fake.Dial(s.drawRouter(random).listen)
	if err != nil {
		return false
	}
	defer client.Close()
	for range 1 + random.IntN(3) {
		request, r := s.drawRequest(random, false)
		if s.exchange(client, request, r) {
			s.resend(request, r)
			return false
		}
	}
	return true
}

// openAndClose is a client that opens and closes connections, and sends one request on some of them. As a result, the
// router sometimes closes a connection at the same time as its client.
func (s *soak) openAndClose(random *rand.Rand) {
	for s.mayConnect() {
		client, err := fake.Dial(s.drawRouter(random).listen)
		if err != nil {
			return
		}
		if random.IntN(2) == 0 {
			request, r := s.drawRequest(random, false)
			s.exchange(client, request, r)
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Microsecond)
		client.Close()
	}
}

// resend sends a request that crossed a close to the router that is not shut down.
func (s *soak) resend(request fake.Request, r *soakRequest) {
	client, err := fake.Dial(s.remaining.listen)
	if err != nil {
		s.t.Errorf("%s can't be sent again: %v", r.id, err)
		return
	}
	defer client.Close()
	s.exchange(client, request, r)
}

// cancelRequests is a client that cancels its requests or closes its connection before their responses, for as long as
// clients open connections.
func (s *soak) cancelRequests(random *rand.Rand) {
	for s.mayConnect() {
		client, err := fake.Dial(s.drawRouter(random).listen)
		if err != nil {
			return
		}
		request, r := s.drawRequest(random, true)
		s.send(client, request, r, func(bool) {})
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		s.mu.Lock()
		r.canceledAt = time.Now()
		s.mu.Unlock()
		if random.IntN(2) == 0 {
			client.Interrupt(1)
			time.Sleep(20 * time.Millisecond)
		}
		client.Close()
	}
}

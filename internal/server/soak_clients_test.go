package server

import (
	"fmt"
	"math/rand/v2"
	"time"

	"crankhold/internal/fake"
)

// draw returns a request that the seed draws, and what will be known of it.
func (s *soak) draw(random *rand.Rand, leaver bool) (fake.Request, *soakRequest) {
	classes := []string{"dim-level", "fault-check", "repair-order"}
	call := callOf(0)
	call.ID = fmt.Sprintf("%016x", random.Uint64())
	call.Class = classes[random.IntN(len(classes))]
	call.Timeout = s.deadline/2 + time.Duration(random.Int64N(int64(s.deadline/2)))
	call.Body = make([]byte, random.IntN(2048))
	r := &soakRequest{id: call.ID, unsafe: call.Class == "repair-order", wait: call.Timeout, leaver: leaver}
	s.mu.Lock()
	s.requests[r.id] = r
	s.mu.Unlock()
	return call, r
}

// send sends a request, and calls done with whether its connection ended instead of an answer.
func (s *soak) send(client *fake.Client, call fake.Request, r *soakRequest, done func(broken bool)) {
	sentAt := time.Now()
	client.Go(call, func(_ fake.Response, err error) {
		s.mu.Lock()
		if err == nil {
			r.answers++
		}
		r.tries = append(r.tries, soakTry{sentAt: sentAt, endedAt: time.Now(), broken: err != nil})
		s.mu.Unlock()
		done(err != nil)
	})
}

// try sends a request and waits for its end. It returns whether its connection ended instead of an answer.
func (s *soak) try(client *fake.Client, call fake.Request, r *soakRequest) bool {
	ended := make(chan bool, 1)
	s.send(client, call, r, func(broken bool) { ended <- broken })
	return <-ended
}

// router returns one of the routers that are told to end.
func (s *soak) router(random *rand.Rand) *program { return s.draining[random.IntN(len(s.draining))] }

// stay is a client that sends one request after the other until its connection ends, or, where there is no room for all,
// for as long as connections are opened.
func (s *soak) stay(random *rand.Rand) {
	for s.visitors && s.opensConnections() && s.visit(random) {
	}
	s.stayConnected(random)
	for s.crowded {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(random.IntN(50)) * time.Millisecond):
			s.stayConnected(random)
		}
	}
}

// stayConnected sends one request after the other until the connection ends. The request that meets the end is sent once
// more, on a new connection.
func (s *soak) stayConnected(random *rand.Rand) {
	client, err := fake.Dial(s.router(random).listen)
	if err != nil {
		return
	}
	defer client.Close()
	for {
		call, r := s.draw(random, false)
		if s.try(client, call, r) {
			s.sendAgain(call, r)
			return
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// opensConnections reports whether clients still open connections.
func (s *soak) opensConnections() bool {
	select {
	case <-s.stop:
		return false
	default:
		return true
	}
}

// visit sends a few requests over a connection and closes it, as a client that comes and goes does. It reports whether the
// connection was open until then.
func (s *soak) visit(random *rand.Rand) bool {
	client, err := fake.Dial(s.router(random).listen)
	if err != nil {
		return false
	}
	defer client.Close()
	for range 1 + random.IntN(3) {
		call, r := s.draw(random, false)
		if s.try(client, call, r) {
			s.sendAgain(call, r)
			return false
		}
	}
	return true
}

// flap is a client that opens and closes connections, at times with a request in between of which it takes the answer. It
// has the router close connections that their clients close too.
func (s *soak) flap(random *rand.Rand) {
	for s.opensConnections() {
		client, err := fake.Dial(s.router(random).listen)
		if err != nil {
			return
		}
		if random.IntN(2) == 0 {
			call, r := s.draw(random, false)
			s.try(client, call, r)
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Microsecond)
		client.Close()
	}
}

// sendAgain sends a request that has crossed a close to the router that remains.
func (s *soak) sendAgain(call fake.Request, r *soakRequest) {
	client, err := fake.Dial(s.remaining.listen)
	if err != nil {
		s.t.Errorf("%s can't be sent again: %v", r.id, err)
		return
	}
	defer client.Close()
	s.try(client, call, r)
}

// leave is a client that takes requests back or closes its connection under them, for as long as connections are opened.
func (s *soak) leave(random *rand.Rand) {
	for s.opensConnections() {
		client, err := fake.Dial(s.router(random).listen)
		if err != nil {
			return
		}
		call, r := s.draw(random, true)
		s.send(client, call, r, func(bool) {})
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		s.mu.Lock()
		r.goneAt = time.Now()
		s.mu.Unlock()
		if random.IntN(2) == 0 {
			client.Interrupt(1)
			time.Sleep(20 * time.Millisecond)
		}
		client.Close()
	}
}

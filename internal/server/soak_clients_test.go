package server

import (
	"fmt"
	"math/rand/v2"
	"time"

	"crankhold/internal/fake"
)

// send sends a request that the seed draws, and calls done when it has ended.
func (s *soak) send(client *fake.Client, random *rand.Rand, leaver bool, done func()) *soakRequest {
	classes := []string{"dim-level", "fault-check", "repair-order"}
	call := callOf(0)
	call.ID = fmt.Sprintf("%016x", random.Uint64())
	call.Class = classes[random.IntN(len(classes))]
	call.Timeout = s.deadline/2 + time.Duration(random.Int64N(int64(s.deadline/2)))
	call.Body = make([]byte, random.IntN(2048))
	r := &soakRequest{id: call.ID, unsafe: call.Class == "repair-order", sentAt: time.Now(), wait: call.Timeout, leaver: leaver}
	s.mu.Lock()
	s.requests[r.id] = r
	s.mu.Unlock()
	client.Go(call, func(_ fake.Response, err error) {
		s.mu.Lock()
		r.endedAt = time.Now()
		if err != nil {
			r.broken = true
		} else {
			r.answers++
		}
		s.mu.Unlock()
		done()
	})
	return r
}

// stay is a client that sends one request after the other until its connection ends, or, where there is no room for all,
// until the router is told to end.
func (s *soak) stay(random *rand.Rand) {
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

// stayConnected sends one request after the other until the connection ends.
func (s *soak) stayConnected(random *rand.Rand) {
	client, err := fake.Dial(s.program.listen)
	if err != nil {
		return
	}
	defer client.Close()
	for {
		ended := make(chan struct{})
		r := s.send(client, random, false, func() { close(ended) })
		<-ended
		s.mu.Lock()
		broken := r.broken
		s.mu.Unlock()
		if broken {
			return
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// leave is a client that takes requests back or closes its connection under them, until the router is told to end.
func (s *soak) leave(random *rand.Rand) {
	for {
		select {
		case <-s.stop:
			return
		default:
		}
		client, err := fake.Dial(s.program.listen)
		if err != nil {
			return
		}
		r := s.send(client, random, true, func() {})
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

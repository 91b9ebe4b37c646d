package eventloop

import (
	"testing"
)

// Guards the descriptors: while the loop is blocked, only a few connections are accepted.
func TestAcceptingWaitsForTheLoop(t *testing.T) {
	l := New(Config{})
	pushed := make(chan int, 100)
	go func() {
		for i := range 3 * maxQueuedConnections {
			l.queue.push(event{conn: &Conn{loop: l}, kind: connectionAccepted})
			pushed <- i
		}
		close(pushed)
	}()
	for range maxQueuedConnections {
		<-pushed
	}
	turns, most := 0, 0
	for open := true; open; turns++ { // each turn takes what is queued, and as many new events are queued
		taken, _ := l.queue.take(batch{})
		most = max(most, len(taken.events))
		_, open = <-pushed
	}
	if most > maxQueuedConnections || turns < 2 {
		t.Errorf("%d connections waited at once, %d turns", most, turns)
	}
}

package policy

import (
	"testing"
	"time"
)

// The number of messages per request must not grow with the number of routers. Healthy workers get no health
// checks.
func TestGossipCostsTheSamePerRequestAtAnySize(t *testing.T) {
	perRequest := func(routers, requests int) (checks, receivers float64) {
		cfg := config()
		cfg.Routers, cfg.GossipSupported = routers, true
		h := newHarness(t, cfg, 40)
		gap := 20 * time.Second / time.Duration(requests)
		for n := range requests {
			h.serve(FunctionID(n%30), 10*ms, AlreadyLoaded)
			for left := gap - 10*ms; left > 0; left -= housekeepingInterval {
				h.now += min(left, housekeepingInterval)
				for _, a := range h.handle(TimerFired{Token: housekeepingToken}) {
					switch a := a.(type) {
					case CheckHealth:
						checks++
						h.handle(HealthCheckCompleted{Worker: a.Worker})
					case SendGossip:
						receivers += float64(routers - 1)
					}
				}
			}
		}
		return checks / float64(requests), receivers / float64(requests)
	}
	few, toFew := perRequest(3, 1000)
	many, toMany := perRequest(100, 250)
	if few > 0 || many > 0 {
		t.Errorf("health checks per request: %.2f with 3 routers, %.2f with 100", few, many)
	}
	if toFew == 0 || toFew > 2 || toMany == 0 || toMany > 2 {
		t.Errorf("messages per request: %.2f with 3 routers, %.2f with 100", toFew, toMany)
	}
}

// A router that has restarted knows only the endpoint list. Other routers report to it where replicas are
// loaded.
func TestGossipedReplicasAreUsed(t *testing.T) {
	cfg := config()
	cfg.GossipSupported, cfg.Routers = true, 2
	sender, receiver := newHarness(t, cfg, 8), newHarness(t, cfg, 8)
	for f := FunctionID(1); f <= 12; f++ {
		w := sender.serve(f, 1100*ms, StartedLoad)
		sender.now += housekeepingInterval
		message, ok := first[SendGossip](sender.handle(TimerFired{Token: housekeepingToken}))
		if !ok || len(message.Data) > 256 {
			t.Fatalf("gossip message sent: %v, %d bytes", ok, len(message.Data))
		}
		if message.Data[7] != byte(w) || message.Data[15] != byte(f) {
			t.Fatalf("gossip message %x for function %d at worker %d", message.Data, f, w)
		}
		w = w%8 + 1 // not the worker that the receiver would choose by itself
		message.Data[7] = byte(w)
		receiver.handle(GossipReceived{Data: message.Data})
		if got := receiver.serve(f, 80*ms, AlreadyLoaded); got != w {
			t.Errorf("function %d is loaded at worker %d, sent to %d", f, w, got)
		}
	}
	receiver.handle(GossipReceived{Data: []byte("short and odd, not a whole number of entries")})
}

package policy

import (
	"testing"
	"time"
)

// Messages must cost the same a call whether few or many routers carry the traffic; no health check goes out unasked for.
func TestGossipCostsTheSamePerRequestAtAnySize(t *testing.T) {
	perCall := func(peers, calls int) (checks, receivers float64) {
		cfg := config()
		cfg.Routers, cfg.GossipSupported = peers, true
		b := newHarness(t, cfg, 40)
		gap := 20 * time.Second / time.Duration(calls)
		for n := range calls {
			b.serve(FunctionID(n%30), 10*ms, AlreadyLoaded)
			for left := gap - 10*ms; left > 0; left -= housekeepingInterval {
				b.now += min(left, housekeepingInterval)
				for _, a := range b.handle(TimerFired{Token: housekeepingToken}) {
					switch a := a.(type) {
					case CheckHealth:
						checks++
						b.handle(HealthCheckCompleted{Worker: a.Worker})
					case SendGossip:
						receivers += float64(peers - 1)
					}
				}
			}
		}
		return checks / float64(calls), receivers / float64(calls)
	}
	few, toFew := perCall(3, 1000)
	many, toMany := perCall(100, 250)
	if few > 0 || many > 0 {
		t.Errorf("health checks for each request: %.2f with 3 routers, %.2f with 100", few, many)
	}
	if toFew == 0 || toFew > 2 || toMany == 0 || toMany > 2 {
		t.Errorf("messages delivered for each request: %.2f with 3 routers, %.2f with 100", toFew, toMany)
	}
}

// A router that restarts knows only a list: the others report to it where replicas are loaded.
func TestGossipedReplicasAreUsed(t *testing.T) {
	cfg := config()
	cfg.GossipSupported, cfg.Routers = true, 2
	a, b := newHarness(t, cfg, 8), newHarness(t, cfg, 8)
	for f := FunctionID(1); f <= 12; f++ {
		w := a.serve(f, 1100*ms, StartedLoad)
		a.now += housekeepingInterval
		news, ok := first[SendGossip](a.handle(TimerFired{Token: housekeepingToken}))
		if !ok || len(news.Data) > 256 {
			t.Fatalf("gossiped %v %d", ok, len(news.Data))
		}
		if news.Data[7] != byte(w) || news.Data[15] != byte(f) {
			t.Fatalf("gossiped %x of function %d at worker %d", news.Data, f, w)
		}
		w = w%8 + 1 // not where b would look by itself
		news.Data[7] = byte(w)
		b.handle(GossipReceived{Data: news.Data})
		if got := b.serve(f, 80*ms, AlreadyLoaded); got != w {
			t.Errorf("function %d stands at %d, sent to %d", f, w, got)
		}
	}
	b.handle(GossipReceived{Data: []byte("short and odd, not a whole number of entries")})
}

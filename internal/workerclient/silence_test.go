package workerclient

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// Each of many routers occasionally sends a worker a request, over connections that rarely carry more than one at a
// time. The durations vary like those of real requests. With a fixed limit of 150 ms, a keepalive ping was sent for
// each request that took longer. Pings cost as much as health checks and add up over the fleet.
func TestLightTrafficNeedsFewKeepalivePings(t *testing.T) {
	const routers = 20
	const requests = 300
	for _, misses := range []int{0, 1, 3} { // requests that get their response at once, like a miss, between two that run
		checkPingsUnderLightTraffic(t, routers, requests, misses)
	}
}

// checkPingsUnderLightTraffic fails the test if more than one request in 20 causes a keepalive ping.
func checkPingsUnderLightTraffic(t *testing.T, routers uint64, requests, misses int) {
	pings := uint64(0)
	missCount := 0
	for seed := range routers {
		rng := rand.New(rand.NewPCG(seed, 1))
		p := newTestPool()
		p.silence.peak = 500 * time.Millisecond
		now := time.Hour
		pinged := uint64(0)
		for n := range requests {
			now += time.Second
			p.Maintain(now)
			for range misses * min(n, 1) {
				missCount++
				id := fmt.Sprintf("%016x", 1<<20+missCount)
				p.StartAttempt(1, router.Attempt{Request: policy.RequestID(1<<20 + missCount)}, newRequest(id), 3*time.Second)
				now += time.Millisecond
				p.SetNow(now)
				p.transports[0].handler.Data(encodeResponse(id, "NONE", ""))
			}
			id, a := fmt.Sprintf("%016x", n+1), router.Attempt{Request: policy.RequestID(n + 1)}
			p.StartAttempt(1, a, newRequest(id), 3*time.Second)
			if n == 0 {
				p.transports[0].handler.DialCompleted(nil)
			}
			for end := now + time.Duration(math.Exp(1.3*rng.NormFloat64())*float64(60*time.Millisecond)); now < end; {
				now = min(now+MaintenanceInterval, end)
				p.Maintain(now)
				if p.Counters.Pings > pinged { // the worker is healthy and responds
					pinged = p.Counters.Pings
					p.transports[0].handler.Data(encodeResponse(pingID(p.pingSequence), "PONG", ""))
				}
			}
			p.transports[0].handler.Data(encodeResponse(id, "HIT", ""))
			if len(p.recorder.outcomes[a]) != 1 {
				t.Fatalf("request %d: outcomes %v", n, p.recorder.outcomes[a])
			}
		}
		pings += p.Counters.Pings
	}
	if limit := routers * uint64(requests) / 20; pings > limit {
		t.Errorf("%d misses between: %d pings for %d requests, %d at most", misses, pings, routers*uint64(requests), limit)
	}
}

// If responses follow each other closely, a connection that falls silent is sent a ping after minSilenceBeforePing. A
// connection that carries few requests is also sent a ping eventually.
func TestPingDelayFollowsExpectedSilence(t *testing.T) {
	for _, test := range []struct {
		name                   string
		responseTime, minDelay time.Duration
		maxDelay               time.Duration
	}{
		{"dense", 5 * time.Millisecond, minSilenceBeforePing, minSilenceBeforePing + 2*MaintenanceInterval},
		{"thin", 200 * time.Millisecond, 200 * time.Millisecond, time.Second},
	} {
		p := newTestPool()
		now := time.Hour
		for n := range 100 {
			id := fmt.Sprintf("%016x", n+1)
			p.SetNow(now)
			p.StartAttempt(1, router.Attempt{Request: policy.RequestID(n + 1)}, newRequest(id), time.Second)
			if n == 0 {
				p.transports[0].handler.DialCompleted(nil)
			}
			now += test.responseTime
			p.SetNow(now)
			p.transports[0].handler.Data(encodeResponse(id, "HIT", ""))
		}
		pinged := p.Counters.Pings
		sentAt := now
		p.StartAttempt(1, router.Attempt{Request: 999}, newRequest("00000000000000ff"), 3*time.Second)
		for p.Counters.Pings == pinged && now < sentAt+3*time.Second {
			now += MaintenanceInterval / 5
			p.Maintain(now)
		}
		if delay := now - sentAt; delay < test.minDelay || delay > test.maxDelay {
			t.Errorf("%s: ping sent after %v, want %v to %v", test.name, delay, test.minDelay, test.maxDelay)
		}
	}
}

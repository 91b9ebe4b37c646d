package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// If other routers have a queue at the only worker that has the function, requests of low priority are shed
// there, but not at other workers.
func TestShedsWhereOtherRoutersQueue(t *testing.T) {
	cfg := config()
	cfg.Routers = 50
	h := newHarness(t, cfg, 2)
	sent := func(w *worker, f FunctionID) (n int) {
		h.p.replicas.get(w, f).loadedUntil = h.now + time.Minute
		for range 100 {
			id, actions := h.arrive(0, f)
			if has[StartAttempt](actions) {
				n++
				h.handle(AttemptCompleted{Request: id, Worker: w.Worker, Outcome: Canceled, RequestClosed: true})
			}
		}
		return n
	}
	busy, idle := h.p.workers.byID[1], h.p.workers.byID[2]
	for range 10 {
		busy.latency.queueDelay.Observe(h.now, float64(250*ms))
	}
	if toBusy, toIdle := sent(busy, 7), sent(idle, 8); toBusy > 60 || toIdle < 95 {
		t.Errorf("%d of 100 sent to the worker with the queue, %d to the idle worker", toBusy, toIdle)
	}
	h.now += 30 * time.Second
	if toBusy := sent(busy, 7); toBusy < 95 {
		t.Errorf("%d of 100 sent after the queue is gone", toBusy)
	}
}

// A tenant within its quota must not seem to exceed it by random variation, even if a router gets few of its
// requests.
func TestTenantWithinItsQuota(t *testing.T) {
	cfg := config()
	cfg.Routers, cfg.Tenants = 100, []Tenant{{RequestsPerSecond: 200}}
	h := newHarness(t, cfg, 5)
	rng := rand.New(rand.NewPCG(5, 5))
	countOverQuota := func(rate float64) (n int) {
		for range 300 {
			h.now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			h.id++
			h.handle(RequestArrived{Request: h.id, Function: 7, LoadTime: time.Second, Remaining: 4 * time.Second})
			r := h.p.requests.byID[h.id]
			if r == nil || r.overQuota {
				n++
			}
			if r != nil && len(r.attempts) > 0 {
				h.handle(AttemptCompleted{Request: h.id, Worker: r.attempts[0].worker.Worker, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: 50 * ms})
			}
		}
		return n
	}
	if n := countOverQuota(1.6); n > 15 {
		t.Errorf("%d of 300 requests within the quota counted as beyond it", n)
	}
	if n := countOverQuota(6); n < 120 {
		t.Errorf("only %d of 300 requests at three times the quota counted as beyond it", n)
	}
}

// Under overload, a request that must wait for a load is expected to be late. It is shed before a request
// whose function is loaded.
func TestRequestsExpectedLateAreShedFirst(t *testing.T) {
	h := newHarness(t, config(), 4)
	h.serve(7, 1100*ms, StartedLoad)
	sent := map[FunctionID]int{}
	for n := range 200 {
		h.p.shedder.standingDelay.Mean = float64(220 * ms)
		f := FunctionID(7)
		if n%2 == 0 {
			f = FunctionID(1000 + n)
		}
		id, actions := h.arrive(2, f)
		if s, ok := first[StartAttempt](actions); ok {
			sent[min(f, 8)]++
			h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: StartedLoad, RequestClosed: true, Took: 900 * ms})
		}
	}
	if sent[7] < sent[8]+15 {
		t.Errorf("sent %d requests with a replica and %d without", sent[7], sent[8])
	}
}

// Under overload, requests of the lowest priority are shed first. When the delay has gone, all requests are
// admitted again.
func TestShedsLowestPriorityFirstAndRecovers(t *testing.T) {
	h := newHarness(t, config(), 4)
	count := func(class int) (sent int) {
		for range 100 {
			id, actions := h.arrive(class, 7)
			if s, ok := first[StartAttempt](actions); ok {
				sent++
				h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: StartedLoad, RequestClosed: true, Took: 10 * ms})
			}
		}
		return sent
	}
	h.p.shedder.standingDelay.Mean = float64(220 * ms)
	low, high := count(0), count(2)
	if low >= high || low == 0 {
		t.Errorf("sent %d requests of low priority and %d of high priority", low, high)
	}
	for range 200 {
		id, actions := h.arrive(2, 7)
		if s, ok := first[StartAttempt](actions); ok {
			h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: 50 * ms})
		}
	}
	if got := count(0); got < 95 {
		t.Errorf("only %d of 100 admitted after the overload", got)
	}
}

package policy

import (
	"slices"
	"testing"
	"time"
)

// memoryPriceConfig returns settings in which memory has a price and workers load functions by themselves.
func memoryPriceConfig() Config {
	c := config()
	c.LoadCommandsSupported, c.MemoryPrice, c.WorkerMemoryMB = true, 0.15, 10_000
	c.LoadBudgetWindow, c.LoadBudgetMinimum, c.LoadBudgetRatio = 10*time.Second, 4, 0.3
	return c
}

// idleTimeBeforeUnload serves n requests per second for ten seconds, for a function that needs the given
// memory. It returns the time from the last request until the replica was unloaded, or 0 if it was not
// unloaded.
func idleTimeBeforeUnload(t *testing.T, c Config, n int, memory float64) time.Duration {
	h := newHarness(t, c, 10)
	for range 10 * n {
		h.id++
		actions := h.handle(RequestArrived{Request: h.id, Function: 7, Lanes: 4, MemoryMB: memory, LoadTime: 500 * ms, Remaining: 4 * time.Second})
		s, ok := first[StartAttempt](actions)
		if !ok {
			t.Fatalf("not sent: %v", actions)
		}
		h.advance(20 * ms)
		h.handle(AttemptCompleted{Request: h.id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: 20 * ms})
		h.advance(time.Second/time.Duration(n) - 20*ms)
	}
	for end := h.now; h.now < end+c.KeepAlive; {
		h.now += housekeepingInterval
		if u, ok := first[Unload](h.handle(TimerFired{Token: housekeepingToken})); ok {
			if u.Function != 7 {
				t.Errorf("unloaded %+v", u)
			}
			return h.now - end
		}
	}
	return 0
}

// An idle replica is unloaded when its memory has cost as much as the loss of a request that finds no replica.
// This is sooner if memory is more expensive, the replica is larger or requests are more frequent. It never
// happens if memory has no price or replicas can't be unloaded.
func TestIdleReplicasAreUnloadedWhenMemoryCostsMoreThanALoad(t *testing.T) {
	base := idleTimeBeforeUnload(t, memoryPriceConfig(), 20, 8000)
	if base <= 0 || base >= 9*time.Second {
		t.Fatalf("unloaded after %v", base)
	}
	if larger := idleTimeBeforeUnload(t, memoryPriceConfig(), 20, 30_000); larger <= 0 || larger >= base {
		t.Errorf("a larger replica is unloaded after %v, a smaller one after %v", larger, base)
	}
	if fewRequests := idleTimeBeforeUnload(t, memoryPriceConfig(), 2, 8000); fewRequests != 0 {
		t.Errorf("with few requests it is unloaded after %v", fewRequests)
	}
	for name, change := range map[string]func(*Config){
		"memory is free":                    func(c *Config) { c.MemoryPrice = 0 },
		"no memory is reported":             func(c *Config) { c.WorkerMemoryMB = 0 },
		"load commands are not allowed":     func(c *Config) { c.LoadCommandsSupported = false },
		"workers do not load by themselves": func(c *Config) { c.MissWhenNotLoaded = true },
	} {
		c := memoryPriceConfig()
		change(&c)
		if idleTime := idleTimeBeforeUnload(t, c, 20, 8000); idleTime != 0 {
			t.Errorf("if %s, it is unloaded after %v", name, idleTime)
		}
	}
	if idleTime := idleTimeBeforeUnload(t, memoryPriceConfig(), 20, 0); idleTime != 0 {
		t.Errorf("a replica of unknown memory is unloaded after %v", idleTime)
	}
}

// A replica that is in use, is loading, or is at a worker that is not ready must not be unloaded.
func TestOnlyIdleReplicasAtReadyWorkersAreUnloaded(t *testing.T) {
	for _, reason := range []string{"in use", "draining"} {
		h := newHarness(t, memoryPriceConfig(), 1)
		for range 200 {
			h.id++
			h.handle(RequestArrived{Request: h.id, Function: 7, Lanes: 400, MemoryMB: 9000, LoadTime: 500 * ms, Remaining: time.Hour})
			if h.id < 200 || reason == "draining" {
				h.handle(AttemptCompleted{Request: h.id, Worker: 1, Outcome: Served, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: 20 * ms})
			}
		}
		if reason == "draining" {
			h.handle(EndpointList{Kind: EndpointSnapshot, Workers: []Endpoint{{Worker: 1, State: Draining, Weight: 1}}})
		}
		for range 300 {
			h.now += housekeepingInterval
			if actions := h.handle(TimerFired{Token: housekeepingToken}); has[Unload](actions) {
				t.Fatalf("a replica that is %s is unloaded: %v", reason, actions)
			}
		}
	}
}

// The order in which one sweep unloads replicas must not depend on the order of a map, so that equal runs
// give equal actions.
func TestUnloadOrderIsDeterministic(t *testing.T) {
	run := func() (order []FunctionID) {
		h := newHarness(t, memoryPriceConfig(), 1)
		for i := range 400 {
			h.id++
			h.handle(RequestArrived{Request: h.id, Function: FunctionID(i%20 + 1), Lanes: 400, MemoryMB: 9000, LoadTime: 500 * ms, Remaining: time.Hour})
			h.handle(AttemptCompleted{Request: h.id, Worker: 1, Outcome: Served, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: 20 * ms})
		}
		for range 200 {
			h.now += housekeepingInterval
			for _, a := range h.handle(TimerFired{Token: housekeepingToken}) {
				if u, ok := a.(Unload); ok {
					order = append(order, u.Function)
				}
			}
		}
		return order
	}
	want := run()
	if len(want) != 20 {
		t.Fatalf("%d of 20 replicas were unloaded", len(want))
	}
	for range 5 {
		if got := run(); !slices.Equal(got, want) {
			t.Fatalf("unloaded %v, then %v", want, got)
		}
	}
}

// A request that a worker rejected meets the same queues as a new request. Under a standing delay it must be
// shed as often, and not be sent to one worker after the other.
func TestOverloadedRequestsAreShedUnderAStandingDelay(t *testing.T) {
	rejected := func(overloaded bool) (n int) {
		h := newHarness(t, config(), 8)
		for i := range 200 {
			took := 50 * ms
			if overloaded {
				took = 700 * ms
			}
			id, actions := h.arrive(0, FunctionID(i%4+1))
			if s, ok := first[StartAttempt](actions); ok {
				h.now += took
				h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: took})
			}
		}
		for i := 0; i < 200; {
			id, actions := h.arrive(0, FunctionID(i%4+1))
			s, ok := first[StartAttempt](actions)
			if !ok {
				continue // shed before its first attempt
			}
			i++
			actions = h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Overloaded, Took: ms})
			if has[Reject](actions) {
				n++
			} else if s, ok = first[StartAttempt](actions); ok {
				h.handle(AttemptCompleted{Request: id, Attempt: 1, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: 50 * ms})
			}
			h.now += 10 * ms
		}
		return n
	}
	if n := rejected(false); n > 5 {
		t.Errorf("%d of 200 requests that a worker rejected are rejected without a queue", n)
	}
	if n := rejected(true); n < 20 {
		t.Errorf("%d of 200 requests that a worker rejected are rejected under a standing delay", n)
	}
}

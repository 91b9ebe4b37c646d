package router

import (
	"fmt"
	"testing"
	"time"

	"crankhold/policy"
)

// Guards memory under long waits: a call that has been answered leaves no timer behind, of the core's or of the
// module's, however long its client would have waited.
func TestAnsweredCallsLeaveNoTimers(t *testing.T) {
	c, w := newCore(t, 1)
	c.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
	now := time.Hour
	c.Process(now)
	standing := c.timers.Len()
	for i := range 500 {
		k := &asker{core: c}
		id := c.Accept(now, Request{Asker: k, ID: fmt.Sprint(i), Function: 7, Deadline: now + 10*time.Minute})
		c.Process(now)
		if i%2 == 0 {
			c.AttemptCompleted(w.runs[id][0], AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded})
		} else {
			c.CancelRequest(now, id)
		}
		c.Process(now)
		for a := range w.out {
			c.AttemptCompleted(a, AttemptResult{Outcome: policy.Cancelled})
			delete(w.out, a)
		}
		for tag := range w.asks {
			c.HealthCheckCompleted(tag, policy.Served, nil)
			delete(w.asks, tag)
		}
		now += ms
		c.Process(now)
	}
	if c.timers.Len() > standing+2 || len(c.policyTimers) > standing+2 || len(c.requests) > 0 {
		t.Errorf("%d timers, %d of the module's and %d requests stay; %d timers stood at the start", c.timers.Len(), len(c.policyTimers), len(c.requests), standing)
	}
}

package router

import (
	"testing"
	"time"

	"crankhold/policy"
)

// Guards clients that leave, and calls that are given up, while an attempt waits behind a dial: it is taken back at
// once, also where the settings don't let the module call anything off, and nothing is sent for it when the dial comes
// up. A call that was written stays where it is.
func TestWhatWaitsBehindADialEndsWithItsCall(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		for _, end := range []string{"leaves", "times out"} {
			c, w := newCoreThat(t, 1, mayCancel)
			c.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
			now := time.Hour
			c.Process(now)
			k := &asker{core: c}
			w.dials = true
			id := c.Accept(now, Request{Asker: k, ID: "a", FunctionKey: "00000000000000aa", Function: 0xaa, Deadline: now + 2*time.Second})
			c.Process(now)
			if len(w.queue) != 1 {
				t.Fatalf("%d calls wait behind a dial", len(w.queue))
			}
			if end == "leaves" {
				now += 10 * ms
				c.CancelRequest(now, id)
			} else {
				now += 3 * time.Second
			}
			c.Process(now)
			if len(w.queue) != 0 || len(w.out) != 0 {
				t.Errorf("may cancel %v: after the client %s, %d calls wait behind a dial and %d are out", mayCancel, end, len(w.queue), len(w.out))
			}
			want := 0
			if end == "times out" {
				want = 1
			}
			if len(k.answers) != want || c.OpenRequests() != 0 || len(c.requests) != 0 || len(c.clientIDs) != 0 {
				t.Errorf("may cancel %v: the client %s: answers %v, %d open, %d kept", mayCancel, end, k.answers, c.OpenRequests(), len(c.requests))
			}
			if want == 1 && (k.answers[0].Status != Rejected || k.answers[0].MayHaveRun) {
				t.Errorf("a call that never left was answered %+v", k.answers[0])
			}
			for later := now; later < now+5*time.Second; later += 50 * ms {
				if c.Process(later); len(w.runs[id]) != 1 {
					t.Fatalf("sent %d times", len(w.runs[id]))
				}
			}
		}
	}
}

// A call that is taken back widens no ration, though its attempt waited behind a dial: the module orders as often as
// without such calls.
func TestCallsTakenBackBehindADialWidenNoRation(t *testing.T) {
	for _, back := range []int{0, 3} {
		c, w := newCore(t, 1)
		c.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}, {Worker: 2, State: policy.Ready}}})
		now, ids := time.Hour, uint64(0)
		c.Process(now)
		take := func() policy.RequestID {
			ids++
			id := c.Accept(now, Request{Asker: &asker{core: c}, ID: idOf(ids), FunctionKey: idOf(ids), Function: policy.FunctionID(ids), Deadline: now + 2*time.Second})
			c.Process(now)
			return id
		}
		for range 200 {
			w.dials = true
			for range back {
				id := take()
				c.CancelRequest(now, id)
				c.Process(now)
			}
			w.dials = false
			id := take()
			for n := 0; n < len(w.runs[id]); n++ { // it misses once, and is served where it goes next
				a := w.runs[id][n]
				delete(w.out, a)
				c.AttemptCompleted(a, AttemptResult{Outcome: []policy.Outcome{policy.NotLoaded, policy.Served}[min(n, 1)]})
				c.Process(now)
				for tag := range w.holds {
					delete(w.holds, tag)
					c.LoadCompleted(tag, policy.Served, 1)
				}
				c.Process(now)
			}
			now += 5 * ms
		}
		if orders := c.Counters.LoadsOrdered; orders != 64 {
			t.Errorf("%d calls taken back for each that stays: %d orders of 64 = 4 + 30 in 100 of 200", back, orders)
		}
	}
}

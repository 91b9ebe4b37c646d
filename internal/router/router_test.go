package router

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/policy"
)

const ms = time.Millisecond

// workers is a stand-in that keeps what is out and lets a test end it.
type workers struct {
	core  *Core
	out   map[Attempt]policy.WorkerID
	runs  map[policy.RequestID][]Attempt
	holds map[uint64]bool
	asks  map[uint64]bool
	queue map[Attempt]bool // out, but behind a dial
	dials bool             // what is sent from now on waits behind one
}

func (w *workers) WithdrawUnsent(_ policy.WorkerID, a Attempt) bool {
	waits := w.queue[a]
	if waits {
		delete(w.queue, a)
		delete(w.out, a)
	}
	return waits
}

func (w *workers) StartAttempt(id policy.WorkerID, a Attempt, r *Request, budget time.Duration) {
	if budget <= 0 || w.core.now+budget > r.Deadline {
		panic(fmt.Sprintf("budget %v at %v, deadline %v", budget, w.core.now, r.Deadline))
	}
	w.out[a] = id
	if w.dials {
		w.queue[a] = true
	}
	w.runs[a.Request] = append(w.runs[a.Request], a)
}
func (w *workers) CancelAttempt(_ policy.WorkerID, a Attempt)                   { delete(w.out, a) }
func (w *workers) Load(_ policy.WorkerID, _ policy.FunctionID, _ int, t uint64) { w.holds[t] = true }
func (w *workers) CheckHealth(_ policy.WorkerID, t uint64)                      { w.asks[t] = true }
func (w *workers) AbandonCommand(_ policy.WorkerID, t uint64)                   { delete(w.holds, t); delete(w.asks, t) }
func (w *workers) Unload(policy.WorkerID, policy.FunctionID)                    {}
func (w *workers) CloseIdle(policy.WorkerID)                                    {}

// asker counts answers.
type asker struct {
	answers []Response
	at      []time.Duration
	core    *Core
}

func (k *asker) Respond(a Response) {
	k.answers, k.at = append(k.answers, a), append(k.at, k.core.now)
}

func newCore(t rapid.TB, seed uint64) (*Core, *workers) { return newCoreThat(t, seed, true) }

func newCoreThat(t rapid.TB, seed uint64, mayCancel bool) (*Core, *workers) {
	p, err := policy.New(policy.Config{Routers: 1, Tick: 4 * ms, MaxAttempts: 3, CancelSupported: mayCancel, HealthCheckSupported: true, LoadOrdersSupported: true,
		MissWhenNotLoaded: true, LoadStatusReported: true, HedgingAllowed: true, RetryAfterSupported: true, MaxRetryAfter: time.Second, OverQuotaWeight: 1,
		KeepAlive: 10 * time.Second, LoadTimeout: 10 * time.Second, LoadBudgetWindow: 10 * time.Second, LoadBudgetMinimum: 4, LoadBudgetRatio: 0.3,
		DrainGracePeriod: time.Second, LoadReportFields: []string{"inflight"}, InlineLoadReports: true,
		Classes: []policy.Class{
			{LatencyObjective: 400 * ms, Deadline: 2 * time.Second, Idempotency: policy.Idempotent, DeduplicationScope: policy.DeduplicatedEverywhere, PriorityWeight: 3},
			{LatencyObjective: 1200 * ms, Deadline: 3 * time.Second, Idempotency: policy.NotIdempotent, DeduplicationScope: policy.DeduplicatedEverywhere, PriorityWeight: 5}}}, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := New(p, Limits{MaxConcurrentRequests: 50, MaxBytes: 1 << 16, MaxAttempts: 3, LoadTimeout: 10 * time.Second, HealthCheckTimeout: 250 * ms})
	w := &workers{core: c, out: map[Attempt]policy.WorkerID{}, runs: map[policy.RequestID][]Attempt{},
		holds: map[uint64]bool{}, asks: map[uint64]bool{}, queue: map[Attempt]bool{}}
	c.SetWorkerClient(w)
	return c, w
}

// pick draws one key of m in a fixed order, so that a failing run can be run again.
func pick[K comparable, V any](t *rapid.T, m map[K]V) (K, bool) {
	var keys []K
	for k := range m {
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		var none K
		return none, false
	}
	slices.SortFunc(keys, func(a, b K) int { return strings.Compare(fmt.Sprintf("%20v", a), fmt.Sprintf("%20v", b)) })
	return keys[rapid.IntRange(0, len(keys)-1).Draw(t, "which")], true
}

// The model of a request: one final answer, in time, true to what may have run, and nothing sent
// again once an order may have run.
func TestRequestsGetOneTrueAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, w := newCore(t, rapid.Uint64().Draw(t, "seed"))
		now := time.Hour
		states := []policy.WorkerState{policy.Ready, policy.Ready, policy.Draining, policy.Gone}
		list := func() {
			l := policy.EndpointList{Kind: policy.EndpointSnapshot}
			for id := policy.WorkerID(1); id <= 4; id++ {
				l.Workers = append(l.Workers, policy.Endpoint{Worker: id, State: rapid.SampledFrom(states).Draw(t, "state"), Weight: 1})
			}
			c.SetEndpoints(l)
		}
		type model struct {
			asker    *asker
			class    int
			deadline time.Duration
			left     bool
			sends    int  // when that became so
			mayRun   bool // some attempt ended without proof that it never ran
		}
		models, taken := map[policy.RequestID]*model{}, 0
		end := func(a Attempt, o policy.Outcome) {
			delete(w.out, a)
			if m := models[a.Request]; m != nil && !o.NeverRan() {
				m.mayRun, m.sends = true, len(w.runs[a.Request])
			}
			c.AttemptCompleted(a, AttemptResult{Outcome: o, Body: []byte("done")})
			c.AttemptCompleted(a, AttemptResult{Outcome: policy.Served, Body: []byte("again")}) // a second report changes nothing
		}
		list()
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				m := &model{class: rapid.IntRange(0, 1).Draw(t, "class"), asker: &asker{core: c}}
				m.deadline = now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait"))*ms
				taken++
				id := c.Accept(now, Request{Asker: m.asker, ID: fmt.Sprintf("%016x", taken), Class: m.class, FunctionKey: "00000000000000aa",
					Function: policy.FunctionID(rapid.IntRange(1, 3).Draw(t, "f")), Lanes: 1, LoadTime: 500 * ms,
					Body: make([]byte, rapid.IntRange(0, 4000).Draw(t, "size")), Deadline: m.deadline})
				if id == 0 { // turned away for want of room
					if len(m.asker.answers) != 1 || m.asker.answers[0].Status != Rejected {
						t.Fatal("turned away without a refusal")
					}
					return
				}
				models[id] = m
			},
			"end": func(t *rapid.T) {
				if a, ok := pick(t, w.out); ok {
					end(a, rapid.SampledFrom([]policy.Outcome{policy.Served, policy.Failed, policy.Overloaded, policy.Unreachable,
						policy.ConnectionReset, policy.NotSent, policy.NotLoaded}).Draw(t, "outcome"))
				}
			},
			"load": func(t *rapid.T) {
				if tag, ok := pick(t, w.holds); ok {
					delete(w.holds, tag)
					c.LoadCompleted(tag, rapid.SampledFrom([]policy.Outcome{policy.Served, policy.Overloaded, policy.Failed}).Draw(t, "o"), 1)
				}
			},
			"probe": func(t *rapid.T) {
				if tag, ok := pick(t, w.asks); ok {
					delete(w.asks, tag)
					c.HealthCheckCompleted(tag, policy.Served, []float64{1})
				}
			},
			"leave": func(t *rapid.T) {
				if id, ok := pick(t, models); ok && len(models[id].asker.answers) == 0 {
					models[id].left = true
					c.CancelRequest(now, id)
				}
			},
			"list": func(*rapid.T) { list() },
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms },
			"": func(t *rapid.T) {
				next := c.Process(now)
				if next <= now {
					t.Fatalf("turn at %v wants another at %v", now, next)
				}
				open := 0
				for id, m := range models {
					n := len(m.asker.answers)
					switch {
					case n > 1 || m.left && n > 0:
						t.Fatalf("request %d has %d answers, left %v", id, n, m.left)
					case n == 0 && !m.left && now >= m.deadline:
						t.Fatalf("request %d has no answer at its deadline", id)
					case n == 0 && !m.left:
						open++
					}
					runs := w.runs[id]
					if m.class == 1 && m.mayRun && len(runs) > m.sends {
						t.Fatalf("order %d was sent again though it may have run", id)
					}
					if n == 1 && m.asker.answers[0].Status == Rejected && m.class == 1 && (m.mayRun || m.asker.answers[0].MayHaveRun) {
						t.Fatalf("order %d is refused though it may have run", id)
					}
					if n == 1 && m.mayRun && !m.asker.answers[0].MayHaveRun {
						t.Fatalf("request %d: the answer denies a run", id)
					}
				}
				if c.OpenRequests() != open {
					t.Fatalf("%d open, the model has %d", c.OpenRequests(), open)
				}
			},
		})
	})
}

// Guards rule 2: an order whose connection was reset may have run, so it fails and is not resent.
func TestOrderThatMayHaveRunFails(t *testing.T) {
	for _, o := range []policy.Outcome{policy.ConnectionReset, policy.Failed, policy.TimedOut} {
		c, w := newCore(t, 1)
		c.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready},
			{Worker: 2, State: policy.Ready}}})
		k := &asker{core: c}
		id := c.Accept(time.Hour, Request{Asker: k, Class: 1, Function: 7, Deadline: time.Hour + 3*time.Second})
		c.Process(time.Hour)
		if len(w.runs[id]) != 1 {
			t.Fatal("the order was not sent")
		}
		c.AttemptCompleted(w.runs[id][0], AttemptResult{Outcome: o})
		c.Process(time.Hour + ms)
		if len(w.runs[id]) != 1 || len(k.answers) != 1 || k.answers[0].Status != Failed {
			t.Errorf("outcome %d: %d sends, answers %+v", o, len(w.runs[id]), k.answers)
		}
	}
}

// Guards the time-outs: probes and orders that nobody answers end, and what comes later is ignored.
func TestUnansweredQuestionsTimeOut(t *testing.T) {
	c, w := newCore(t, 1)
	c.execute(policy.CheckHealth{Worker: 1})
	c.execute(policy.Load{Worker: 1, Function: 2, Count: 1})
	c.Process(time.Hour)
	c.LoadCompleted(2, policy.Served, 1)
	c.HealthCheckCompleted(1, policy.Served, nil)
	if c.Counters.HealthChecksByOutcome[policy.TimedOut] != 1 || c.Counters.LoadsByOutcome[policy.TimedOut] != 1 ||
		c.Counters.LoadsByOutcome[policy.Served]+c.Counters.HealthChecksByOutcome[policy.Served] != 0 || len(w.holds)+len(w.asks) != 0 {
		t.Errorf("counters %+v", c.Counters)
	}
}

// Guards against an answer that comes in the turn in which the client left: it is owed to nobody.
func TestAnswerBehindALeaveGoesNowhere(t *testing.T) {
	c, w := newCore(t, 1)
	c.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
	k := &asker{core: c}
	id := c.Accept(time.Hour, Request{Asker: k, Class: 0, Function: 7, Deadline: time.Hour + 2*time.Second})
	c.Process(time.Hour)
	c.CancelRequest(time.Hour+ms, id)
	c.AttemptCompleted(w.runs[id][0], AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded})
	c.Process(time.Hour + ms)
	if len(k.answers) != 0 || c.Counters.Canceled[Thrift] != 1 || c.Counters.Served[Thrift] != 0 || len(c.requests) != 0 {
		t.Errorf("answers %v, counters %+v, %d requests kept", k.answers, c.Counters, len(c.requests))
	}
}

// Guards the client's wait: a request that the module has not ended by its deadline is ended by the
// core, as a refusal only where nothing was sent.
func TestGuardEndsWhatTheModuleDidNot(t *testing.T) {
	for sent, want := range []ResponseStatus{Rejected, Failed} {
		c, w := newCore(t, 1)
		k := &asker{core: c}
		if sent == 1 {
			c.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
		}
		id := c.Accept(time.Hour, Request{Asker: k, Class: 1, Function: 7, Deadline: time.Hour + 3*time.Second})
		c.Process(time.Hour)
		guard := c.requests[id].deadline
		if len(w.runs[id]) != sent || guard.Value.kind != requestDeadline || guard.Due() != time.Hour+3*time.Second {
			t.Fatalf("%d sends, guard %+v", len(w.runs[id]), guard)
		}
		set := c.timers.Len()
		c.timers.Remove(guard) // as PopDue does; a timer that is not in the heap would never fire
		if c.timers.Len() != set-1 {
			t.Fatal("the deadline timer is not set")
		}
		c.now = guard.Due()
		c.fire(guard)
		c.Process(c.now)
		if len(k.answers) != 1 || k.answers[0].Status != want || !k.answers[0].DeadlineExceeded || c.Counters.DeadlineExceeded != 1 || len(w.out) != 0 {
			t.Errorf("answers %+v, want verdict %d", k.answers, want)
		}
	}
}

// Guards the planned stop: clients that go on sending get a refusal each, and don't hold it up.
func TestDrainingCoreRefusesWhatComes(t *testing.T) {
	c, w := newCore(t, 1)
	c.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
	c.Draining = true
	k := &asker{core: c}
	c.Accept(time.Hour, Request{Asker: k, Class: 1, Function: 7, Deadline: time.Hour + 3*time.Second})
	c.Process(time.Hour)
	if len(k.answers) != 1 || k.answers[0].Status != Rejected || k.answers[0].MayHaveRun || c.OpenRequests() != 0 || len(w.out) != 0 {
		t.Errorf("answers %+v, %d open", k.answers, c.OpenRequests())
	}
}

// Guards against two open requests under one id, by whatever fronts and connections they come: the later
// one fails and reaches no worker, and the id is free again once the first has ended.
func TestIDOfAnOpenRequestIsNotTakenTwice(t *testing.T) {
	c, w := newCore(t, 1)
	c.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
	take := func(f Front, body string) (policy.RequestID, *asker) {
		k := &asker{core: c}
		return c.Accept(time.Hour, Request{Front: f, Asker: k, ID: "00000000000000aa", Function: 7, Body: []byte(body),
			Deadline: time.Hour + 2*time.Second}), k
	}
	first, k := take(Thrift, "one")
	c.Process(time.Hour)
	for _, f := range []Front{Thrift, Webhook} {
		id, other := take(f, "other")
		if c.Process(time.Hour); id != 0 || len(other.answers) != 1 || other.answers[0].Status != Failed || c.OpenRequests() != 1 {
			t.Fatalf("request %d has answers %+v, %d open", id, other.answers, c.OpenRequests())
		}
	}
	c.AttemptCompleted(w.runs[first][0], AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded, Body: []byte("done")})
	c.Process(time.Hour + ms)
	if len(k.answers) != 1 || string(k.answers[0].Body) != "done" || len(w.runs) != 1 || len(c.clientIDs)+len(c.requests) != 0 {
		t.Fatalf("answers %+v, %d requests sent, %d ids kept", k.answers, len(w.runs), len(c.clientIDs))
	}
	if id, _ := take(Thrift, "again"); id == 0 {
		t.Error("the id of a request that has ended is still taken")
	}
}

// Guards the ration of orders: a client that sends hundreds of calls and takes each back in the same breath asks
// for nothing, so the module hears of none of them, and such a flood costs no look at the workers.
func TestACallTakenBackAtOnceNeverReachesTheModule(t *testing.T) {
	c, w := newCore(t, 1)
	now := time.Hour
	c.SetEndpoints(policy.EndpointList{Kind: policy.EndpointSnapshot, Workers: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
	c.Process(now)
	call := func(id int) Request {
		return Request{Asker: &asker{core: c}, ID: fmt.Sprintf("%016x", id), FunctionKey: "00000000000000aa", Function: 0xaa, Deadline: now + time.Second}
	}
	stay := call(1)
	c.Accept(now, stay)
	for i := range 200 {
		c.CancelRequest(now, c.Accept(now, call(2+i)))
	}
	c.Process(now)
	if c.Counters.AttemptsStarted != 1 || len(w.runs) != 1 || c.OpenRequests() != 1 || c.Counters.Canceled[Thrift] != 200 {
		t.Fatalf("sent %d, open %d, left %d", c.Counters.AttemptsStarted, c.OpenRequests(), c.Counters.Canceled[Thrift])
	}
	now += ms // one that leaves later is called off as before
	late := c.Accept(now, call(300))
	c.Process(now)
	c.CancelRequest(now, late)
	c.Process(now)
	if c.Counters.AttemptsStarted != 2 || len(w.out) != 1 || c.OpenRequests() != 1 {
		t.Fatalf("sent %d, out %d, open %d", c.Counters.AttemptsStarted, len(w.out), c.OpenRequests())
	}
}

func TestParseKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Uint64().Draw(t, "n")
		if got, ok := ParseFunctionKey(fmt.Sprintf("%016x", n)); !ok || got != n {
			t.Fatalf("read %x, %v", got, ok)
		}
		text := rapid.StringN(0, 20, 20).Draw(t, "text")
		if got, ok := ParseFunctionKey(text); ok && fmt.Sprintf("%016x", got) != text {
			t.Fatalf("read %q as %x", text, got)
		}
	})
}

package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// ruleChecker checks the actions under random events and reports broken rules. It shares no code with the
// module.
type ruleChecker struct {
	t            *testing.T
	cfg          Config
	observed     map[RequestID]*observedRequest
	states       map[WorkerID]WorkerState
	loadCommands []time.Duration
	arrivals     []time.Duration
}

type observedRequest struct {
	class         int
	deadline      time.Duration
	workers       []WorkerID
	inFlight      map[int]bool
	possibleRunAt time.Duration // when the first attempt that may have run was sent
	mayHaveRun    bool
	sentAt        []time.Duration
	complete      bool
}

func (c *ruleChecker) check(now time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartAttempt:
			r := c.observed[a.Request]
			class := c.cfg.Classes[r.class]
			mayRunTwice := r.mayHaveRun || len(r.inFlight) > 0
			switch {
			case r.complete:
				c.t.Fatalf("%v: attempt after the final response to request %d", now, a.Request)
			case c.states[a.Worker] != Ready:
				c.t.Fatalf("%v: attempt at worker %d in state %d", now, a.Worker, c.states[a.Worker])
			case mayRunTwice && class.Idempotency == NotIdempotent, len(r.inFlight) > 0 && !c.cfg.HedgingAllowed:
				c.t.Fatalf("%v: forbidden retry of request %d", now, a.Request)
			case r.mayHaveRun && class.Idempotency == IdempotentWithKey && now > r.possibleRunAt+class.DeduplicationWindow:
				c.t.Fatalf("%v: retry with a key outside the deduplication window", now)
			case len(r.workers) >= c.cfg.MaxAttempts:
				c.t.Fatalf("%v: too many attempts", now)
			}
			r.inFlight[len(r.workers)] = true
			r.workers, r.sentAt = append(r.workers, a.Worker), append(r.sentAt, now)
		case Reject:
			r := c.observed[a.Request]
			if class := c.cfg.Classes[r.class]; (r.mayHaveRun || len(r.inFlight) > 0) && (class.Idempotency == NotIdempotent ||
				class.Idempotency == IdempotentWithKey && class.DeduplicationScope != DeduplicatedEverywhere) {
				c.t.Fatalf("%v: rejection of request %d, which may have run", now, a.Request)
			}
			c.checkFinalResponse(now, r)
		case FailRequest:
			c.checkFinalResponse(now, c.observed[a.Request])
		case Load:
			if c.states[a.Worker] != Ready {
				c.t.Fatalf("%v: load command to worker %d in state %d", now, a.Worker, c.states[a.Worker])
			}
			c.loadCommands = append(c.loadCommands, now)
			recentCommands, recentRequests := 0, 0
			for _, at := range c.loadCommands {
				if at >= now-c.cfg.LoadBudgetWindow {
					recentCommands++
				}
			}
			for _, at := range c.arrivals {
				if at > now-c.cfg.LoadBudgetWindow {
					recentRequests++
				}
			}
			if float64(recentCommands) > c.cfg.LoadBudgetMinimum+c.cfg.LoadBudgetRatio*float64(recentRequests) {
				c.t.Fatalf("%v: %d load commands with %d requests", now, recentCommands, recentRequests)
			}
		}
	}
}

func (c *ruleChecker) checkFinalResponse(now time.Duration, r *observedRequest) {
	if r.complete || now > r.deadline+8*ms {
		c.t.Fatalf("%v: second or late final response", now)
	}
	r.complete = true
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		runRandomEvents(t, seed, 3000)
	}
}

// runRandomEvents passes random valid events to a Policy. Workers drain, disappear, restart and respond with
// any outcome.
func runRandomEvents(t *testing.T, seed uint64, steps int) {
	rng := rand.New(rand.NewPCG(seed, 9))
	cfg := config()
	cfg.MissWhenNotLoaded, cfg.LoadCommandsSupported = seed%2 == 0, seed%3 != 0
	cfg.HedgingAllowed, cfg.GossipSupported = seed%5 == 0, seed%4 == 0
	cfg.LoadBudgetWindow, cfg.LoadBudgetMinimum, cfg.LoadBudgetRatio = 10*time.Second, 3, 0.2
	p, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	checker := &ruleChecker{t: t, cfg: cfg, observed: map[RequestID]*observedRequest{}, states: map[WorkerID]WorkerState{}}
	now, lastID := time.Hour, RequestID(0)
	type timer struct {
		at    time.Duration
		token uint64
	}
	var timers []timer
	var loads []Load
	handle := func(ev Event) {
		actions := p.Handle(now, ev, nil)
		checker.check(now, actions)
		for _, a := range actions {
			switch a := a.(type) {
			case SetTimer:
				timers = append(timers, timer{now + a.After, a.Token})
			case Load:
				loads = append(loads, a)
			}
		}
	}
	changeEndpoints := func() {
		l := EndpointList{Kind: EndpointSnapshot}
		for w := WorkerID(1); w <= 6; w++ {
			e := Endpoint{Worker: w, State: WorkerState(1 + rng.IntN(5)/4), Zone: KnownGroup(int(w) % 2)}
			if rng.IntN(4) == 0 {
				e.Started = now - time.Duration(rng.IntN(9000))*ms
			}
			if rng.IntN(6) == 0 {
				e.State = Gone
			}
			checker.states[w] = e.State
			l.Workers = append(l.Workers, e)
		}
		handle(l)
	}
	changeEndpoints()
	for range steps {
		now += time.Duration(rng.IntN(9)) * ms
		for i := 0; i < len(timers); i++ {
			if due := timers[i]; due.at <= now {
				timers = append(timers[:i], timers[i+1:]...)
				i--
				handle(TimerFired{Token: due.token})
			}
		}
		switch k := rng.IntN(20); {
		case k == 0 && rng.IntN(5) == 0:
			changeEndpoints()
		case k < 8:
			lastID++
			remaining := time.Duration(rng.IntN(3000)) * ms
			checker.arrivals = append(checker.arrivals, now)
			checker.observed[lastID] = &observedRequest{class: rng.IntN(3), deadline: now + remaining, inFlight: map[int]bool{}}
			handle(RequestArrived{Request: lastID, Class: checker.observed[lastID].class, Function: FunctionID(rng.IntN(12)), Lanes: 2,
				LoadTime: 800 * ms, Remaining: remaining})
		case k == 9 && lastID > 0:
			if r := checker.observed[1+RequestID(rng.IntN(int(lastID)))]; !r.complete {
				r.complete = true
				for id, o := range checker.observed {
					if o == r {
						handle(RequestCanceled{Request: id})
					}
				}
			}
		case k == 10 && len(loads) > 0:
			o := loads[0]
			loads = loads[1:]
			handle(LoadCompleted{Worker: o.Worker, Function: o.Function, Outcome: Outcome(rng.IntN(6)), Took: 900 * ms, Count: rng.IntN(2)})
		case k == 11:
			handle(HealthCheckCompleted{Worker: WorkerID(rng.IntN(8)), Outcome: Outcome(rng.IntN(6))})
		default:
			id := RequestID(0)
			for offset := range int(lastID) {
				if r := checker.observed[lastID-RequestID(offset)]; len(r.inFlight) > 0 && rng.IntN(3) == 0 {
					id = lastID - RequestID(offset)
					break
				}
			}
			if id == 0 {
				continue
			}
			r := checker.observed[id]
			for n := range len(r.workers) {
				if !r.inFlight[n] {
					continue
				}
				o := []Outcome{Served, Served, Failed, Overloaded, TimedOut, Unreachable, ConnectionReset, Canceled, NotSent, NotLoaded}[rng.IntN(10)]
				delete(r.inFlight, n)
				if !o.NeverRan() && !r.mayHaveRun {
					r.mayHaveRun, r.possibleRunAt = true, r.sentAt[n]
				}
				closed := r.complete || o == Served
				r.complete = closed
				handle(AttemptCompleted{Request: id, Attempt: n, Worker: r.workers[n], Outcome: o, RequestClosed: closed, Took: now - r.sentAt[n]})
				break
			}
		}
	}
	now += 5 * time.Second // every request has its final response by then
	for _, due := range timers {
		now = max(now, due.at)
	}
	for _, r := range checker.observed {
		r.deadline = now
	}
	for _, due := range timers {
		handle(TimerFired{Token: due.token})
	}
	for id, r := range checker.observed {
		if !r.complete {
			t.Fatalf("seed %d: request %d got no final response", seed, id)
		}
	}
	if len(p.requests.deferred) > len(checker.observed) {
		t.Fatalf("seed %d: the tables grow: %d deferred", seed, len(p.requests.deferred))
	}
}

// FuzzHandle passes arbitrary events to a Policy. It must not panic, and no action may name a completed or
// unknown request or an unknown worker.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 1, 1, 1, 1, 2, 0, 0, 0, 3, 9, 9, 9})
	f.Add([]byte{0, 255, 0, 0, 1, 0, 2, 1, 2, 0, 8, 0, 4, 1, 1, 0, 5, 3, 0, 0, 7, 1, 0, 0, 6, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg := config()
		cfg.MissWhenNotLoaded, cfg.LoadCommandsSupported, cfg.GossipSupported, cfg.Routers = true, true, true, 3
		cfg.LoadBudgetWindow, cfg.LoadBudgetRatio, cfg.EndpointsByPolling = time.Second, 0.5, len(data)%2 == 0
		p, err := New(cfg, 3)
		if err != nil {
			t.Fatal(err)
		}
		known := map[WorkerID]bool{}
		now := time.Hour
		for ; len(data) >= 4; data = data[4:] {
			a, b, c := data[1], data[2], data[3]
			w, id, fn := WorkerID(a%5), RequestID(b%16), FunctionID(c%4)
			now += time.Duration(c) * ms / 2
			var ev Event
			switch data[0] % 9 {
			case 0:
				ev = EndpointList{Kind: EndpointListKind(a % 4), Workers: []Endpoint{{Worker: w, State: WorkerState(b % 3),
					Started: time.Duration(c) * time.Minute}}}
				known[w] = true
			case 1:
				ev = RequestArrived{Request: id, Class: int(a%4) - 1, Tenant: int(c) - 9, Function: fn, Lanes: math.NaN(),
					LoadTime: time.Duration(int64(c)-3) * time.Second, Work: time.Duration(a) * time.Hour,
					Remaining: time.Duration(int64(a)-9) * 40 * ms}
			case 2:
				ev = AttemptCompleted{Request: id, Attempt: int(a%6) - 1, Worker: w, Outcome: Outcome(c % 9), LoadStatus: LoadStatus(a % 5),
					RequestClosed: c%9 == 0, Took: time.Duration(int64(a)-9) * time.Second}
			case 3:
				ev = LoadCompleted{Worker: w, Function: fn, Outcome: Outcome(b % 9), Took: -time.Second, Count: int(c) - 9}
			case 4:
				ev = HealthCheckCompleted{Worker: w, Outcome: Outcome(b % 9), Report: []float64{math.NaN(), -1}}
			case 5:
				ev = TimerFired{Token: uint64(b%16)<<uint(c%40) + uint64(a)}
			case 6:
				ev = TimerFired{Token: housekeepingToken}
			case 7:
				ev = GossipReceived{From: int(a), Data: data}
			case 8:
				ev = RequestCanceled{Request: id}
			}
			open := map[RequestID]bool{}
			for id, r := range p.requests.byID {
				open[id] = !r.complete
			}
			closed := map[RequestID]bool{}
			for _, act := range p.Handle(now, ev, nil) {
				var req RequestID
				var to WorkerID
				switch act := act.(type) {
				case StartAttempt:
					req, to = act.Request, act.Worker
				case Reject:
					req = act.Request
				case FailRequest:
					req = act.Request
				case Load:
					to = act.Worker
				case CheckHealth:
					to = act.Worker
				}
				if arrival, ok := ev.(RequestArrived); ok {
					open[arrival.Request] = true
				}
				if req != 0 && (!open[req] || closed[req]) {
					t.Fatalf("%T for request %d, which is completed or unknown", act, req)
				}
				if to != 0 && !known[to] {
					t.Fatalf("%T names unknown worker %d", act, to)
				}
				switch act.(type) {
				case Reject, FailRequest:
					closed[req] = true
				}
			}
		}
	})
}

// Package router is the core of the function router. It knows no wire and no clock: fronts hand it
// requests, a Workers carries its messages, and Turn tells it the time. Every decision is
// policy.Policy's; the core keeps the request table, the attempts, the timers and the counters,
// and gives each request exactly one final answer.
package router

import (
	"container/heap"
	"net/netip"
	"time"

	"crankhold/internal/route"
	"crankhold/policy"
)

// ResponseMargin is how long before a client's wait runs out a front sets a request's deadline. The way
// back takes a millisecond; the rest is for a machine that stalls: on a crowded one requests were
// seen to take 46 ms (99th percentile) to get through the program, and one answer came too late.
const ResponseMargin = 40 * time.Millisecond

// ResponseStatus is the kind of a final answer.
type ResponseStatus uint8

// The verdicts.
const (
	Served   ResponseStatus = iota // with the body that a worker gave
	Rejected                       // trying again is harmless
	Failed                         // promises nothing
)

// Response is the final answer to a request.
type Response struct {
	Status           ResponseStatus
	Body             []byte
	RetryAfter       time.Duration // Refused: how long to stay away
	MayHaveRun       bool          // not proven that no attempt ever ran
	DeadlineExceeded bool          // the time was over
}

// Responder is owed the final answer to a request.
type Responder interface{ Respond(Response) }

// Front names the front that a request came by.
type Front uint8

// The fronts.
const (
	Thrift Front = iota
	Webhook
	fronts
)

// Request is a call as a front took it.
type Request struct {
	Front           Front
	Asker           Responder
	ID              string // as the client worded it
	ClientReference string // the client's own name for it, where that is not the ID
	Class           int
	FunctionKey     string // the function, as the client worded it
	Function        policy.FunctionID
	MemoryMB        float64
	Lanes           float64
	LoadTime        time.Duration
	Body            []byte
	Deadline        time.Duration // the final answer must have left by then
	Tenant          string        // who asks, where the front can tell for sure; "" else
	IdempotencyKey  string        // the client's idempotency key, passed on as it is; "" for none

	Client     netip.AddrPort // for the record only
	AcceptedAt time.Duration  // set by Take
}

// ParseFunctionKey reads 16 hex digits in lower case, as keys and ids are worded. Any other wording of the same
// number is refused: workers compare these as text, and an order to load names its function in this one.
func ParseFunctionKey(s string) (uint64, bool) {
	if len(s) != 16 {
		return 0, false
	}
	n := uint64(0)
	for _, d := range []byte(s) {
		switch {
		case d >= '0' && d <= '9':
			d -= '0'
		case d >= 'a' && d <= 'f':
			d -= 'a' - 10
		default:
			return 0, false
		}
		n = n<<4 | uint64(d)
	}
	return n, true
}

// The most that a request's figures may say. What is beyond is no function that a worker could hold, and
// would only spoil the module's estimates.
const (
	MaxMemoryMB = 1 << 20
	MaxLanes    = 1024
	MaxLoadMs   = 600_000
	MaxWaitMs   = 600_000
)

// InRange tells whether a figure is a number from 0 to most.
func InRange(v, most float64) bool { return v >= 0 && v <= most }

// MaxIdempotencyKeyLength is the longest idempotency key that is passed on; what the platform sends has 32 digits.
const MaxIdempotencyKeyLength = 64

// ParseIdempotencyKey tells whether an idempotency key can be passed on: hex digits, MaxIdempotencyKeyLength at most.
func ParseIdempotencyKey(s string) bool {
	for _, d := range []byte(s) {
		if !(d >= '0' && d <= '9' || d >= 'a' && d <= 'f' || d >= 'A' && d <= 'F') {
			return false
		}
	}
	return len(s) > 0 && len(s) <= MaxIdempotencyKeyLength
}

// AttemptResult is how an attempt ended and what came with that.
type AttemptResult struct {
	Outcome     policy.Outcome
	LoadStatus  policy.LoadStatus
	Concurrency int // calls of the function that the worker held
	Body        []byte
	LoadReport  []float64 // in the order of the settings' fields; nil where none came
}

// Attempt names an attempt to the Workers.
type Attempt struct {
	Request policy.RequestID
	Number  int
}

// WorkerClient carries messages to workers. Each Run, Hold and Probe is answered by one call of the
// Core's AttemptCompleted, LoadCompleted or Probed, at once or later.
type WorkerClient interface {
	StartAttempt(w policy.WorkerID, a Attempt, r *Request, budget time.Duration)
	// Stop gives an attempt up; it is answered no more.
	CancelAttempt(w policy.WorkerID, a Attempt)
	// Withdraw takes an attempt back of which nothing has left yet, and tells whether it could: then it never runs and
	// is answered no more.
	WithdrawUnsent(w policy.WorkerID, a Attempt) bool
	Load(w policy.WorkerID, f policy.FunctionID, count int, tag uint64)
	// Forget drops interest in an order or a probe that took too long.
	AbandonCommand(w policy.WorkerID, tag uint64)
	Unload(w policy.WorkerID, f policy.FunctionID)
	CheckHealth(w policy.WorkerID, tag uint64)
	CloseIdle(w policy.WorkerID)
}

// Limits bounds a Core.
type Limits struct {
	MaxConcurrentRequests int           // requests open at once
	MaxBytes              int           // their bodies together
	RetryAfter            time.Duration // what those are told that are turned away; 0: nothing
	MaxAttempts           int           // of a request
	LoadTimeout           time.Duration // an order with no answer by then has timed out
	HealthCheckTimeout    time.Duration
	Tenants               []string // in the order in which the module counts them
}

// Core is the function router. It is not safe for concurrent use.
type Core struct {
	policy   *policy.Policy
	workers  WorkerClient
	limits   Limits
	now      time.Duration
	events   []policy.Event
	spare    []policy.Event
	turns    int // batches of events that the module was handed
	actions  []policy.Action
	timers   timers
	module   map[uint64]*timer // of the module's, by token, the last one set
	seq      uint64
	reqs     map[policy.RequestID]*entry
	ids      map[string]struct{} // what their clients call them
	tenants  map[string]int
	last     policy.RequestID
	routes   *route.Table // nil: every call may go to every worker
	listed   []route.Worker
	open     int
	bytes    int
	asked    map[uint64]*question
	tag      uint64
	Counters Counters
	// Draining has what comes from now on refused: the program is about to end.
	Draining bool
	// Observe, where set, is told how each request ended: served, refused, failed or abandoned.
	OnCompleted func(now time.Duration, r *Request, end string)
}

// Counters tells what the core took, sent and answered.
type Counters struct {
	Accepted, Served, Rejected, Failed, Canceled, RejectedUnaccepted [fronts]uint64
	RejectedUnrouted                                                 [fronts]uint64 // refused because no route, or one without a pool, matched
	AttemptsStarted, LoadsOrdered, HealthChecks, Unloads             uint64
	AttemptsByOutcome                                                [policy.NotLoaded + 1]uint64 // attempts, by outcome
	LoadsByOutcome, HealthChecksByOutcome                            [policy.NotLoaded + 1]uint64 // by outcome
	DeadlineExceeded                                                 uint64                       // answered by the guard, not by the module
}

type entry struct {
	Request
	attempts []attempt
	out      int // attempts that have not ended
	turn     int // in which its arrival is handed to the module
	event    int // and where it stands among that turn's events
	timeUp   *timer
	mayRun   bool
	done     bool
}

type attempt struct {
	worker policy.WorkerID
	sent   time.Duration
	ended  bool
	limit  *timer // nil: none but the request's own
}

// question is an order or a probe that awaits its answer.
type question struct {
	worker   policy.WorkerID
	function policy.FunctionID
	probe    bool
	sent     time.Duration
	limit    *timer
}

// New returns a Core around p.
func New(p *policy.Policy, limits Limits) *Core {
	c := &Core{policy: p, limits: limits, module: map[uint64]*timer{}, reqs: map[policy.RequestID]*entry{},
		ids: map[string]struct{}{}, asked: map[uint64]*question{}, tenants: map[string]int{}}
	for i, name := range limits.Tenants {
		c.tenants[name] = i
	}
	return c
}

// SetWorkerClient sets the Workers; it is called once, before anything else.
func (c *Core) SetWorkerClient(w WorkerClient) { c.workers = w }

// OpenRequests is how many requests are owed an answer.
func (c *Core) OpenRequests() int { return c.open }

// SetEndpoints hands in a worker list.
func (c *Core) SetEndpoints(l policy.EndpointList) { c.events = append(c.events, l) }

// SetRouteWorkers says what routes pick the workers of the list by.
func (c *Core) SetRouteWorkers(list []route.Worker) {
	if c.listed = list; c.routes != nil {
		c.routes.SetWorkers(list)
	}
}

// SetRoutes has calls go by t from now on; those that are open end under the table they began with.
func (c *Core) SetRoutes(t *route.Table) {
	if c.routes != nil && t != nil {
		t.CarryOver(c.routes)
	}
	if c.routes = t; t != nil {
		t.SetWorkers(c.listed)
	}
}

// Routes returns the table in force, or nil.
func (c *Core) Routes() *route.Table { return c.routes }

// Accept hands in a request. It returns its id; the answer may come before Accept returns.
func (c *Core) Accept(now time.Duration, r Request) policy.RequestID {
	c.now = max(c.now, now)
	if c.Draining || c.open >= c.limits.MaxConcurrentRequests || c.bytes+len(r.Body) > c.limits.MaxBytes {
		// Bounds our memory, and lets a stop come to its end under clients that go on sending.
		c.RejectUnaccepted(now, r)
		return 0
	}
	c.Counters.Accepted[r.Front]++
	if _, open := c.ids[r.ID]; open {
		// Workers know a request by its id: under one id they would answer one request's body to the
		// other. Which of the two a client means can't be told, so the later one fails.
		c.Counters.Failed[r.Front]++
		if r.AcceptedAt = c.now; c.OnCompleted != nil {
			c.OnCompleted(c.now, &r, "failed")
		}
		r.Asker.Respond(Response{Status: Failed})
		return 0
	}
	var terms *policy.RequestPolicy
	if c.routes != nil {
		call := route.Request{Front: route.Front(r.Front), Class: r.Class, Function: uint64(r.Function)}
		if r.Front == Webhook {
			call.Tenant = r.Tenant // as the language promises: by Thrift tenants count for their shares alone
		}
		to := c.routes.Match(call)
		if to == nil || to.Pool == nil {
			c.Counters.RejectedUnrouted[r.Front]++
			c.refuse(r)
			return 0
		}
		to.Pool.RequestRouted(c.now)
		terms = c.routes.RequestPolicy(to, r.Class)
	}
	for c.last++; c.last == 0 || c.reqs[c.last] != nil; c.last++ {
	}
	r.AcceptedAt = c.now
	e := &entry{Request: r, turn: c.turns, event: len(c.events)}
	c.reqs[c.last] = e
	c.ids[r.ID] = struct{}{}
	c.open++
	c.bytes += len(r.Body)
	tenant, ok := c.tenants[r.Tenant]
	if !ok {
		tenant = policy.NoTenant
	}
	c.events = append(c.events, policy.RequestArrived{Request: c.last, Class: r.Class, Tenant: tenant, Function: r.Function, Lanes: r.Lanes,
		MemoryMB: r.MemoryMB, LoadTime: r.LoadTime, Remaining: max(r.Deadline-c.now, 0), Policy: terms})
	e.timeUp = c.after(r.Deadline, timer{kind: timeUp, request: c.last})
	return c.last
}

// RejectUnaccepted refuses a request that we have no room for; the module never hears of it.
func (c *Core) RejectUnaccepted(now time.Duration, r Request) {
	c.now = max(c.now, now)
	c.Counters.Accepted[r.Front]++
	c.Counters.RejectedUnaccepted[r.Front]++
	c.refuse(r)
}

// refuse answers a request that the module never hears of.
func (c *Core) refuse(r Request) {
	if r.AcceptedAt = c.now; c.OnCompleted != nil {
		c.OnCompleted(c.now, &r, "refused")
	}
	r.Asker.Respond(Response{Status: Rejected, RetryAfter: c.limits.RetryAfter})
}

// CancelRequest says that the client no longer waits for a request.
func (c *Core) CancelRequest(now time.Duration, id policy.RequestID) {
	c.now = max(c.now, now)
	if e := c.reqs[id]; e != nil && !e.done {
		c.Counters.Canceled[e.Front]++
		c.close(id, e, "abandoned")
		if e.turn == c.turns {
			// The module has not heard of it and never will: nothing was asked of it, so nothing, the ration of
			// orders among it, may grow by a client that sends and takes back.
			c.events[e.event] = nil
			return
		}
		c.events = append(c.events, policy.RequestCanceled{Request: id})
		c.withdraw(id, e)
	}
}

// withdraw takes back what waits to be sent for a request that has had its end. The module calls off only what the
// settings let it, and what has not left needs nobody's leave.
func (c *Core) withdraw(id policy.RequestID, e *entry) {
	for n := range e.attempts {
		if t := &e.attempts[n]; !t.ended && c.workers.WithdrawUnsent(t.worker, Attempt{id, n}) {
			// Not as moot: that it waited in vain tells the module of its worker's delay.
			c.AttemptCompleted(Attempt{id, n}, AttemptResult{Outcome: policy.Cancelled})
		}
	}
}

// AttemptCompleted says how an attempt ended. Reports of one that has ended already are ignored.
func (c *Core) AttemptCompleted(a Attempt, r AttemptResult) {
	e := c.reqs[a.Request]
	if e == nil || a.Number >= len(e.attempts) || e.attempts[a.Number].ended {
		return
	}
	t, o := &e.attempts[a.Number], r.Outcome
	t.ended = true
	c.drop(t.limit)
	e.out--
	e.mayRun = e.mayRun || !o.NeverRan()
	c.Counters.AttemptsByOutcome[o]++
	if o == policy.Served && !e.done {
		c.Counters.Served[e.Front]++
		e.Asker.Respond(Response{Status: Served, Body: r.Body, MayHaveRun: true})
		c.close(a.Request, e, "served")
	}
	c.events = append(c.events, policy.AttemptCompleted{Request: a.Request, Attempt: a.Number, Worker: t.worker, Outcome: o,
		LoadStatus: r.LoadStatus, Concurrency: r.Concurrency, Closed: e.done, Took: c.now - t.sent, Report: r.LoadReport})
	if o == policy.Served {
		c.withdraw(a.Request, e)
	}
	c.release(a.Request, e)
}

// LoadCompleted says how an order to load ended.
func (c *Core) LoadCompleted(tag uint64, o policy.Outcome, count int) {
	if q := c.asked[tag]; q != nil && !q.probe {
		delete(c.asked, tag)
		c.drop(q.limit)
		c.Counters.LoadsByOutcome[o]++
		c.events = append(c.events, policy.LoadCompleted{Worker: q.worker, Function: q.function, Outcome: o,
			Took: c.now - q.sent, Count: count})
	}
}

// HealthCheckCompleted says how a probe ended.
func (c *Core) HealthCheckCompleted(tag uint64, o policy.Outcome, report []float64) {
	if q := c.asked[tag]; q != nil && q.probe {
		delete(c.asked, tag)
		c.drop(q.limit)
		c.Counters.HealthChecksByOutcome[o]++
		c.events = append(c.events, policy.HealthCheckCompleted{Worker: q.worker, Outcome: o, Took: c.now - q.sent, Report: report})
	}
}

// SetNow moves the clock on before what happened in a turn is handed in.
func (c *Core) SetNow(now time.Duration) { c.now = max(c.now, now) }

// Process hands the module all that was gathered, carries out what it answers, and returns when it
// is to be called again at the latest.
func (c *Core) Process(now time.Duration) (next time.Duration) {
	c.SetNow(now)
	for {
		for len(c.timers) > 0 && c.timers[0].due <= c.now {
			c.fire(heap.Pop(&c.timers).(*timer))
		}
		if len(c.events) == 0 {
			break
		}
		events := c.events
		c.turns++
		c.events, c.actions = c.spare[:0], c.actions[:0]
		for i, ev := range events {
			if ev != nil {
				c.actions = c.policy.Handle(c.now, ev, c.actions)
			}
			events[i] = nil
		}
		c.spare = events
		for _, a := range c.actions {
			c.carryOut(a)
		}
	}
	if len(c.timers) == 0 {
		return now + time.Hour
	}
	return c.timers[0].due
}

func (c *Core) carryOut(a policy.Action) {
	switch a := a.(type) {
	case policy.StartAttempt:
		c.send(a)
	case policy.CancelAttempt:
		c.cancel(Attempt{a.Request, a.Attempt}, policy.Cancelled)
	case policy.Reject:
		if e := c.reqs[a.Request]; e != nil && !e.done {
			c.final(a.Request, e, Response{Status: Rejected, RetryAfter: a.RetryAfter})
		}
	case policy.FailRequest:
		if e := c.reqs[a.Request]; e != nil && !e.done {
			c.final(a.Request, e, Response{Status: Failed})
		}
	case policy.Load:
		c.Counters.LoadsOrdered++
		tag := c.ask(question{worker: a.Worker, function: a.Function}, c.limits.LoadTimeout)
		c.workers.Load(a.Worker, a.Function, a.Count, tag)
	case policy.CheckHealth:
		c.Counters.HealthChecks++
		c.workers.CheckHealth(a.Worker, c.ask(question{worker: a.Worker, probe: true}, c.limits.HealthCheckTimeout))
	case policy.Unload:
		c.Counters.Unloads++
		c.workers.Unload(a.Worker, a.Function)
	case policy.CloseIdleConnections:
		c.workers.CloseIdle(a.Worker)
	case policy.SetTimer:
		c.module[a.Token] = c.after(c.now+max(a.After, 0), timer{kind: moduleTimer, token: a.Token})
	case policy.ClearTimer:
		c.drop(c.module[a.Token])
		delete(c.module, a.Token)
	}
	// Subscribe, FetchEndpoints and Tell ask for what this deployment does not have: the list comes
	// by itself, and the settings allow no peers. Log lines are of no use to the operators here.
}

// send starts an attempt.
func (c *Core) send(a policy.StartAttempt) {
	e := c.reqs[a.Request]
	if e == nil {
		return
	}
	n := len(e.attempts)
	e.attempts = append(e.attempts, attempt{worker: a.Worker, sent: c.now})
	e.out++
	id, left := Attempt{a.Request, n}, e.Deadline-c.now
	if a.Limit > 0 {
		left = min(left, a.Limit)
	}
	if e.done || left <= 0 || c.limits.MaxAttempts > 0 && n >= c.limits.MaxAttempts {
		c.AttemptCompleted(id, AttemptResult{Outcome: policy.NotSent})
		return
	}
	if a.Limit > 0 && left == a.Limit { // else the request's own timer does it
		e.attempts[n].limit = c.after(c.now+left, timer{kind: attemptUp, request: a.Request, number: n})
	}
	c.Counters.AttemptsStarted++
	c.workers.StartAttempt(a.Worker, id, &e.Request, left)
}

// cancel gives an attempt up. Whether the worker stops is up to the worker: it may have run, unless it never left
// because the worker could not be reached.
func (c *Core) cancel(a Attempt, o policy.Outcome) {
	if e := c.reqs[a.Request]; e != nil && a.Number < len(e.attempts) && !e.attempts[a.Number].ended {
		if w := e.attempts[a.Number].worker; !c.workers.WithdrawUnsent(w, a) {
			c.workers.CancelAttempt(w, a)
		} else if o == policy.TimedOut {
			o = policy.Unreachable
		}
		c.AttemptCompleted(a, AttemptResult{Outcome: o})
	}
}

// final gives the answer that is not a worker's.
func (c *Core) final(id policy.RequestID, e *entry, a Response) {
	a.MayHaveRun = e.mayRun || e.out > 0
	a.DeadlineExceeded = c.now >= e.Deadline-finalMargin
	end := "failed"
	if a.Status == Rejected {
		end = "refused"
		c.Counters.Rejected[e.Front]++
	} else {
		c.Counters.Failed[e.Front]++
	}
	e.Asker.Respond(a)
	c.close(id, e, end)
	c.withdraw(id, e)
}

// finalMargin is how close to its deadline an unanswered request counts as out of time; the
// module ends requests two of its ticks before, 8 ms in this deployment's settings.
const finalMargin = 10 * time.Millisecond

func (c *Core) close(id policy.RequestID, e *entry, end string) {
	e.done = true
	if c.OnCompleted != nil {
		c.OnCompleted(c.now, &e.Request, end)
	}
	c.open--
	c.bytes -= len(e.Body)
	e.Body, e.Asker = nil, nil
	c.release(id, e)
}

func (c *Core) release(id policy.RequestID, e *entry) {
	if e.done && e.out == 0 && c.reqs[id] == e {
		c.drop(e.timeUp)
		delete(c.reqs, id)
		delete(c.ids, e.ID)
	}
}

func (c *Core) ask(q question, limit time.Duration) uint64 {
	c.tag++
	q.sent = c.now
	c.asked[c.tag] = &q
	q.limit = c.after(c.now+limit, timer{kind: questionUp, token: c.tag})
	return c.tag
}

func (c *Core) fire(t *timer) {
	switch t.kind {
	case moduleTimer:
		if c.module[t.token] == t {
			delete(c.module, t.token)
		}
		c.events = append(c.events, policy.TimerFired{Token: t.token})
	case attemptUp:
		c.cancel(Attempt{t.request, t.number}, policy.TimedOut)
	case questionUp:
		q := c.asked[t.token]
		if q == nil {
			return
		}
		c.workers.AbandonCommand(q.worker, t.token)
		if q.probe {
			c.HealthCheckCompleted(t.token, policy.TimedOut, nil)
		} else {
			c.LoadCompleted(t.token, policy.TimedOut, 0)
		}
	case timeUp:
		// The module ends every request before this. Should it not, the client still gets its one
		// answer in time, as a failure unless nothing was ever sent.
		e := c.reqs[t.request]
		if e == nil {
			return
		}
		for n := range e.attempts {
			c.cancel(Attempt{t.request, n}, policy.TimedOut)
		}
		if !e.done {
			c.Counters.DeadlineExceeded++
			v := Failed
			if !e.mayRun {
				v = Rejected
			}
			c.final(t.request, e, Response{Status: v})
			c.events = append(c.events, policy.RequestCanceled{Request: t.request})
		}
	}
}

type timerKind uint8

const (
	moduleTimer timerKind = iota
	attemptUp
	questionUp
	timeUp
)

type timer struct {
	due     time.Duration
	seq     uint64 // timers due together fire in the order in which they were set
	kind    timerKind
	token   uint64
	request policy.RequestID
	number  int
	at      int // in the heap; -1: it has fired or was dropped
}

func (c *Core) after(due time.Duration, t timer) *timer {
	c.seq++
	t.due, t.seq = due, c.seq
	heap.Push(&c.timers, &t)
	return &t
}

// drop takes a timer out that no longer matters; nil, or one that has fired, is none.
func (c *Core) drop(t *timer) {
	if t != nil && t.at >= 0 {
		heap.Remove(&c.timers, t.at)
	}
}

type timers []*timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].due < t[j].due || t[i].due == t[j].due && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].at, t[j].at = i, j
}
func (t *timers) Push(x any) {
	x.(*timer).at = len(*t)
	*t = append(*t, x.(*timer))
}
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	x.at = -1
	return x
}

// Package simulation is a fleet in memory and in virtual time: many cores of the router, with the decision module in each,
// before shared stand-in workers. Nothing in it waits or reads a clock, so that the sum of what hundreds of routers do is
// looked at in a test, and equal seeds give equal runs. No program uses it.
package simulation

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"crankhold/internal/route"
	"crankhold/internal/router"
	"crankhold/policy"
)

// Config says what a fleet is.
type Config struct {
	Routers, Workers, Functions int
	Settings                    policy.Config // Peers is set to the number of routers
	Tenants                     []string
	Work                        time.Duration       // of a call at a worker
	Slots                       int                 // calls that a worker works on at a time; as many again wait, and what comes beyond is turned away
	Load                        time.Duration       // a copy's
	Copies                      int                 // that a worker has memory for; 0: any number
	Stays                       bool                // idle copies don't make room for others
	Uneven                      bool                // some routers get several times the mean of the calls
	Routes                      func() *route.Table // nil: none
	Seed                        uint64
}

// Fleet is the whole of it.
type Fleet struct {
	cfg     Config
	now     time.Duration
	seq     int
	todo    queue
	rng     *rand.Rand
	Routers []*Router
	Workers map[policy.WorkerID]*Worker
	truth   map[policy.WorkerID]policy.Endpoint // what the directory has to tell beside the workers of the start
	ids     uint64
	Calls   []*Call
	version map[policy.FunctionID]policy.FunctionID // of what is called, where it is not the first
}

// Router is one router of the fleet. It carries its core's messages to the workers.
type Router struct {
	fleet *Fleet
	core  *router.Core
	life  uint64        // how often it was started
	share float64       // of the calls
	turn  time.Duration // when the core is to be called next; earlier wakes than that are stale
	told  map[policy.WorkerID]time.Duration
	known map[policy.WorkerID]policy.Endpoint // what it was told beside the workers of the start
	// LateSends counts calls and orders sent to a worker later than the grace after this router was told that it drains.
	LateSends int
	// Overdrawn counts orders beyond the ration, by what this process took and ordered in the window.
	Overdrawn      int
	taken, ordered []time.Duration
	Down           bool // its process has ended
}

// Worker is a stand-in worker.
type Worker struct {
	ID     policy.WorkerID
	held   int
	copies map[policy.FunctionID]time.Duration // when each stands
	busy   map[policy.FunctionID]int           // calls that each works on or holds
	used   map[policy.FunctionID]time.Duration
	Taken  []time.Duration // when each call came
	Loads  []time.Duration // and each order that began a load
	Born   time.Duration   // when it started; 0: long ago
}

// Call is what became of a call.
type Call struct {
	Tenant  string
	New     bool // of a function that was released anew
	At      time.Duration
	Left    time.Duration
	Answers []router.Response
	Took    time.Duration // until the last of them
	Late    bool          // the router that took it was told to end, and was past its linger
	Killed  bool          // the router that took it was killed and may have owed its answer
	taker   *Router
	fleet   *Fleet
}

// Respond notes an answer.
func (c *Call) Respond(a router.Response) {
	c.Answers, c.Took = append(c.Answers, a), c.fleet.now-c.At
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any     { old := *q; x := old[len(old)-1]; *q = old[:len(old)-1]; return x }

// New returns a fleet at an hour past the clock's start, all its workers long since warm.
func New(cfg Config) (*Fleet, error) {
	cfg.Settings.Routers = cfg.Routers
	f := &Fleet{cfg: cfg, now: time.Hour, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), Workers: map[policy.WorkerID]*Worker{},
		truth: map[policy.WorkerID]policy.Endpoint{}, version: map[policy.FunctionID]policy.FunctionID{}}
	for i := range cfg.Workers {
		f.addWorker(policy.WorkerID(i + 1))
	}
	for range cfg.Routers {
		r := &Router{fleet: f, share: 1}
		if cfg.Uneven {
			r.share += 4 * math.Pow(f.rng.Float64(), 4)
		}
		f.Routers = append(f.Routers, r)
		if err := r.start(); err != nil {
			return nil, fmt.Errorf("virtual fleet: %w", err)
		}
	}
	return f, nil
}

// start begins a life of the router: it knows the directory's list and nothing else.
func (r *Router) start() error {
	f := r.fleet
	r.life++
	module, err := policy.New(f.cfg.Settings, f.cfg.Seed<<16+uint64(slices.Index(f.Routers, r))+r.life<<32)
	if err != nil {
		return err
	}
	r.core = router.New(module, router.Limits{MaxConcurrentRequests: 2000, MaxBytes: 1 << 20, MaxAttempts: f.cfg.Settings.MaxAttempts,
		LoadTimeout: f.cfg.Settings.LoadTimeout, HealthCheckTimeout: 250 * time.Millisecond, Tenants: f.cfg.Tenants})
	r.core.SetWorkerClient(r)
	r.taken, r.ordered = nil, nil
	r.told, r.known, r.Down, r.turn = map[policy.WorkerID]time.Duration{}, maps.Clone(f.truth), false, 0
	if f.cfg.Routes != nil {
		r.core.SetRoutes(f.cfg.Routes())
	}
	r.list()
	r.wake()
	return nil
}

// Kill ends a router at once; after a time it comes back and knows nothing. What it owed is lost.
func (r *Router) Kill(down time.Duration) {
	r.Down, r.life = true, r.life+1
	for _, c := range r.fleet.Calls {
		if c.taker == r && len(c.Answers) == 0 {
			c.Killed = true
		}
	}
	r.fleet.After(down, func() {
		if err := r.start(); err != nil {
			panic(fmt.Sprintf("virtual: a router that has started once does not: %v", err))
		}
	})
}

func (f *Fleet) addWorker(id policy.WorkerID) *Worker {
	w := &Worker{ID: id, copies: map[policy.FunctionID]time.Duration{}, busy: map[policy.FunctionID]int{}, used: map[policy.FunctionID]time.Duration{}}
	f.Workers[id] = w
	return w
}

// list hands the router's core the whole list as it was told.
func (r *Router) list() {
	l := policy.EndpointList{Kind: policy.EndpointSnapshot}
	labels := []route.Worker{}
	for id := policy.WorkerID(1); int(id) <= len(r.fleet.Workers); id++ {
		e, told := r.known[id]
		if !told && int(id) <= r.fleet.cfg.Workers {
			e = policy.Endpoint{Worker: id, State: policy.Ready, Weight: 1}
		}
		if e.State != policy.Gone {
			l.Workers = append(l.Workers, e)
			labels = append(labels, route.Worker{ID: id, Name: fmt.Sprint("s-", id)})
		}
	}
	r.core.SetEndpoints(l)
	r.core.SetRouteWorkers(labels)
}

// Now is the virtual time.
func (f *Fleet) Now() time.Duration { return f.now }

// After does something when a time has passed.
func (f *Fleet) After(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.todo, event{f.now + max(d, 0), f.seq, do})
}

// Run lets time pass.
func (f *Fleet) Run(d time.Duration) {
	for end := f.now + d; ; {
		if len(f.todo) == 0 || f.todo[0].at > end {
			f.now = end
			return
		}
		e := heap.Pop(&f.todo).(event)
		f.now = e.at
		e.do()
	}
}

// Tell has each router told of a changed entry, at a time of its own within a span.
func (f *Fleet) Tell(within time.Duration, e policy.Endpoint) {
	f.truth[e.Worker] = e
	for _, r := range f.Routers {
		f.After(time.Duration(f.rng.Int64N(int64(within)+1)), func() {
			if r.Down {
				return
			}
			if e.State != policy.Ready {
				r.told[e.Worker] = f.now
			}
			r.known[e.Worker] = e
			r.core.SetNow(f.now)
			r.list()
			r.wake()
		})
	}
}

// Release has so many in ten functions be called in a new version from now on, of which no copy stands anywhere. Copies
// of the old ones stay where they are.
func (f *Fleet) Release(inTen int) {
	for fn := 1; fn <= f.cfg.Functions; fn++ {
		if fn%10 < inTen {
			f.version[policy.FunctionID(fn)] = policy.FunctionID(fn + 1<<20)
		}
	}
}

// room tells whether a worker has memory for one more copy, and has the idle copy make it that was used longest ago.
func (w *Worker) room(f *Fleet) bool {
	if f.cfg.Copies == 0 || len(w.copies) < f.cfg.Copies {
		return true
	}
	old, found := policy.FunctionID(0), false
	for fn, stands := range w.copies {
		if w.busy[fn] == 0 && stands <= f.now && !f.cfg.Stays &&
			(!found || w.used[fn] < w.used[old] || w.used[fn] == w.used[old] && fn < old) {
			old, found = fn, true
		}
	}
	delete(w.copies, old)
	return found
}

// StartWorker adds a worker that has just started, empty.
func (f *Fleet) StartWorker() *Worker {
	w := f.addWorker(policy.WorkerID(len(f.Workers) + 1))
	w.Born = f.now
	return w
}

// pick draws a router that is up, by its share of the calls.
func (f *Fleet) pick() *Router {
	sum := 0.0
	for _, r := range f.Routers {
		if !r.Down {
			sum += r.share
		}
	}
	at := f.rng.Float64() * sum
	for _, r := range f.Routers {
		if !r.Down {
			if at -= r.share; at <= 0 {
				return r
			}
		}
	}
	return f.Routers[0]
}

// Traffic sends calls of a tenant to all routers alike, so many a second in all, for a time from now on.
func (f *Fleet) Traffic(tenant string, class int, perSecond float64, d time.Duration) {
	for at := time.Duration(0); at < d; at += time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		f.After(at, func() { f.call(f.pick(), tenant, class) })
	}
}

// call has a client of a router call a function.
func (f *Fleet) call(r *Router, tenant string, class int) {
	f.ids++
	left := f.cfg.Settings.Classes[class].Deadline
	c := &Call{Tenant: tenant, At: f.now, Left: left, Late: r.core.Draining, taker: r, fleet: f}
	f.Calls = append(f.Calls, c)
	fn := policy.FunctionID(f.rng.IntN(f.cfg.Functions) + 1)
	if v, ok := f.version[fn]; ok {
		fn, c.New = v, true
	}
	r.taken = append(r.taken, f.now)
	r.core.Accept(f.now, router.Request{Asker: c, ID: fmt.Sprintf("%016x", f.ids), Class: class, Tenant: tenant, Function: fn,
		FunctionKey: fmt.Sprintf("%016x", uint64(fn)), Lanes: 4, MemoryMB: 100, LoadTime: f.cfg.Load, Deadline: f.now + left - router.ResponseMargin})
	r.wake()
}

// Terminate has a router end as after SIGTERM: it goes on for a time, refuses what comes later, and ends when it owes
// nothing.
func (r *Router) Terminate(linger time.Duration) {
	r.fleet.After(linger, func() {
		r.core.Draining = true
		r.end()
	})
}

func (r *Router) end() {
	if r.core.OpenRequests() == 0 {
		r.Down = true
		return
	}
	r.fleet.After(10*time.Millisecond, r.end)
}

// Open is how many answers the router owes.
func (r *Router) Open() int { return r.core.OpenRequests() }

// wake has the core take its turn at this time, after all that happens at it.
func (r *Router) wake() { r.at(r.fleet.now) }

func (r *Router) at(due time.Duration) {
	if r.turn > r.fleet.now && r.turn <= due {
		return // a turn comes before that
	}
	r.turn = due
	r.fleet.After(due-r.fleet.now, func() {
		if r.turn != r.fleet.now {
			return
		}
		r.turn = 0
		if !r.Down { // a router that was killed and is back has set a turn of its own
			r.at(max(r.core.Process(r.fleet.now), r.fleet.now+time.Microsecond))
		}
	})
}

// answer has something reach the router after the way back.
func (r *Router) answer(after time.Duration, do func()) {
	life := r.life
	r.fleet.After(after+time.Millisecond/2, func() {
		if r.life != life {
			return // the process that asked has ended
		}
		r.core.SetNow(r.fleet.now)
		do()
		r.wake()
	})
}

func (r *Router) late(w policy.WorkerID) {
	if at, told := r.told[w]; told && r.fleet.now > at+r.fleet.cfg.Settings.DrainGracePeriod {
		r.LateSends++
	}
}

// StartAttempt carries a call to its worker.
func (r *Router) StartAttempt(id policy.WorkerID, a router.Attempt, q *router.Request, _ time.Duration) {
	r.late(id)
	w, f, fn := r.fleet.Workers[id], r.fleet, q.Function
	f.After(time.Millisecond/2, func() {
		w.Taken = append(w.Taken, f.now)
		stands, known := w.copies[fn]
		switch {
		case w.held >= 2*f.cfg.Slots:
			r.answer(0, func() { r.core.AttemptCompleted(a, router.AttemptResult{Outcome: policy.Overloaded}) })
			return
		case !known && f.cfg.Settings.MissWhenNotLoaded:
			r.answer(0, func() { r.core.AttemptCompleted(a, router.AttemptResult{Outcome: policy.NotLoaded}) })
			return
		}
		note, wait := policy.AlreadyLoaded, time.Duration(0)
		if !known {
			if !w.room(f) {
				r.answer(0, func() { r.core.AttemptCompleted(a, router.AttemptResult{Outcome: policy.Overloaded}) })
				return
			}
			stands, note = f.now+f.cfg.Load, policy.StartedLoad
			w.copies[fn] = stands
		} else if stands > f.now {
			note = policy.WaitedForLoad
		}
		wait = max(stands-f.now, 0)
		w.held++
		w.busy[fn]++
		w.used[fn] = f.now
		took := wait + f.cfg.Work*time.Duration(1+w.held/f.cfg.Slots)
		f.After(took, func() {
			w.held--
			w.busy[fn]--
		})
		r.answer(took, func() {
			r.core.AttemptCompleted(a, router.AttemptResult{Outcome: policy.Served, LoadStatus: note, Body: []byte("done")})
		})
	})
}

// Load carries an order to load.
func (r *Router) Load(id policy.WorkerID, fn policy.FunctionID, count int, tag uint64) {
	r.late(id)
	w, f := r.fleet.Workers[id], r.fleet
	if s := f.cfg.Settings; count > 0 {
		within := func(list []time.Duration) (n float64) {
			for i := len(list) - 1; i >= 0 && list[i] > f.now-s.LoadBudgetWindow; i-- {
				n++
			}
			return n
		}
		if r.ordered = append(r.ordered, f.now); within(r.ordered) > s.LoadBudgetMinimum+s.LoadBudgetRatio*within(r.taken) {
			r.Overdrawn++
		}
	}
	f.After(time.Millisecond/2, func() {
		if _, known := w.copies[fn]; !known && count > 0 {
			if !w.room(f) {
				r.answer(0, func() { r.core.LoadCompleted(tag, policy.Overloaded, 0) })
				return
			}
			w.copies[fn] = f.now + f.cfg.Load
			w.Loads = append(w.Loads, f.now)
		}
		r.answer(max(w.copies[fn]-f.now, 0), func() { r.core.LoadCompleted(tag, policy.Served, 1) })
	})
}

// Unload unloads a copy.
func (r *Router) Unload(id policy.WorkerID, fn policy.FunctionID) {
	if w := r.fleet.Workers[id]; w.copies[fn] <= r.fleet.now {
		delete(w.copies, fn)
	}
}

// CheckHealth asks whether a worker answers.
func (r *Router) CheckHealth(_ policy.WorkerID, tag uint64) {
	r.answer(time.Millisecond/2, func() { r.core.HealthCheckCompleted(tag, policy.Served, nil) })
}

// CancelAttempt gives an attempt up; the worker goes on with it.
func (r *Router) CancelAttempt(policy.WorkerID, router.Attempt) {}

// WithdrawUnsent has nothing to take back: whatever is sent leaves at once.
func (r *Router) WithdrawUnsent(policy.WorkerID, router.Attempt) bool { return false }

// AbandonCommand needs nothing here.
func (r *Router) AbandonCommand(policy.WorkerID, uint64) {}

// CloseIdle needs nothing here.
func (r *Router) CloseIdle(policy.WorkerID) {}

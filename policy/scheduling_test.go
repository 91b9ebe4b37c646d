package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestRequestsStayAtTheLoadedWorker(t *testing.T) {
	h := newHarness(t, config(), 6)
	w := h.serve(7, 1100*ms, StartedLoad)
	for range 20 {
		if got := h.serve(7, 80*ms, AlreadyLoaded); got != w {
			t.Fatalf("loaded at worker %d, sent to %d", w, got)
		}
	}
	h.now += 11 * time.Second // longer than the keep-alive
	if i := h.p.workers.byID[w].replicas[7]; i != nil && h.now < i.loadedUntil {
		t.Error("a replica counts as loaded after its keep-alive")
	}
}

// Guards against needless loads and memory. If all lanes of a replica are in use, a request goes to a replica
// at another worker, if one is known, before the first worker loads a further replica by itself. The number
// of lanes that were served at once is remembered until a response NotLoaded shows that the replicas are
// gone.
func TestRequestsGoWhereALaneIsFree(t *testing.T) {
	send := func(h *harness) (RequestID, WorkerID) {
		h.id++
		s, ok := first[StartAttempt](h.handle(RequestArrived{Request: h.id, Function: 7, Lanes: 1, LoadTime: time.Second, Remaining: 4 * time.Second}))
		if !ok {
			h.t.Fatal("not sent")
		}
		return h.id, s.Worker
	}
	served := func(h *harness, id RequestID, w WorkerID, status LoadStatus) {
		h.now += 80 * ms
		h.handle(AttemptCompleted{Request: id, Worker: w, Outcome: Served, LoadStatus: status, RequestClosed: true, Took: 80 * ms})
	}
	h := newHarness(t, config(), 2)
	for _, w := range []WorkerID{1, 2} { // both have a replica; the queueing delay at 2 is a little longer
		h.p.replicas.get(h.p.workers.byID[w], 7).loadedUntil = h.now + 10*time.Second
		h.p.workers.byID[w].latency.queueDelay.Observe(h.now, float64(w-1)*float64(20*ms))
	}
	id1, at1 := send(h)
	id2, at2 := send(h)
	if at1 != 1 || at2 != 2 {
		t.Fatalf("sent to worker %d, then to %d", at1, at2)
	}
	served(h, id1, at1, AlreadyLoaded)
	served(h, id2, at2, AlreadyLoaded)
	h.p.replicas.get(h.p.workers.byID[1], 7).lanes = 2 // two were served at once
	h.p.workers.byID[2].latency.queueDelay.Observe(h.now, float64(100*ms))
	if _, at1 = send(h); at1 != 1 {
		t.Fatalf("sent to worker %d", at1)
	}
	id, at2 := send(h)
	if at2 != 1 {
		t.Fatalf("sent to worker %d although worker 1 has a second lane", at2)
	}
	h.handle(AttemptCompleted{Request: id, Worker: 1, Outcome: NotLoaded})
	if n := h.p.replicas.get(h.p.workers.byID[1], 7).lanes; n != 0 {
		t.Errorf("%d lanes are known after NotLoaded", n)
	}
}

// A request with little remaining time is not rejected if it likely has a replica at its preferred worker.
func TestRequestWithLittleTimeUsesALikelyReplica(t *testing.T) {
	for remaining, want := range map[time.Duration]bool{20 * ms: false, 300 * ms: true} { // no run completes in 20 ms
		cfg := config()
		cfg.Routers = 40
		h := newHarness(t, cfg, 5)
		h.serve(7, 100*ms, AlreadyLoaded)
		h.p.scheduler.lastTrial = h.now
		actions := h.handle(RequestArrived{Request: 99, Function: 8, LoadTime: time.Second, Remaining: remaining})
		if has[StartAttempt](actions) != want {
			t.Errorf("with %v remaining: %v", remaining, actions)
		}
	}
}

// Guards against overload of small workers in a fleet with many routers, each of which gets too few requests
// to learn which workers are slow. The number of functions whose preferred worker is a given worker must be
// in proportion to its size, and all routers must choose the same worker for a function. A single router
// knows all queues, so it ignores the size.
func TestRendezvousFollowsSizes(t *testing.T) {
	for _, c := range []struct {
		routers   int
		low, high float64
	}{{1, 0.85, 1.15}, {100, 1.3, 1.7}} {
		if six, four := rendezvousBySize(t, c.routers); six < c.low*four || six > c.high*four {
			t.Errorf("%d routers: workers of sizes 6 and 4 were sent %.0f and %.0f requests", c.routers, six, four)
		}
	}
}

func rendezvousBySize(t *testing.T, fleetRouters int) (six, four float64) {
	t.Helper()
	const routers, requestsPerRouter = 100, 40
	cfg := config()
	cfg.Routers, cfg.MissWhenNotLoaded, cfg.LoadCommandsSupported = fleetRouters, true, true
	sizes := []float64{6, 6, 6, 6, 4, 4, 4, 4}
	var list EndpointList
	list.Kind = EndpointSnapshot
	for i, size := range sizes {
		list.Workers = append(list.Workers, Endpoint{Worker: WorkerID(workerHash(i)), State: Ready, Weight: size, Zone: KnownGroup(0), Cell: KnownGroup(0)})
	}
	sent, preferred := map[float64]float64{}, map[FunctionID]WorkerID{}
	for seed := range uint64(routers) {
		p, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(seed, 7))
		p.Handle(time.Hour, list, nil)
		for n := range requestsPerRouter {
			f := FunctionID(1 + rng.IntN(2000))
			now := time.Hour + time.Duration(n)*time.Minute // the time between requests exceeds every retention
			id := RequestID(n + 1)
			s, ok := first[StartAttempt](p.Handle(now, RequestArrived{Request: id, Function: f, LoadTime: time.Second, Remaining: 4 * time.Second}, nil))
			if !ok {
				t.Fatal("not sent")
			}
			p.Handle(now, AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, RequestClosed: true, Took: 50 * ms}, nil)
			if at, known := preferred[f]; known && at != s.Worker {
				t.Fatalf("function %d has the preferred workers %x and %x", f, at, s.Worker)
			}
			preferred[f] = s.Worker
			sent[list.Workers[slices.IndexFunc(list.Workers, func(e Endpoint) bool { return e.Worker == s.Worker })].Weight]++
		}
	}
	return sent[6], sent[4]
}

// workerHash returns identifiers that look like hashes of worker names.
func workerHash(i int) uint64 { return uint64(i+1) * 0xd6e8feb86659fd93 }

// With many routers, each router gets few responses of one worker, but enough of all workers of one size. If
// larger workers also run requests faster, they must be the preferred worker of more functions than their
// size alone gives, by most of that factor.
func TestRendezvousFollowsMeasuredCapacity(t *testing.T) {
	cfg := config()
	cfg.Routers = 80
	for _, faster := range []float64{1, 1.6} { // speed of workers of size 3 relative to those of size 2
		var ratios []float64
		for seed := range uint64(20) {
			h := newHarness(t, cfg, 0)
			*h.p.scheduler.rng = *rand.New(rand.NewPCG(seed, 7))
			var list EndpointList
			for w := range 20 {
				list.Workers = append(list.Workers, Endpoint{Worker: WorkerID(w + 1), State: Ready, Weight: float64(2 + w%2), Zone: KnownGroup(0), Cell: KnownGroup(0)})
			}
			h.handle(list)
			for range 150 {
				id, actions := h.arrive(0, FunctionID(h.p.scheduler.rng.IntN(60)))
				s, _ := first[StartAttempt](actions)
				took := 60 * ms * time.Duration(1000*h.p.scheduler.rng.ExpFloat64()) / 1000
				if s.Worker%2 == 0 {
					took = time.Duration(float64(took) / faster)
				}
				h.advance(100 * ms)
				h.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, RequestClosed: true, Took: took})
			}
			functions := map[float64]float64{}
			for f := range FunctionID(3000) {
				at := slices.MaxFunc(h.p.workers.fleet, func(x, y *worker) int {
					return cmp.Compare(rendezvousScore(f, x.Worker, x.capacity.hashWeight, math.Inf(-1)), rendezvousScore(f, y.Worker, y.capacity.hashWeight, math.Inf(-1)))
				})
				functions[at.Weight]++
			}
			ratios = append(ratios, functions[3]/functions[2])
		}
		slices.Sort(ratios)
		if want, got := 1.5*faster, ratios[len(ratios)/2]; got < 0.75*want || got > 1.2*want {
			t.Errorf("%v times as fast: large workers are preferred by %.2f times as many functions, want %.2f; %.2f", faster, got, want, ratios)
		}
	}
}

// A busy function needs many workers even if each router gets only a few requests for it. A rare function
// must stay at one worker.
func TestBusyFunctionUsesMoreWorkersThanARareOne(t *testing.T) {
	cfg := config()
	cfg.Routers = 50
	busyWorkers, rareWorkers := map[WorkerID]bool{}, map[WorkerID]bool{}
	for n := range uint64(50) {
		h := newHarness(t, cfg, 20)
		h.p.scheduler.ranking.router = WorkerID(n)
		*h.p.scheduler.rng = *rand.New(rand.NewPCG(n, 2))
		for k := range 30 {
			f := FunctionID(1000 + k)
			if k%3 == 0 {
				f = 7 // a third of all work, so a third of the fleet
			}
			h.now += 300 * ms
			w := h.serve(f, 30*ms, AlreadyLoaded)
			h.p.workers.byID[w].replicas[f].loadedUntil = h.now // the router no longer knows of the replica
			if k > 15 && f == 7 {
				busyWorkers[w] = true
			}
		}
		h.now += time.Minute
		rareWorkers[h.serve(9, 30*ms, AlreadyLoaded)] = true
	}
	if len(busyWorkers) < 4 || len(busyWorkers) > 14 {
		t.Errorf("a third of all work went to %d of 20 workers", len(busyWorkers))
	}
	if len(rareWorkers) != 1 {
		t.Errorf("a rarely requested function has %d preferred workers", len(rareWorkers))
	}
}

// If a function's preferred worker is overloaded while other workers have capacity, many routers that share
// no state must move most of their attempts to other workers within seconds, and return afterwards.
func TestRequestsMoveOffAFullWorkerAndBack(t *testing.T) {
	cfg := config()
	cfg.Routers, cfg.LoadStatusReported = 60, false
	var harnesses []*harness
	for n := range uint64(60) {
		h := newHarness(t, cfg, 20)
		h.p.scheduler.ranking.router = WorkerID(n)
		*h.p.scheduler.rng = *rand.New(rand.NewPCG(n, 9))
		harnesses = append(harnesses, h)
	}
	preferred, count := WorkerID(0), map[WorkerID]int{}
	round := func(full bool) (share float64) {
		sent, atPreferred := 0, 0
		for _, h := range harnesses {
			for k := range 24 {
				f := FunctionID(7)
				if k > 0 {
					f = FunctionID(1000 + k + int(h.p.scheduler.ranking.router)*24)
				}
				h.now += 500 * ms // a round takes 12 s: the function is requested too rarely for its replica to be known
				h.handle(TimerFired{Token: housekeepingToken})
				id, actions := h.arrive(0, f)
				for number := 0; number < 3; number++ {
					s, ok := first[StartAttempt](actions)
					if !ok {
						break
					}
					if f == 7 && number == 0 {
						sent++
						count[s.Worker]++
						if s.Worker == preferred {
							atPreferred++
						}
					}
					if f == 7 && full && s.Worker == preferred {
						h.now += 5 * ms
						actions = h.handle(AttemptCompleted{Request: id, Attempt: number, Worker: s.Worker, Outcome: Overloaded, Took: 5 * ms})
						continue
					}
					h.now += 60 * ms
					h.handle(AttemptCompleted{Request: id, Attempt: number, Worker: s.Worker, Outcome: Served, RequestClosed: true, Took: 60 * ms})
					break
				}
			}
		}
		return float64(atPreferred) / float64(sent)
	}
	for range 5 {
		round(false)
	}
	for w := range harnesses[0].p.workers.fleet {
		if count[WorkerID(w+1)] > count[preferred] {
			preferred = WorkerID(w + 1)
		}
	}
	before := round(false)
	for range 4 {
		round(true)
	}
	during := round(true)
	for range 40 {
		round(false)
	}
	after := round(false)
	t.Logf("share of attempts at the preferred worker: %.2f before, %.2f while it is full, %.2f after", before, during, after)
	if during > before/3 {
		t.Errorf("the full preferred worker still gets %.2f of the attempts, %.2f before", during, before)
	}
	if after < before/2 {
		t.Errorf("the preferred worker gets %.2f of the attempts after it has capacity again, %.2f before", after, before)
	}
}

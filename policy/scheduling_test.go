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
	b := newHarness(t, config(), 6)
	w := b.serve(7, 1100*ms, StartedLoad)
	for range 20 {
		if got := b.serve(7, 80*ms, AlreadyLoaded); got != w {
			t.Fatalf("warm at %d, sent to %d", w, got)
		}
	}
	b.now += 11 * time.Second // longer than the keep-alive
	if i := b.p.workers.byID[w].replicas[7]; i != nil && b.now < i.loadedUntil {
		t.Error("belief outlives the keep-alive")
	}
}

// Guards the store and the memory: a call that finds all lanes of a replica taken goes to another worker's
// replica, where one is known, before the first worker begins a further replica by itself. Lanes that were seen
// to serve together count, until a miss shows that the replicas have gone.
func TestRequestsGoWhereALaneIsFree(t *testing.T) {
	send := func(b *harness) (RequestID, WorkerID) {
		b.id++
		s, ok := first[StartAttempt](b.handle(RequestArrived{Request: b.id, Function: 7, Lanes: 1, LoadTime: time.Second, Remaining: 4 * time.Second}))
		if !ok {
			b.t.Fatal("not sent")
		}
		return b.id, s.Worker
	}
	served := func(b *harness, id RequestID, w WorkerID, note LoadStatus) {
		b.now += 80 * ms
		b.handle(AttemptCompleted{Request: id, Worker: w, Outcome: Served, LoadStatus: note, Closed: true, Took: 80 * ms})
	}
	b := newHarness(t, config(), 2)
	for _, w := range []WorkerID{1, 2} { // both hold a replica; queueing at 2 looks a little worse
		b.p.replicas.get(b.p.workers.byID[w], 7).loadedUntil = b.now + 10*time.Second
		b.p.workers.byID[w].latency.queueDelay.Observe(b.now, float64(w-1)*float64(20*ms))
	}
	one, at1 := send(b)
	two, at2 := send(b)
	if at1 != 1 || at2 != 2 {
		t.Fatalf("sent to %d, then to %d", at1, at2)
	}
	served(b, one, at1, AlreadyLoaded)
	served(b, two, at2, AlreadyLoaded)
	b.p.replicas.get(b.p.workers.byID[1], 7).lanes = 2 // two were served at a time
	b.p.workers.byID[2].latency.queueDelay.Observe(b.now, float64(100*ms))
	if _, at1 = send(b); at1 != 1 {
		t.Fatalf("sent to %d", at1)
	}
	id, at2 := send(b)
	if at2 != 1 {
		t.Fatalf("sent to %d though a second lane was seen", at2)
	}
	b.handle(AttemptCompleted{Request: id, Worker: 1, Outcome: NotLoaded})
	if n := b.p.replicas.get(b.p.workers.byID[1], 7).lanes; n != 0 {
		t.Errorf("%d lanes are believed in after a miss", n)
	}
}

// Little remaining time is no reason to reject a request that likely has a replica at its preferred worker.
func TestRequestWithLittleTimeUsesALikelyReplica(t *testing.T) {
	for left, want := range map[time.Duration]bool{20 * ms: false, 300 * ms: true} { // no run ends in 20 ms
		cfg := config()
		cfg.Routers = 40
		b := newHarness(t, cfg, 5)
		b.serve(7, 100*ms, AlreadyLoaded)
		b.p.scheduler.lastTrial = b.now
		acts := b.handle(RequestArrived{Request: 99, Function: 8, LoadTime: time.Second, Remaining: left})
		if has[StartAttempt](acts) != want {
			t.Errorf("%v left: %v", left, acts)
		}
	}
}

// Guards small workers of a fleet whose routers see too few calls to learn who is slow: over many routers that share
// nothing, functions have their homes at workers in proportion to their size, and each at one worker for all routers.
// A router alone sees all that waits, so size says nothing to it.
func TestRendezvousFollowsSizes(t *testing.T) {
	for _, c := range []struct {
		peers     int
		low, high float64
	}{{1, 0.85, 1.15}, {100, 1.3, 1.7}} {
		if six, four := rendezvousBySize(t, c.peers); six < c.low*four || six > c.high*four {
			t.Errorf("%d routers: workers of sizes 6 and 4 were sent %.0f and %.0f calls", c.peers, six, four)
		}
	}
}

func rendezvousBySize(t *testing.T, peers int) (six, four float64) {
	t.Helper()
	const routers, calls = 100, 40
	cfg := config()
	cfg.Routers, cfg.MissWhenNotLoaded, cfg.LoadCommandsSupported = peers, true, true
	sizes := []float64{6, 6, 6, 6, 4, 4, 4, 4}
	var l EndpointList
	l.Kind = EndpointSnapshot
	for i, size := range sizes {
		l.Workers = append(l.Workers, Endpoint{Worker: WorkerID(workerHash(i)), State: Ready, Weight: size})
	}
	sent, homes := map[float64]float64{}, map[FunctionID]WorkerID{}
	for seed := range uint64(routers) {
		p, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(seed, 7))
		p.Handle(time.Hour, l, nil)
		for n := range calls {
			f := FunctionID(1 + rng.IntN(2000))
			now := time.Hour + time.Duration(n)*time.Minute // nothing is remembered
			id := RequestID(n + 1)
			s, ok := first[StartAttempt](p.Handle(now, RequestArrived{Request: id, Function: f, LoadTime: time.Second, Remaining: 4 * time.Second}, nil))
			if !ok {
				t.Fatal("not sent")
			}
			p.Handle(now, AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, Closed: true, Took: 50 * ms}, nil)
			if at, known := homes[f]; known && at != s.Worker {
				t.Fatalf("function %d has a home at %x and one at %x", f, at, s.Worker)
			}
			homes[f] = s.Worker
			sent[l.Workers[slices.IndexFunc(l.Workers, func(e Endpoint) bool { return e.Worker == s.Worker })].Weight]++
		}
	}
	return sent[6], sent[4]
}

// workerHash makes ids that look as those made of names do.
func workerHash(i int) uint64 { return uint64(i+1) * 0xd6e8feb86659fd93 }

// Of many routers each sees a worker seldom, but of all workers of a size enough: where larger ones run calls
// faster too, they are home to more functions than their sizes say, by most of that.
func TestRendezvousFollowsMeasuredCapacity(t *testing.T) {
	cfg := config()
	cfg.Routers = 80
	for _, faster := range []float64{1, 1.6} { // workers of size 3 against those of size 2
		var ratios []float64
		for seed := range uint64(20) {
			b := newHarness(t, cfg, 0)
			*b.p.scheduler.rng = *rand.New(rand.NewPCG(seed, 7))
			var l EndpointList
			for w := range 20 {
				l.Workers = append(l.Workers, Endpoint{Worker: WorkerID(w + 1), State: Ready, Weight: float64(2 + w%2)})
			}
			b.handle(l)
			for range 150 {
				id, acts := b.arrive(0, FunctionID(b.p.scheduler.rng.IntN(60)))
				s, _ := first[StartAttempt](acts)
				took := 60 * ms * time.Duration(1000*b.p.scheduler.rng.ExpFloat64()) / 1000
				if s.Worker%2 == 0 {
					took = time.Duration(float64(took) / faster)
				}
				b.advance(100 * ms)
				b.handle(AttemptCompleted{Request: id, Worker: s.Worker, Outcome: Served, LoadStatus: AlreadyLoaded, Closed: true, Took: took})
			}
			homes := map[float64]float64{}
			for f := range FunctionID(3000) {
				at := slices.MaxFunc(b.p.workers.fleet, func(x, y *worker) int {
					return cmp.Compare(rendezvousScore(f, x.Worker, x.capacity.hashWeight, math.Inf(-1)), rendezvousScore(f, y.Worker, y.capacity.hashWeight, math.Inf(-1)))
				})
				homes[at.Weight]++
			}
			ratios = append(ratios, homes[3]/homes[2])
		}
		slices.Sort(ratios)
		if want, got := 1.5*faster, ratios[len(ratios)/2]; got < 0.75*want || got > 1.2*want {
			t.Errorf("%v times as fast: large workers are home to %.2f times as many functions, wanted %.2f; %.2f", faster, got, want, ratios)
		}
	}
}

// A hot function needs many workers, and no router sees more than a call of it now and then.
func TestBusyFunctionUsesMoreWorkersThanARareOne(t *testing.T) {
	cfg := config()
	cfg.Routers = 50
	hot, rare := map[WorkerID]bool{}, map[WorkerID]bool{}
	for n := range uint64(50) {
		b := newHarness(t, cfg, 20)
		b.p.scheduler.ranking.router = WorkerID(n)
		*b.p.scheduler.rng = *rand.New(rand.NewPCG(n, 2))
		for k := range 30 {
			f := FunctionID(1000 + k)
			if k%3 == 0 {
				f = 7 // a third of all work: a third of the fleet
			}
			b.now += 300 * ms
			w := b.serve(f, 30*ms, AlreadyLoaded)
			b.p.workers.byID[w].replicas[f].loadedUntil = b.now // as a router that has just lost sight of it
			if k > 15 && f == 7 {
				hot[w] = true
			}
		}
		b.now += time.Minute
		rare[b.serve(9, 30*ms, AlreadyLoaded)] = true
	}
	if len(hot) < 4 || len(hot) > 14 {
		t.Errorf("a third of all work went to %d of 20 workers", len(hot))
	}
	if len(rare) != 1 {
		t.Errorf("a function called now and then has %d homes", len(rare))
	}
}

// A function's preferred worker is overloaded while the others have capacity: many routers, each blind to the
// others, move their sum of sends off it within seconds and come back after.
func TestRequestsMoveOffAFullWorkerAndBack(t *testing.T) {
	cfg := config()
	cfg.Routers, cfg.LoadStatusReported = 60, false
	var beds []*harness
	for n := range uint64(60) {
		b := newHarness(t, cfg, 20)
		b.p.scheduler.ranking.router = WorkerID(n)
		*b.p.scheduler.rng = *rand.New(rand.NewPCG(n, 9))
		beds = append(beds, b)
	}
	home, count := WorkerID(0), map[WorkerID]int{}
	round := func(full bool) (share float64) {
		sends, there := 0, 0
		for _, b := range beds {
			for k := range 24 {
				f := FunctionID(7)
				if k > 0 {
					f = FunctionID(1000 + k + int(b.p.scheduler.ranking.router)*24)
				}
				b.now += 500 * ms // 12 s a round: the function comes too seldom to know its replica as warm
				b.handle(TimerFired{Token: housekeepingToken})
				id, acts := b.arrive(0, f)
				for try := 0; try < 3; try++ {
					s, ok := first[StartAttempt](acts)
					if !ok {
						break
					}
					if f == 7 && try == 0 {
						sends++
						count[s.Worker]++
						if s.Worker == home {
							there++
						}
					}
					if f == 7 && full && s.Worker == home {
						b.now += 5 * ms
						acts = b.handle(AttemptCompleted{Request: id, Attempt: try, Worker: s.Worker, Outcome: Overloaded, Took: 5 * ms})
						continue
					}
					b.now += 60 * ms
					b.handle(AttemptCompleted{Request: id, Attempt: try, Worker: s.Worker, Outcome: Served, Closed: true, Took: 60 * ms})
					break
				}
			}
		}
		return float64(there) / float64(sends)
	}
	for range 5 {
		round(false)
	}
	for w := range beds[0].p.workers.fleet {
		if count[WorkerID(w+1)] > count[home] {
			home = WorkerID(w + 1)
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
	t.Logf("share of sends at the home: %.2f before, %.2f while full, %.2f after", before, during, after)
	if during > before/3 {
		t.Errorf("the full home still draws %.2f of sends, %.2f before", during, before)
	}
	if after < before/2 {
		t.Errorf("the home draws %.2f of sends after it has room again, %.2f before", after, before)
	}
}

// The interface is in api.go; docs/design.md tells what the mechanism is and when each exception to it acts.

package policy

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"crankhold/internal/stats"
)

// Tuned values. None is fitted to one deployment; each has its reason beside it.
const (
	beat       = 50 * time.Millisecond // housekeeping: well below any wanted time, cheap enough
	slowBeat   = time.Second           // trials, first spell aside, sweeps
	asideMost  = 8 * time.Second       // no worker is set aside for longer without a new look
	rateSpan   = 10 * time.Second      // memory of the rate at which we are served
	fade       = 1 - float64(beat)/float64(rateSpan)
	coldMargin = 0.7             // part of the cold budget that we use: peers and chance need the rest
	fitKeep    = 0.97            // a fit remembers about 30 answers
	speedKeep  = 0.995           // the learned speeds of sizes remember about 200 answers
	speedPrior = 0.5             // and begin with a dozen, at sizes half as large again, that show none
	fitPrior   = 8               // answers that the fleet's slope weighs in each worker's
	runPrior   = 5               // answers that the class's run weighs in each function's
	runMemory  = 30              // answers that a run estimate remembers
	delaySpan  = 3 * time.Second // memory of a worker's queue: it drains in about that
	fewAnswers = 6               // fewer are remembered for longer: none newer come
	clip       = 3               // an answer counts as at most this multiple of the estimate
	loadRate   = 0.2             // weight of one load in the ratio of real to told load time
	unheardRun = 0.25            // part of the wanted time that a run takes until we know better
	laneLoad   = 0.3             // part of a load that a call beyond the lanes waits or has others pay

	newsBytes = 16  // a worker and a function; 16 of them fill a message
	likely    = 0.5 // a chance that is counted on where a wrong guess costs little
	beatToken = 0
	askToken  = 1
	doneToken = 1 << 32 // plus the request
	copyToken = 1 << 33 // plus the request
)

// Policy takes one dispatcher's decisions.
type Policy struct {
	cfg  Config
	rng  *rand.Rand
	self uint64
	now  time.Duration
	out  []Action

	workers map[WorkerID]*worker
	fleet   []*worker // in the order of their first listing
	ready   int       // of them
	reqs    map[RequestID]*request
	held    []*request // no worker may take them now; tried again at each beat
	funcs   map[FunctionID]*function
	classes []classState
	tenants []bucket

	slope      fit     // all workers' queueing, what an unheard worker counts as
	pace       fit     // delay over the requests that reports say wait, at all workers
	waiting    int     // place of these in a report; -1: reports don't tell
	speed      fit     // of runs, less time over the log of the size, the usual one being 1
	usual      float64 // size of a worker
	standing   float64 // delay that three of four warm answers exceed
	loadRatio  float64 // real load time over the told one
	taken      float64 // work that warm workers take in a second, by their might
	rate, span float64 // work served to us of late and the seconds that it took, decaying over rateSpan

	lastTrial, lastSweep time.Duration
	failed               int           // loads that failed since one succeeded
	gate                 time.Duration // no load begins before, while they fail

	arrivals, orders times   // within LoadBudgetWindow
	believed         holders // by function
	scratch
	news                []byte  // of instances, for the other dispatchers
	spare               float64 // calls of ours that pay for messages
	subscribed, started bool
}

type classState struct {
	Class
	run, n       float64 // mean time of a warm answer, in nanoseconds, and of how many
	took, hinted float64 // sums of the same and of the work hints, alike at first: a hint is believed
}

type bucket struct {
	level, rate float64
	at          time.Duration
}

type function struct {
	id             FunctionID
	run, n         float64
	calls          float64 // ours before the last, decaying over rateSpan
	loadTime, used time.Duration
	keep           time.Duration // an idle copy is worth its memory for so long
	jams           float64       // calls late or turned away where a copy stood, less those that were not
}

// fit is a line through the origin, queueing delay over requests in flight: the ratio of their sums.
type fit struct{ nn, ny float64 }

type worker struct {
	Endpoint
	room, served         float64    // while cold: work that may go there now; work served to us of late
	might, size          float64    // what it can do beside the others, and as much of it as ranks homes
	out                  []*attempt // in the order of their sends
	slope                fit
	fails                []stats.DecayingMean // by class, whether calls go unserved there
	delay                stats.DecayingMean   // the fit's constant: what others queue there
	probing              bool
	strikes, orders      int           // signs of trouble since it was heard; orders of ours that are out
	heard, probed, aside time.Duration // last sign of life, last probe, set aside until then
	copies               map[FunctionID]*instance
	marked
}

// instance is what we believe of a function at a worker.
type instance struct {
	w               *worker
	warmUntil, told time.Duration // told: when we last told the others
	loading         time.Duration // a load under way is expected to end then; 0: none
	inFlight, lanes int           // calls of ours: there now, and as many as it was seen to serve at a time
	ordered         bool          // our order is out
	parked          []*request    // wait for its answer
}

type request struct {
	RequestArrived
	fn            *function
	deadline      time.Duration
	attempts      []*attempt
	outstand      int
	ran           *attempt // the first attempt that may have run
	done, stream  bool
	over, copying bool      // beyond its tenant's share; a second copy is being sent
	pool          Pool      // the workers that it may go to
	again         int       // attempts after one that may have run
	shunned       []*worker // turned it away or failed it
}

type attempt struct {
	req            *request
	number         int
	w              *worker
	pool           Pool
	sent, expected time.Duration
	inFlight       int
	cold, likely   bool // thought cold; at a home where a copy likely stood
	ended, called  bool // called: we called it off
}

// New returns a Policy for one dispatcher; all its random choices follow from seed.
func New(cfg Config, seed uint64) (*Policy, error) {
	if len(cfg.Classes) == 0 {
		return nil, fmt.Errorf("policy: no request classes")
	}
	for i, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DeduplicationWindow < 0 ||
			c.Idempotency > NotIdempotent || c.DeduplicationScope > DeduplicatedInCell {
			return nil, fmt.Errorf("policy: class %d is impossible: %+v", i, c)
		}
	}
	for _, v := range []float64{cfg.SlowStartInitialCapacity, cfg.OverloadMultiple, cfg.LoadBudgetMinimum,
		cfg.LoadBudgetRatio, float64(cfg.MaxAttempts), float64(cfg.Tick), float64(cfg.SlowStartDuration),
		float64(cfg.OverloadWindow), float64(cfg.KeepAlive), float64(cfg.LoadBudgetWindow)} {
		if !(v >= 0) || math.IsInf(v, 1) || cfg.SlowStartInitialCapacity > 1 {
			return nil, fmt.Errorf("policy: settings hold an impossible amount: %+v", cfg)
		}
	}
	cfg.Routers = max(cfg.Routers, 1)
	p := &Policy{cfg: cfg, self: seed, rng: rand.New(rand.NewPCG(seed, 0x7468796d65)), loadRatio: 1,
		waiting: slices.Index(cfg.LoadReportFields, "queue"),
		workers: map[WorkerID]*worker{}, reqs: map[RequestID]*request{}, funcs: map[FunctionID]*function{}}
	for _, c := range cfg.Classes {
		run := unheardRun * float64(c.LatencyObjective)
		p.classes = append(p.classes, classState{c, run, 0, runPrior * run, runPrior * run})
	}
	for _, t := range cfg.Tenants {
		rate := sane(t.RequestsPerSecond, 0, 1e9) / float64(cfg.Routers)
		p.tenants = append(p.tenants, bucket{level: rate + 1, rate: rate})
	}
	return p, nil
}

// sane returns v within [lo, hi], and lo for what is no number.
func sane(v, lo, hi float64) float64 {
	if v >= lo {
		return min(v, hi)
	}
	return lo
}

// Handle takes one event and appends the actions that answer it to out.
func (p *Policy) Handle(now time.Duration, ev Event, out []Action) []Action {
	p.now, p.out = max(now, p.now), out
	if !p.started {
		p.started = true
		p.emit(SetTimer{After: beat, Token: beatToken})
		p.emit(Subscribe{On: true})
	}
	switch e := ev.(type) {
	case EndpointList:
		p.list(e)
	case RequestArrived:
		p.arrived(e)
	case AttemptCompleted:
		p.ended(e)
	case LoadCompleted:
		p.loadEnded(e)
	case HealthCheckCompleted:
		p.probedBack(e)
	case GossipReceived:
		p.told(e.Data)
	case ResponseStarted:
		if r := p.reqs[e.Request]; r != nil {
			r.stream = true
		}
	case RequestCanceled:
		if r := p.reqs[e.Request]; r != nil && !r.done { // what was taken back widens no ration
			p.arrivals.drop(r.deadline - r.Remaining)
			p.close(r)
		}
	case TimerFired:
		if e.Token == beatToken {
			p.beat()
		} else if e.Token == askToken {
			p.emit(Subscribe{On: true})
		} else if e.Token >= copyToken {
			p.secondCopy(p.reqs[RequestID(e.Token-copyToken)])
		} else if r := p.reqs[RequestID(e.Token-doneToken)]; r != nil && e.Token >= doneToken && !r.stream {
			p.finish(r, 0)
		}
	}
	return p.out
}

// emit is the one place where actions leave. It keeps the rules: what would break one is not emitted.
func (p *Policy) emit(a Action) bool {
	may := true
	switch a := a.(type) {
	case StartAttempt:
		r, w := p.reqs[a.Request], p.workers[a.Worker]
		may = r != nil && w != nil && p.mayGo(r) && w.State == Ready && r.pool.Contains(w.Worker) &&
			p.repeatable(r, w) && p.coldRoom(w)
	case Reject: // nothing may have run, or its repeat is harmless wherever it goes
		r := p.reqs[a.Request]
		if r == nil || r.done {
			return false
		}
		if c := &p.classes[r.Class]; (r.ran != nil || r.outstand > 0) &&
			(c.Idempotency == NotIdempotent ||
				c.Idempotency == IdempotentWithKey && c.DeduplicationScope != DeduplicatedEverywhere) {
			p.out = append(p.out, FailRequest{Request: r.Request}) // promises nothing
			return true
		}
	case Load:
		w := p.workers[a.Worker]
		if w == nil || !p.cfg.LoadOrdersSupported || a.Count > 0 && w.State != Ready {
			return false
		}
		if a.Count > 0 && p.cfg.LoadBudgetWindow > 0 {
			if float64(p.orders.since(p.now-p.cfg.LoadBudgetWindow)+1) > p.ration() {
				return false
			}
			p.orders.add(p.now, p.cfg.LoadBudgetWindow)
		}
	case Subscribe: // only where the list does not come by itself
		may = p.cfg.EndpointsByPolling && !p.subscribed
	case Unload:
		may = p.cfg.LoadOrdersSupported && p.workers[a.Worker].State == Ready
	case CheckHealth:
		may = p.cfg.HealthCheckSupported
	case CancelAttempt:
		may = p.cfg.CancelSupported
	}
	if may {
		p.out = append(p.out, a)
	}
	return may
}

// ration is how many load orders the window may hold now.
func (p *Policy) ration() float64 {
	taken := p.arrivals.since(p.now - p.cfg.LoadBudgetWindow + 1)
	return p.cfg.LoadBudgetMinimum + p.cfg.LoadBudgetRatio*float64(taken)
}

// mayGo tells whether r may go anywhere now: beside a first attempt only the copy that its terms ask for.
func (p *Policy) mayGo(r *request) bool {
	return !r.done && !r.stream && (r.outstand == 0 || r.outstand == 1 && r.copying) && p.now < r.deadline &&
		r.pool.HasCapacity()
}

// repeatable tells whether its class and attempts let r go to w; w nil: to a worker that may yet be listed.
func (p *Policy) repeatable(r *request, w *worker) bool {
	if p.cfg.MaxAttempts > 0 && len(r.attempts) >= p.cfg.MaxAttempts {
		return false
	}
	c, ran, t, n := &p.classes[r.Class], r.ran, r.Policy, len(r.attempts)
	if t.MaxAttempts > 0 && n >= t.MaxAttempts ||
		ran != nil && t.RetriesAfterPossibleRun >= 0 && r.again >= t.RetriesAfterPossibleRun ||
		ran == nil && !r.copying && t.RetriesAfterProvenNoRun >= 0 && n > t.RetriesAfterProvenNoRun {
		return false
	}
	if ran == nil || c.Idempotency == Idempotent {
		return true
	}
	return c.Idempotency == IdempotentWithKey && p.now < ran.sent+c.DeduplicationWindow-p.cfg.Tick &&
		(w == nil || c.DeduplicationScope == DeduplicatedEverywhere ||
			c.DeduplicationScope == DeduplicatedInZone && w.Zone == ran.w.Zone ||
			c.DeduplicationScope == DeduplicatedInCell && w.Cell == ran.w.Cell)
}

// coldRoom guards a cold worker from all dispatchers together: each lets come on its part of what warm ones
// serve, under the told multiple. A start owes a part of a call, by chance, so that many take turns.
func (p *Policy) coldRoom(w *worker) bool { return w.room > 0 || p.capacity(w) >= 1 }

// weigh sees what workers can do beside each other, if warm: their size, to a power that is learned of the
// runs at large and small ones. What warm ones are seen to take by that is what a cold one will.
func (p *Policy) weigh() {
	power, work, might := 1+sane(p.speed.ny/(p.speed.nn+speedPrior), 0, 2), 0.0, 0.0
	for _, w := range p.fleet {
		w.might = math.Pow(cmp.Or(w.Weight, 1), power)
		w.size = math.Pow(w.might, 1-1/float64(p.cfg.Routers))
		if w.State == Ready && p.capacity(w) >= 1 {
			work, might = work+w.served, might+w.might
		}
	}
	if might > 0 && p.span > 0 {
		p.taken = work / p.span / might
	}
}

// capacity is the least share of its full capacity that w has now.
func (p *Policy) capacity(w *worker) float64 {
	if w.Started == 0 || p.cfg.SlowStartDuration <= 0 || p.cfg.OverloadWindow <= 0 ||
		p.cfg.OverloadMultiple <= 0 {
		return 1
	}
	age := sane(float64(p.now-w.Started)/float64(p.cfg.SlowStartDuration), 0, 1)
	return p.cfg.SlowStartInitialCapacity + (1-p.cfg.SlowStartInitialCapacity)*age
}

// list follows the worker list.
func (p *Policy) list(l EndpointList) {
	if l.Kind == EndpointListFailed {
		p.subscribed = false
		p.emit(SetTimer{After: max(p.cfg.PollInterval/8, beat), Token: askToken})
		return
	}
	p.subscribed = p.subscribed || l.Kind != CachedEndpointSnapshot
	named := map[WorkerID]bool{}
	for _, e := range l.Workers {
		named[e.Worker] = true
		w, known := p.workers[e.Worker]
		if !known {
			w = &worker{copies: map[FunctionID]*instance{}, fails: make([]stats.DecayingMean, len(p.classes))}
			p.workers[e.Worker] = w
			p.fleet = append(p.fleet, w)
		}
		if !known || e.Started > w.Started { // a new process: nothing we believe of the old one holds
			for _, i := range w.copies {
				i.warmUntil, i.loading, i.lanes = 0, 0, 0
			}
			w.strikes, w.aside, w.served, w.room = 0, 0, 0, -p.rng.Float64()*p.classes[0].run
			w.slope, w.delay = fit{}, stats.DecayingMean{Span: delaySpan, Few: fewAnswers}
			for c := range w.fails {
				w.fails[c] = w.delay
			}
		}
		e.Weight = sane(e.Weight, 0, 1e9) // 0: not told
		w.Endpoint = e
	}
	p.ready, p.usual = 0, 0
	for _, w := range p.fleet {
		p.usual += cmp.Or(w.Weight, 1) / float64(len(p.fleet))
		if l.Kind != EndpointDelta && !named[w.Worker] {
			w.State = Gone
		}
		p.ready += int(w.State & Ready)
	}
	p.weigh()
}

func (p *Policy) instance(w *worker, f FunctionID) *instance {
	i := w.copies[f]
	if i == nil {
		i = &instance{w: w}
		w.copies[f] = i
		p.believed.add(f, i)
	}
	return i
}

func (p *Policy) arrived(e RequestArrived) {
	if e.Class < 0 || e.Class >= len(p.classes) || p.reqs[e.Request] != nil {
		return
	}
	if p.cfg.LoadBudgetWindow > 0 {
		p.arrivals.add(p.now, p.cfg.LoadBudgetWindow)
	}
	p.spare = min(p.spare+2, float64(p.cfg.Routers)) // a call pays for two receivers, at any size
	f := p.funcs[e.Function]
	if f == nil {
		f = &function{id: e.Function, run: p.classes[e.Class].run}
		p.funcs[e.Function] = f
	}
	f.calls *= math.Exp(-float64(p.now-f.used) / float64(rateSpan))
	f.used = p.now
	if f.loadTime = e.LoadTime; f.loadTime <= 0 || f.loadTime > time.Hour {
		f.loadTime = p.classes[e.Class].LatencyObjective // not told: as long as an answer may take
	}
	e.Remaining = max(e.Remaining, 0)
	e.Policy = cmp.Or(e.Policy, &settingsAlone)
	r := &request{RequestArrived: e, fn: f, deadline: p.now + e.Remaining, pool: e.Policy.Pool}
	p.reqs[e.Request], f.keep = r, p.keep(r)
	r.over = len(p.tenants) > 0
	if e.Tenant >= 0 && e.Tenant < len(p.tenants) { // a second's worth may be saved up, and chance
		b := &p.tenants[e.Tenant]
		b.level = min(b.level+b.rate*(p.now-b.at).Seconds(), b.rate+3*math.Sqrt(b.rate)+1)
		b.at, r.over = p.now, b.level < 1
	}
	p.emit(SetTimer{After: max(e.Remaining-2*p.cfg.Tick, 0), Token: doneToken + uint64(e.Request)})
	p.place(r)
	f.calls++
}

// keep is how long an idle copy of r's function is worth its memory: until that cost what a call loses that
// finds none, in calls. Who shares it sees only his, so keeps it longer; so do rationed orders, for good.
func (p *Policy) keep(r *request) time.Duration {
	c := &p.classes[r.Class]
	held := float64(p.arrivals.since(p.now-p.cfg.LoadBudgetWindow+1)) * p.cfg.MemoryPrice * r.MemoryMB
	if p.cfg.MissWhenNotLoaded || p.cfg.WorkerMemoryMB <= 0 || !(held > 0) {
		return p.cfg.KeepAlive
	}
	lost := (1 - c.LatePriorityWeight) * min((p.loadTime(r.fn)+p.run(r))/float64(c.LatencyObjective), 1)
	lost *= p.cfg.WorkerMemoryMB * float64(max(p.ready, 1)) * float64(p.cfg.LoadBudgetWindow)
	return time.Duration(min(lost/held, float64(p.cfg.KeepAlive)))
}

// queueing predicts the delay at w with n requests of ours in flight there.
func (p *Policy) queueing(w *worker, n int) float64 {
	ny := w.slope.ny + fitPrior*p.slope.ny/max(p.slope.nn, 1)
	return max(0, ny)/(w.slope.nn+fitPrior)*float64(n) + max(0, w.delay.Mean(p.now))
}

// run predicts the time of r's own work at a usual worker.
func (p *Policy) run(r *request) float64 {
	c := &p.classes[r.Class]
	if r.Work > 0 && r.Work < time.Hour {
		return c.took / c.hinted * float64(r.Work)
	}
	return (runPrior*c.run + r.fn.n*r.fn.run) / (runPrior + r.fn.n)
}

// loadLeft is the load time that r must expect at w.
func (p *Policy) loadLeft(w *worker, r *request) float64 {
	if i := p.believed.at(w, r.fn.id); i != nil {
		if i.loading > 0 {
			return math.Abs(float64(i.loading - p.now)) // one that is late is expected to be as late again
		}
		if p.now < i.warmUntil || i.inFlight > 0 {
			return 0
		}
	}
	return p.loadTime(r.fn)
}

// loadTime predicts a load that begins now: the told time, by the ratio seen of late.
func (p *Policy) loadTime(f *function) float64 { return p.loadRatio * float64(f.loadTime) }

// predict is the design's score: the latency that r must expect at w if it goes there now.
func (p *Policy) predict(w *worker, r *request) float64 {
	score := p.queueing(w, len(w.out)) + p.run(r) + p.loadLeft(w, r) +
		w.fails[r.Class].Mean(p.now)*float64(r.deadline-p.now) // who is not served waits in vain
	if i := p.believed.at(w, r.fn.id); i != nil && float64(i.inFlight) >= max(r.Lanes, 1, float64(i.lanes)) {
		score += laneLoad * p.loadTime(r.fn) // no lane is free, as far as we know: w may begin a further copy
	}
	if len(w.out) > 0 { // censored data: it has been silent for longer than expected of its oldest attempt
		score += max(0, float64(p.now-max(w.heard, w.out[0].sent)-w.out[0].expected))
	}
	return score
}

// home ranks w for f alike at all dispatchers, by its size; what can't be above least needs no logarithm.
func home(f FunctionID, w WorkerID, size, least float64) float64 {
	x := uint64(f)*0x9e3779b97f4a7c15 ^ uint64(w)*0xc2b2ae3d27d4eb4f
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	if u := (float64((x^x>>29)>>11) + 1) / (1 << 53); (u-1)/size > least {
		return math.Log(u) / size
	}
	return least
}

// homeOf returns the home of r's function, the first in rank of those that we think cold, and the chance that
// a copy stands there all the same. A function deserves its share of our work in homes, or as many as it met
// jams, as far as others carry it: ours show in flight. Each dispatcher keeps to one; others keep it warm.
func (p *Policy) homeOf(r *request, cands []*worker) (at *worker, chance float64) {
	f, run, slot, none := r.fn, p.run(r), 0, math.Inf(-1)
	homes := 1 + int((1-1/float64(p.cfg.Routers))*max(f.calls*run*float64(p.ready)/max(p.rate, run), f.jams))
	for s, best := 1, home(f.id, WorkerID(p.self), 1, none); s < min(homes, p.ready); s++ {
		if h := home(f.id+FunctionID(s), WorkerID(p.self), 1, best); h > best {
			slot, best = s, h
		}
	}
	key, top, rank := f.id^FunctionID(slot)<<48, none, none
	for _, w := range cands {
		h := home(key, w.Worker, w.size, min(top, rank))
		top = max(top, h)
		if h > rank && p.cold(w, r) {
			at, rank = w, h
		}
	}
	chance = min(likely, 0.2*float64(p.cfg.Routers+1)) // of a lone dispatcher only what it lost sight of
	if at != nil && rank == top {
		others := f.calls * float64(p.cfg.Routers-1) / float64(homes)
		chance = max(chance, 1-math.Exp(-others*float64(p.cfg.KeepAlive)/float64(rateSpan)))
	}
	return at, chance
}

// candidates are the workers that may take r, without those set aside and those that turned it away.
func (p *Policy) candidates(r *request) []*worker {
	p.cands = p.cands[:0]
	anywhere := p.mayGo(r) && p.repeatable(r, nil)
	keyed := r.ran != nil && p.classes[r.Class].Idempotency == IdempotentWithKey
	for _, w := range p.fleet {
		if anywhere && w.State == Ready && !p.looksBad(w) && r.pool.Contains(w.Worker) &&
			!slices.Contains(r.shunned, w) && (!keyed || p.repeatable(r, w)) && p.coldRoom(w) {
			p.cands = append(p.cands, w)
		}
	}
	return p.cands
}

// cold tells whether r would begin a load at w.
func (p *Policy) cold(w *worker, r *request) bool {
	i := p.believed.at(w, r.fn.id)
	return (i == nil || i.loading == 0) && p.loadLeft(w, r) > 0
}

// loadFailed guards the shared store: while loads fail they begin one at a time and ever more slowly, and
// cold calls are held, until one succeeds. A failure by chance costs one short pause.
func (p *Policy) loadFailed(n int) {
	p.failed += n
	p.gate = p.now + beat<<min(p.failed, 5)
}

// looksBad: w is set aside until a probe is answered or, without, for its spell, then on one trial at a time.
func (p *Policy) looksBad(w *worker) bool {
	return w.strikes > 0 && (p.cfg.HealthCheckSupported || p.now < w.aside || len(w.out) > 0)
}

// place sends r to the worker with the lowest predicted latency, or refuses or holds it.
func (p *Policy) place(r *request) {
	if r.done || r.outstand > 0 {
		return
	}
	cands, until := p.candidates(r), p.now
	for len(cands) == 0 && p.repeatable(r, nil) { // its pool can't take it
		next := r.pool.Overflow(p.now)
		if next == nil {
			break
		}
		r.pool = next
		cands = p.candidates(r)
	}
	at, discount := p.homeOf(r, cands)
	if p.now < p.gate && len(cands) > 0 { // nothing begins a load, as far as we know
		until = p.gate
		cands = slices.DeleteFunc(cands, func(w *worker) bool {
			return p.cold(w, r) && (w != at || discount < likely || len(r.attempts) > 0)
		})
	}
	if len(cands) == 0 {
		for _, w := range p.fleet { // nobody else can take it: those set aside are looked at sooner
			if w.strikes > 0 && r.pool.Contains(w.Worker) {
				w.aside = min(w.aside, max(p.now, w.probed+slowBeat/2))
			}
		}
		if float64(r.deadline-until) > p.run(r) && p.mayYet(r) {
			p.held = append(p.held, r)
		} else {
			p.finish(r, float64(until-p.now))
		}
		return
	}
	best := math.Inf(1)
	scores, run, load := p.scores[:0], p.run(r), p.loadTime(r.fn)
	for _, w := range cands {
		// Where no copy stands a call takes its run and a load at the least: most need no closer look.
		score := run + load
		if w == at || p.believed.at(w, r.fn.id) != nil || score <= best+float64(p.cfg.Tick) {
			score = p.predict(w, r)
		}
		if w == at {
			score -= discount * load
		}
		scores, best = append(scores, score), min(best, score)
	}
	p.scores = scores
	ties, pick := 0, 0
	for i := range cands {
		if scores[i] <= best+float64(p.cfg.Tick) { // closer than the clock tells is a tie
			if ties++; p.rng.IntN(ties) == 0 {
				pick = i
			}
		}
	}
	w, score := cands[pick], p.predict(cands[pick], r)
	sure := score // what it takes where we are right, for more likely than not a copy stands at the home
	if w == at && discount >= likely {
		sure -= p.loadLeft(w, r)
	}
	shed, wait := p.shed(r, w, sure)
	if sure > float64(r.deadline-p.now) || r.over && best > float64(p.classes[r.Class].LatencyObjective) ||
		r.ran == nil && shed {
		if p.now-p.lastTrial < slowBeat || r.over {
			p.finish(r, wait)
			return
		}
		p.lastTrial = p.now // a bounded trial, so that a wrong estimate can be corrected
	}
	p.send(r, w, time.Duration(score), w == at && discount >= likely)
}

// mayYet tells whether waiting may help r: a worker set aside or cold may take it later, or one be listed.
func (p *Policy) mayYet(r *request) bool {
	return r.pool.HasCapacity() && (p.ready == 0 && p.repeatable(r, nil) ||
		slices.ContainsFunc(p.fleet, func(w *worker) bool {
			return w.State == Ready && r.pool.Contains(w.Worker) && !slices.Contains(r.shunned, w) &&
				p.repeatable(r, w)
		}))
}

// shed answers overload: a standing delay that even fast answers show serves nobody, so a growing part of
// what never ran gives way, first what is beyond its tenant's share or late at best, then the least worth.
// The yardstick is the wanted time of classes worth as much or more; the wait is until the queue lets r in.
func (p *Policy) shed(r *request, w *worker, score float64) (shed bool, wait float64) {
	c := &p.classes[r.Class]
	own := float64(min(c.LatencyObjective, cmp.Or(r.Policy.LatencyObjective, c.LatencyObjective)))
	start, aim := 0.5, own
	for i := range p.classes {
		if o := &p.classes[i]; p.density(o) > 1.5*p.density(c) {
			start, aim = 0.25, min(aim, float64(o.LatencyObjective))
		}
	}
	if r.over {
		start = 0.15 * p.cfg.OverQuotaWeight
	} else if score > own {
		start = 0.15
	}
	others := (1 - 1/float64(p.cfg.Routers)) * w.delay.Mean(p.now) // what they queue at the best worker
	delay := max(p.standing, others)
	return p.rng.Float64() < min(2*(delay/aim-start), 0.9), delay - start*aim
}

// density is the worth of a class for the work that it takes.
func (p *Policy) density(c *classState) float64 {
	if p.cfg.WeightByWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.run, 1)
}

func (p *Policy) send(r *request, w *worker, expected time.Duration, likely bool) {
	load, i := p.loadLeft(w, r), p.instance(w, r.fn.id)
	if !p.emit(StartAttempt{Request: r.Request, Worker: w.Worker, Limit: r.Policy.AttemptTimeout}) {
		return
	}
	a := &attempt{req: r, number: len(r.attempts), w: w, pool: r.pool, sent: p.now, expected: expected,
		inFlight: len(w.out), cold: load > 0, likely: likely}
	r.attempts = append(r.attempts, a)
	a.pool.AttemptStarted()
	if r.ran != nil {
		r.again++
	}
	if after := r.Policy.HedgeDelay; after > 0 && a.number == 0 {
		p.emit(SetTimer{After: after, Token: copyToken + uint64(r.Request)})
	}
	if !r.over && a.number == 0 && r.Tenant >= 0 && r.Tenant < len(p.tenants) {
		p.tenants[r.Tenant].level-- // only what is sent counts: a refused call's repeats are the same call
	}
	r.outstand++
	w.out = append(w.out, a)
	i.inFlight++
	w.room -= p.classes[r.Class].run
	if !p.cfg.MissWhenNotLoaded && load > 0 && i.loading == 0 {
		i.loading = p.now + time.Duration(load)
	}
	if p.failed > 0 && load > 0 && p.now >= p.gate {
		p.loadFailed(0)
	}
}

// secondCopy sends r to another worker too, one that it need not load at, when the first is yet to answer.
func (p *Policy) secondCopy(r *request) {
	if r == nil || r.outstand != 1 || !p.cfg.HedgingAllowed || p.classes[r.Class].Idempotency != Idempotent {
		return
	}
	first := r.attempts[slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.ended })].w
	r.copying = true
	at, best := (*worker)(nil), float64(r.deadline-p.now)
	for _, w := range p.candidates(r) {
		if score := p.predict(w, r); w != first && !p.cold(w, r) && score < best {
			at, best = w, score
		}
	}
	if at != nil {
		p.send(r, at, time.Duration(best), false)
	}
	r.copying = false
}

// ended takes in how an attempt ended and decides what follows.
func (p *Policy) ended(e AttemptCompleted) {
	r := p.reqs[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	w, i := a.w, p.instance(a.w, r.fn.id)
	a.ended, r.outstand, i.inFlight = true, r.outstand-1, i.inFlight-1
	a.pool.AttemptFinished()
	w.out = slices.DeleteFunc(w.out, func(o *attempt) bool { return o == a })
	if !e.Outcome.NeverRan() && r.ran == nil {
		r.ran = a
	}
	e.Took = min(max(e.Took, 0), time.Hour)
	if e.Outcome != ConnectionReset || a.number > 0 { // it may break alone: its worker still has the copy
		r.shunned = append(r.shunned, w) // read only if another attempt follows
	}
	switch e.Outcome {
	case Served:
		p.alive(w)
		w.fails[r.Class].Observe(p.now, 0)
		p.rate, w.served = p.rate+p.classes[r.Class].run, w.served+p.classes[r.Class].run
		p.learn(a, e)
	case Failed, Overloaded, NotLoaded:
		p.alive(w)
		if e.Outcome == NotLoaded || e.LoadStatus == LoadFailed {
			i.warmUntil, i.loading, i.lanes = 0, 0, 0
		} else if e.Outcome == Overloaded && i.inFlight == 0 && !i.ordered { // it began no load
			i.loading = 0
		}
		switch {
		case e.LoadStatus == LoadFailed:
			p.loadFailed(1)
		case e.Outcome == Failed:
			w.fails[r.Class].Observe(p.now, 1)
		case e.Outcome == Overloaded && (!a.cold || a.likely):
			p.jam(r.fn)
			p.reported(w, e.Report)
			w.delay.Observe(p.now, max(clip*p.run(r), w.delay.Mean(p.now)))
		}
	case ConnectionReset, Unreachable:
		if e.Outcome == ConnectionReset && !w.probing { // one sign, however many calls were on the connection
			w.fails[r.Class].Observe(p.now, 1)
		}
		p.broken(w, e.Outcome)
	case Cancelled, TimedOut: // it would have taken longer still; where others were answered, they tell
		over := float64(e.Took) - p.run(r)
		if !a.cold && w.delay.Updated() < a.sent && over > w.delay.Mean(p.now) {
			w.delay.Observe(p.now, min(over, clip*float64(p.classes[r.Class].LatencyObjective)))
		}
	}
	if e.Closed {
		p.close(r)
	}
	switch {
	case r.done || r.outstand > 0:
	case e.Outcome == NotLoaded && p.order(r, w, i):
	case e.Outcome == NotSent || e.Outcome == TimedOut && p.now >= r.deadline-2*p.cfg.Tick:
		p.finish(r, 0)
	default:
		p.place(r)
	}
	p.release(r)
}

// learn takes a served attempt into the estimates.
func (p *Policy) learn(a *attempt, e AttemptCompleted) {
	r, w, f := a.req, a.w, a.req.fn
	p.reported(w, e.Report)
	i, c, took, base := p.instance(w, f.id), &p.classes[r.Class], float64(e.Took), p.run(r)
	queue, at := p.queueing(w, a.inFlight), max(0, w.delay.Mean(p.now))
	loaded := e.LoadStatus == StartedLoad || e.LoadStatus == WaitedForLoad
	if !p.cfg.LoadStatusReported && !p.cfg.MissWhenNotLoaded { // not told: a load shows in the time
		loaded = took > base+queue+p.loadTime(f)/2
	}
	if !a.cold && e.LoadStatus <= AlreadyLoaded { // a guessed load may be a queue
		answers := 20.0 // slowly up to what took longer, fast down
		if took < p.standing {
			answers = 4
		}
		p.standing += (min(took, clip*float64(c.LatencyObjective)) - p.standing) / answers
	}
	i.warmUntil, i.loading, i.lanes = p.now+p.cfg.KeepAlive, 0, max(i.lanes, i.inFlight+1)
	p.tell(i, f)
	if took < float64(c.LatencyObjective) {
		f.jams *= fitKeep
	} else if (!a.cold || a.likely) && e.LoadStatus <= AlreadyLoaded {
		p.jam(f)
	}
	if loaded || a.cold && p.cfg.MissWhenNotLoaded {
		if e.LoadStatus == StartedLoad || e.LoadStatus == LoadStatusUnknown && a.cold && loaded {
			p.sawLoad(took-base-queue, f)
		}
		return
	}
	n, y := float64(a.inFlight), sane(took-base, -base, clip*(base+queue))
	for _, s := range []*fit{&w.slope, &p.slope} {
		s.nn, s.ny = s.nn*fitKeep+n, s.ny*fitKeep+y
	}
	w.delay.Observe(p.now, min(took-base, clip*float64(c.LatencyObjective))-(queue-at))
	if q := p.queued(e.Report); q >= 0 {
		p.pace.nn, p.pace.ny = p.pace.nn*fitKeep+q, p.pace.ny*fitKeep+max(y-(queue-at), 0)
	}
	net := max(took-queue, took/4)
	if r.Work > 0 {
		c.took += min(net, clip*base) - c.took/runMemory
		c.hinted += min(float64(r.Work), float64(time.Hour)) - c.hinted/runMemory
	}
	x := math.Log(cmp.Or(w.Weight, 1) / p.usual)
	p.speed.nn, p.speed.ny = speedKeep*p.speed.nn+x*x, speedKeep*p.speed.ny+x*(1-min(net/c.run, clip))
	f.n, c.n = min(f.n+1, runMemory), min(c.n+1, runMemory)
	f.run += (min(net, clip*f.run) - f.run) / f.n
	c.run += (min(net, clip*c.run) - c.run) / c.n
}

// jam has f keep further homes, as at all dispatchers; homes rank alike. Good answers take that back.
func (p *Policy) jam(f *function) { f.jams = min(f.jams+1, float64(p.ready)) }

// queued is how many requests wait at a worker by its report; below 0 where that doesn't tell.
func (p *Policy) queued(report []float64) float64 {
	if p.waiting < 0 || p.waiting >= len(report) {
		return -1
	}
	return sane(report[p.waiting], -1, 1000)
}

// reported takes a report, late and noisy, into w's constant as one answer: the delay such a queue meant.
func (p *Policy) reported(w *worker, report []float64) {
	if q := p.queued(report); q >= 0 {
		delay := q * p.pace.ny / max(p.pace.nn, 1)
		w.delay.Observe(p.now, min(delay, clip*float64(p.classes[0].LatencyObjective)))
	}
}

// sawLoad takes a load's real time into the ratio to the told one.
func (p *Policy) sawLoad(took float64, f *function) {
	p.failed, p.gate = 0, 0
	p.loadRatio += loadRate * (sane(took/float64(f.loadTime), 0.2, 10) - p.loadRatio)
}

// tell has few others know of an instance, renewed in its keep-alive: else each loads copies of its own.
func (p *Policy) tell(i *instance, f *function) {
	if p.cfg.GossipSupported && p.cfg.Routers > 1 && p.now-i.told > p.cfg.KeepAlive/4 {
		i.told = p.now
		p.news = binary.BigEndian.AppendUint64(p.news, uint64(i.w.Worker))
		p.news = binary.BigEndian.AppendUint64(p.news, uint64(f.id))
	}
}

func (p *Policy) told(news []byte) {
	for ; len(news) >= newsBytes; news = news[newsBytes:] {
		if w := p.workers[WorkerID(binary.BigEndian.Uint64(news))]; w != nil && w.State == Ready {
			i := p.instance(w, FunctionID(binary.BigEndian.Uint64(news[8:])))
			i.warmUntil = max(i.warmUntil, p.now+p.cfg.KeepAlive*9/10)
		}
	}
}

func (p *Policy) alive(w *worker) { w.heard, w.strikes, w.aside = p.now, 0, 0 }

// strike sets w aside after a sign of trouble, for longer each time.
func (p *Policy) strike(w *worker) {
	if p.now >= w.aside {
		w.strikes++
		w.aside = p.now + min(slowBeat<<min(w.strikes-1, 10), asideMost)
	}
}

// order has a missing function loaded at w, with r to follow.
func (p *Policy) order(r *request, w *worker, i *instance) bool {
	if !i.ordered {
		if p.cfg.LoadBudgetWindow > 0 && !r.pool.MayLoad(p.now, p.ration()) ||
			!p.emit(Load{Worker: w.Worker, Function: r.Function, Count: 1}) {
			return false
		}
		r.pool.LoadStarted(p.now)
		w.orders++
		i.ordered, i.loading = true, p.now+time.Duration(p.loadTime(r.fn))
	}
	i.parked = append(i.parked, r)
	r.shunned = slices.DeleteFunc(r.shunned, func(o *worker) bool { return o == w })
	return true
}

func (p *Policy) loadEnded(e LoadCompleted) {
	w, f := p.workers[e.Worker], p.funcs[e.Function]
	if w == nil || f == nil || w.copies[f.id] == nil || !w.copies[f.id].ordered {
		return
	}
	i := w.copies[f.id]
	i.ordered, i.loading = false, 0
	w.orders--
	switch e.Outcome {
	case Served:
		p.alive(w)
		i.warmUntil = p.now + p.cfg.KeepAlive
		p.tell(i, f)
		if e.Took > f.loadTime/5 { // else it stood, or nearly
			p.sawLoad(float64(e.Took), f)
		}
	case Failed:
		p.loadFailed(1)
	case ConnectionReset, Unreachable:
		p.broken(w, e.Outcome)
	}
	parked := i.parked
	i.parked = nil
	for _, r := range parked { // elsewhere, unless it stands
		if e.Outcome != Served && e.Outcome != ConnectionReset {
			r.shunned = append(r.shunned, w)
		}
		p.place(r)
	}
}

// broken takes in a connection that broke, maybe alone: a probe tells; or one that did not come up.
func (p *Policy) broken(w *worker, o Outcome) {
	if o == Unreachable || !w.probing && !p.probe(w) {
		p.strike(w)
	}
}

func (p *Policy) probe(w *worker) bool {
	w.probing, w.probed = p.emit(CheckHealth{Worker: w.Worker}), p.now
	return w.probing
}

func (p *Policy) probedBack(e HealthCheckCompleted) {
	w := p.workers[e.Worker]
	if w == nil {
		return
	}
	w.probing = false
	if e.Outcome != TimedOut && e.Outcome != Unreachable && e.Outcome != ConnectionReset {
		p.alive(w)
		p.reported(w, e.Report)
	} else if w.heard < w.probed {
		p.strike(w)
		for _, a := range slices.Clone(w.out) { // what may be sent elsewhere is called off
			r := a.req
			if c := &p.classes[r.Class]; !r.done && !r.stream && !a.called &&
				c.Idempotency != NotIdempotent &&
				(c.Idempotency == Idempotent || p.now < a.sent+c.DeduplicationWindow-2*p.cfg.Tick) {
				a.called = p.emit(CancelAttempt{Request: r.Request, Attempt: a.number})
			}
		}
	}
}

// beat is the housekeeping.
func (p *Policy) beat() {
	p.emit(SetTimer{After: beat, Token: beatToken})
	p.rate, p.span = fade*p.rate, fade*p.span+beat.Seconds()
	for _, w := range p.fleet {
		w.served *= fade
		rate := coldMargin * p.cfg.OverloadMultiple * p.capacity(w) * p.taken * w.might
		span := rate * p.cfg.OverloadWindow.Seconds()
		if w.room = min(w.room+rate*beat.Seconds(), max(span/4, p.classes[0].run)); w.room > 3*span {
			w.room -= p.classes[0].run // tokens expire: saved up, those of all dispatchers would meet
		}
		silent := len(w.out) > 0 && p.now-w.probed > 4*beat &&
			p.now-max(w.heard, w.out[0].sent) > 2*(w.out[0].expected+beat)
		if w.State != Gone && !w.probing && (silent || w.strikes > 0 && p.now >= w.aside) {
			p.probe(w) // back only when it answers
		}
	}
	p.news = p.news[max(0, len(p.news)-16*newsBytes):]
	if peers := float64(p.cfg.Routers - 1); len(p.news) > 0 && p.spare >= peers &&
		p.emit(SendGossip{To: -1, Data: slices.Clone(p.news)}) {
		p.news, p.spare = p.news[:0], p.spare-peers
	}
	held := p.held
	p.held = nil
	for _, r := range held {
		p.place(r)
	}
	if p.now-p.lastSweep < slowBeat {
		return
	}
	p.lastSweep = p.now // what is no longer used goes
	p.fleet = slices.DeleteFunc(p.fleet, func(w *worker) bool {
		gone := w.State == Gone && len(w.out) == 0 && w.orders == 0
		if gone {
			p.believed.forget(w)
			delete(p.workers, w.Worker)
		}
		return gone
	})
	p.weigh()
	for _, w := range p.fleet {
		for _, id := range slices.Sorted(maps.Keys(w.copies)) { // equal runs must do equal things
			i, f := w.copies[id], p.funcs[id]
			due, idle := i.warmUntil-p.now, i.inFlight == 0 && !i.ordered && p.now > i.loading
			if idle && (due < 0 || f != nil && due+f.keep < p.cfg.KeepAlive && p.emit(Unload{w.Worker, id})) {
				p.believed.drop(id, w)
			}
		}
	}
	maps.DeleteFunc(p.funcs, func(_ FunctionID, f *function) bool { return p.now-f.used > 2*time.Minute })
}

// finish gives the final answer: a refusal where true, else a failure. Clients come back spread by chance.
func (p *Policy) finish(r *request, wait float64) {
	a := Reject{Request: r.Request}
	if most := float64(p.cfg.MaxRetryAfter); p.cfg.RetryAfterSupported && most > 0 {
		a.RetryAfter = time.Duration(sane(wait, float64(beat), most) * (1 - p.rng.Float64()/2))
	}
	if !r.done && p.emit(a) {
		p.close(r)
	}
}

// close marks the request as over; attempts still out are called off.
func (p *Policy) close(r *request) {
	r.done = true
	p.emit(ClearTimer{Token: doneToken + uint64(r.Request)})
	for _, a := range r.attempts {
		if !a.ended && !a.called {
			a.called = p.emit(CancelAttempt{Request: r.Request, Attempt: a.number})
		}
	}
	p.release(r)
}

func (p *Policy) release(r *request) {
	if r.done && r.outstand == 0 {
		delete(p.reqs, r.Request)
	}
}

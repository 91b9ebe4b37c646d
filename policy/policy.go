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
	housekeepingInterval = 50 * time.Millisecond // housekeeping: well below any wanted time, cheap enough
	slowBeat             = time.Second           // trials, first spell aside, sweeps
	maxEjection          = 8 * time.Second       // no worker is set aside for longer without a new look
	rateSpan             = 10 * time.Second      // memory of the rate at which we are served
	rateRetention        = 1 - float64(housekeepingInterval)/float64(rateSpan)
	slowStartMargin      = 0.7             // part of the cold budget that we use: peers and chance need the rest
	regressionRetention  = 0.97            // a fit remembers about 30 answers
	sizeRetention        = 0.995           // the learned speeds of sizes remember about 200 answers
	sizePrior            = 0.5             // and begin with a dozen, at sizes half as large again, that show none
	slopePrior           = 8               // answers that the fleet's slope weighs in each worker's
	runPrior             = 5               // answers that the class's run weighs in each function's
	runMemory            = 30              // answers that a run estimate remembers
	queueSpan            = 3 * time.Second // memory of a worker's queue: it drains in about that
	fewResponses         = 6               // fewer are remembered for longer: none newer come
	maxMultiple          = 3               // an answer counts as at most this multiple of the estimate
	loadTimeWeight       = 0.2             // weight of one load in the ratio of real to told load time
	initialRun           = 0.25            // part of the wanted time that a run takes until we know better
	extraLaneLoad        = 0.3             // part of a load that a call beyond the lanes waits or has others pay

	gossipEntryBytes  = 16  // a worker and a function; 16 of them fill a message
	likelyChance      = 0.5 // a chance that is counted on where a wrong guess costs little
	housekeepingToken = 0
	subscribeToken    = 1
	deadlineToken     = 1 << 32 // plus the request
	hedgeToken        = 1 << 33 // plus the request
)

// Policy takes one dispatcher's decisions.
type Policy struct {
	cfg     Config
	rng     *rand.Rand
	router  uint64
	now     time.Duration
	actions []Action

	workers      map[WorkerID]*worker
	fleet        []*worker // in the order of their first listing
	readyWorkers int       // of them
	requests     map[RequestID]*request
	deferred     []*request // no worker may take them now; tried again at each beat
	functions    map[FunctionID]*function
	classes      []classState
	quotas       []bucket

	queueSlope             fit     // all workers' queueing, what an unheard worker counts as
	reportSlope            fit     // delay over the requests that reports say wait, at all workers
	queueField             int     // place of these in a report; -1: reports don't tell
	sizeEffect             fit     // of runs, less time over the log of the size, the usual one being 1
	meanWeight             float64 // size of a worker
	standingDelay          float64 // delay that three of four warm answers exceed
	loadTimeRatio          float64 // real load time over the told one
	warmRate               float64 // work that warm workers take in a second, by their might
	servedWork, servedSpan float64 // work served to us of late and the seconds that it took, decaying over rateSpan

	lastTrial, lastSweep time.Duration
	failedLoads          int           // loads that failed since one succeeded
	breakerUntil         time.Duration // no load begins before, while they fail

	arrivals, loadOrders times        // within LoadBudgetWindow
	replicas             replicaIndex // by function
	scratch
	gossip              []byte  // of instances, for the other dispatchers
	gossipTokens        float64 // calls of ours that pay for messages
	subscribed, started bool
}

type classState struct {
	Class
	meanRun, runs            float64 // mean time of a warm answer, in nanoseconds, and of how many
	measuredWork, hintedWork float64 // sums of the same and of the work hints, alike at first: a hint is believed
}

type bucket struct {
	level, rate float64
	at          time.Duration
}

type function struct {
	id                 FunctionID
	meanRun, runs      float64
	recentRequests     float64 // ours before the last, decaying over rateSpan
	loadTime, lastUsed time.Duration
	idleLimit          time.Duration // an idle copy is worth its memory for so long
	congestion         float64       // calls late or turned away where a copy stood, less those that were not
}

// fit is a line through the origin, queueing delay over requests in flight: the ratio of their sums.
type fit struct{ nn, ny float64 }

type worker struct {
	Endpoint
	slowStartTokens, servedWork           float64    // while cold: work that may go there now; work served to us of late
	capacity, hashWeight                  float64    // what it can do beside the others, and as much of it as ranks homes
	inFlight                              []*attempt // in the order of their sends
	queueSlope                            fit
	failureRates                          []stats.DecayingMean // by class, whether calls go unserved there
	queueDelay                            stats.DecayingMean   // the fit's constant: what others queue there
	checking                              bool
	consecutiveFailures, pendingLoads     int           // signs of trouble since it was heard; orders of ours that are out
	lastResponse, lastCheck, ejectedUntil time.Duration // last sign of life, last probe, set aside until then
	replicas                              map[FunctionID]*replica
	indexMark
}

// replica is what we believe of a function at a worker.
type replica struct {
	worker                  *worker
	loadedUntil, gossipedAt time.Duration // told: when we last told the others
	loadDue                 time.Duration // a load under way is expected to end then; 0: none
	inFlight, lanes         int           // calls of ours: there now, and as many as it was seen to serve at a time
	loadOrdered             bool          // our order is out
	waiting                 []*request    // wait for its answer
}

type request struct {
	RequestArrived
	function           *function
	deadline           time.Duration
	attempts           []*attempt
	inFlight           int
	possibleRun        *attempt // the first attempt that may have run
	done, streaming    bool
	overQuota, hedging bool      // beyond its tenant's share; a second copy is being sent
	pool               Pool      // the workers that it may go to
	retriesAfterRun    int       // attempts after one that may have run
	excluded           []*worker // turned it away or failed it
}

type attempt struct {
	request                   *request
	number                    int
	worker                    *worker
	pool                      Pool
	startedAt, expected       time.Duration
	inFlight                  int
	expectsLoad, likelyLoaded bool // thought cold; at a home where a copy likely stood
	ended, canceled           bool // called: we called it off
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
	p := &Policy{cfg: cfg, router: seed, rng: rand.New(rand.NewPCG(seed, 0x7468796d65)), loadTimeRatio: 1,
		queueField: slices.Index(cfg.LoadReportFields, "queue"),
		workers:    map[WorkerID]*worker{}, requests: map[RequestID]*request{}, functions: map[FunctionID]*function{}}
	for _, c := range cfg.Classes {
		run := initialRun * float64(c.LatencyObjective)
		p.classes = append(p.classes, classState{c, run, 0, runPrior * run, runPrior * run})
	}
	for _, t := range cfg.Tenants {
		rate := sane(t.RequestsPerSecond, 0, 1e9) / float64(cfg.Routers)
		p.quotas = append(p.quotas, bucket{level: rate + 1, rate: rate})
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
	p.now, p.actions = max(now, p.now), out
	if !p.started {
		p.started = true
		p.emit(SetTimer{After: housekeepingInterval, Token: housekeepingToken})
		p.emit(Subscribe{On: true})
	}
	switch e := ev.(type) {
	case EndpointList:
		p.endpointsListed(e)
	case RequestArrived:
		p.requestArrived(e)
	case AttemptCompleted:
		p.attemptCompleted(e)
	case LoadCompleted:
		p.loadCompleted(e)
	case HealthCheckCompleted:
		p.healthCheckCompleted(e)
	case GossipReceived:
		p.gossipReceived(e.Data)
	case ResponseStarted:
		if r := p.requests[e.Request]; r != nil {
			r.streaming = true
		}
	case RequestCanceled:
		if r := p.requests[e.Request]; r != nil && !r.done { // what was taken back widens no ration
			p.arrivals.drop(r.deadline - r.Remaining)
			p.closeRequest(r)
		}
	case TimerFired:
		if e.Token == housekeepingToken {
			p.housekeep()
		} else if e.Token == subscribeToken {
			p.emit(Subscribe{On: true})
		} else if e.Token >= hedgeToken {
			p.hedge(p.requests[RequestID(e.Token-hedgeToken)])
		} else if r := p.requests[RequestID(e.Token-deadlineToken)]; r != nil && e.Token >= deadlineToken && !r.streaming {
			p.reject(r, 0)
		}
	}
	return p.actions
}

// emit is the one place where actions leave. It keeps the rules: what would break one is not emitted.
func (p *Policy) emit(a Action) bool {
	may := true
	switch a := a.(type) {
	case StartAttempt:
		r, w := p.requests[a.Request], p.workers[a.Worker]
		may = r != nil && w != nil && p.mayStart(r) && w.State == Ready && r.pool.Contains(w.Worker) &&
			p.mayRetry(r, w) && p.slowStartAdmits(w)
	case Reject: // nothing may have run, or its repeat is harmless wherever it goes
		r := p.requests[a.Request]
		if r == nil || r.done {
			return false
		}
		if c := &p.classes[r.Class]; (r.possibleRun != nil || r.inFlight > 0) &&
			(c.Idempotency == NotIdempotent ||
				c.Idempotency == IdempotentWithKey && c.DeduplicationScope != DeduplicatedEverywhere) {
			p.actions = append(p.actions, FailRequest{Request: r.Request}) // promises nothing
			return true
		}
	case Load:
		w := p.workers[a.Worker]
		if w == nil || !p.cfg.LoadOrdersSupported || a.Count > 0 && w.State != Ready {
			return false
		}
		if a.Count > 0 && p.cfg.LoadBudgetWindow > 0 {
			if float64(p.loadOrders.since(p.now-p.cfg.LoadBudgetWindow)+1) > p.loadBudget() {
				return false
			}
			p.loadOrders.add(p.now, p.cfg.LoadBudgetWindow)
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
		p.actions = append(p.actions, a)
	}
	return may
}

// loadBudget is how many load orders the window may hold now.
func (p *Policy) loadBudget() float64 {
	taken := p.arrivals.since(p.now - p.cfg.LoadBudgetWindow + 1)
	return p.cfg.LoadBudgetMinimum + p.cfg.LoadBudgetRatio*float64(taken)
}

// mayStart tells whether r may go anywhere now: beside a first attempt only the copy that its terms ask for.
func (p *Policy) mayStart(r *request) bool {
	return !r.done && !r.streaming && (r.inFlight == 0 || r.inFlight == 1 && r.hedging) && p.now < r.deadline &&
		r.pool.HasCapacity()
}

// mayRetry tells whether its class and attempts let r go to w; w nil: to a worker that may yet be listed.
func (p *Policy) mayRetry(r *request, w *worker) bool {
	if p.cfg.MaxAttempts > 0 && len(r.attempts) >= p.cfg.MaxAttempts {
		return false
	}
	c, ran, t, n := &p.classes[r.Class], r.possibleRun, r.Policy, len(r.attempts)
	if t.MaxAttempts > 0 && n >= t.MaxAttempts ||
		ran != nil && t.RetriesAfterPossibleRun >= 0 && r.retriesAfterRun >= t.RetriesAfterPossibleRun ||
		ran == nil && !r.hedging && t.RetriesAfterProvenNoRun >= 0 && n > t.RetriesAfterProvenNoRun {
		return false
	}
	if ran == nil || c.Idempotency == Idempotent {
		return true
	}
	return c.Idempotency == IdempotentWithKey && p.now < ran.startedAt+c.DeduplicationWindow-p.cfg.Tick &&
		(w == nil || c.DeduplicationScope == DeduplicatedEverywhere ||
			c.DeduplicationScope == DeduplicatedInZone && w.Zone == ran.worker.Zone ||
			c.DeduplicationScope == DeduplicatedInCell && w.Cell == ran.worker.Cell)
}

// slowStartAdmits guards a cold worker from all dispatchers together: each lets come on its part of what warm ones
// serve, under the told multiple. A start owes a part of a call, by chance, so that many take turns.
func (p *Policy) slowStartAdmits(w *worker) bool {
	return w.slowStartTokens > 0 || p.slowStartShare(w) >= 1
}

// updateCapacities sees what workers can do beside each other, if warm: their size, to a power that is learned of the
// runs at large and small ones. What warm ones are seen to take by that is what a cold one will.
func (p *Policy) updateCapacities() {
	power, work, might := 1+sane(p.sizeEffect.ny/(p.sizeEffect.nn+sizePrior), 0, 2), 0.0, 0.0
	for _, w := range p.fleet {
		w.capacity = math.Pow(cmp.Or(w.Weight, 1), power)
		w.hashWeight = math.Pow(w.capacity, 1-1/float64(p.cfg.Routers))
		if w.State == Ready && p.slowStartShare(w) >= 1 {
			work, might = work+w.servedWork, might+w.capacity
		}
	}
	if might > 0 && p.servedSpan > 0 {
		p.warmRate = work / p.servedSpan / might
	}
}

// slowStartShare is the least share of its full slowStartShare that w has now.
func (p *Policy) slowStartShare(w *worker) float64 {
	if w.Started == 0 || p.cfg.SlowStartDuration <= 0 || p.cfg.OverloadWindow <= 0 ||
		p.cfg.OverloadMultiple <= 0 {
		return 1
	}
	age := sane(float64(p.now-w.Started)/float64(p.cfg.SlowStartDuration), 0, 1)
	return p.cfg.SlowStartInitialCapacity + (1-p.cfg.SlowStartInitialCapacity)*age
}

// endpointsListed follows the worker endpointsListed.
func (p *Policy) endpointsListed(l EndpointList) {
	if l.Kind == EndpointListFailed {
		p.subscribed = false
		p.emit(SetTimer{After: max(p.cfg.PollInterval/8, housekeepingInterval), Token: subscribeToken})
		return
	}
	p.subscribed = p.subscribed || l.Kind != CachedEndpointSnapshot
	named := map[WorkerID]bool{}
	for _, e := range l.Workers {
		named[e.Worker] = true
		w, known := p.workers[e.Worker]
		if !known {
			w = &worker{replicas: map[FunctionID]*replica{}, failureRates: make([]stats.DecayingMean, len(p.classes))}
			p.workers[e.Worker] = w
			p.fleet = append(p.fleet, w)
		}
		if !known || e.Started > w.Started { // a new process: nothing we believe of the old one holds
			for _, i := range w.replicas {
				i.loadedUntil, i.loadDue, i.lanes = 0, 0, 0
			}
			w.consecutiveFailures, w.ejectedUntil, w.servedWork, w.slowStartTokens = 0, 0, 0, -p.rng.Float64()*p.classes[0].meanRun
			w.queueSlope, w.queueDelay = fit{}, stats.DecayingMean{Span: queueSpan, Few: fewResponses}
			for c := range w.failureRates {
				w.failureRates[c] = w.queueDelay
			}
		}
		e.Weight = sane(e.Weight, 0, 1e9) // 0: not told
		w.Endpoint = e
	}
	p.readyWorkers, p.meanWeight = 0, 0
	for _, w := range p.fleet {
		p.meanWeight += cmp.Or(w.Weight, 1) / float64(len(p.fleet))
		if l.Kind != EndpointDelta && !named[w.Worker] {
			w.State = Gone
		}
		p.readyWorkers += int(w.State & Ready)
	}
	p.updateCapacities()
}

func (p *Policy) replica(w *worker, f FunctionID) *replica {
	i := w.replicas[f]
	if i == nil {
		i = &replica{worker: w}
		w.replicas[f] = i
		p.replicas.add(f, i)
	}
	return i
}

func (p *Policy) requestArrived(e RequestArrived) {
	if e.Class < 0 || e.Class >= len(p.classes) || p.requests[e.Request] != nil {
		return
	}
	if p.cfg.LoadBudgetWindow > 0 {
		p.arrivals.add(p.now, p.cfg.LoadBudgetWindow)
	}
	p.gossipTokens = min(p.gossipTokens+2, float64(p.cfg.Routers)) // a call pays for two receivers, at any size
	f := p.functions[e.Function]
	if f == nil {
		f = &function{id: e.Function, meanRun: p.classes[e.Class].meanRun}
		p.functions[e.Function] = f
	}
	f.recentRequests *= math.Exp(-float64(p.now-f.lastUsed) / float64(rateSpan))
	f.lastUsed = p.now
	if f.loadTime = e.LoadTime; f.loadTime <= 0 || f.loadTime > time.Hour {
		f.loadTime = p.classes[e.Class].LatencyObjective // not told: as long as an answer may take
	}
	e.Remaining = max(e.Remaining, 0)
	e.Policy = cmp.Or(e.Policy, &settingsAlone)
	r := &request{RequestArrived: e, function: f, deadline: p.now + e.Remaining, pool: e.Policy.Pool}
	p.requests[e.Request], f.idleLimit = r, p.idleLimit(r)
	r.overQuota = len(p.quotas) > 0
	if e.Tenant >= 0 && e.Tenant < len(p.quotas) { // a second's worth may be saved up, and chance
		b := &p.quotas[e.Tenant]
		b.level = min(b.level+b.rate*(p.now-b.at).Seconds(), b.rate+3*math.Sqrt(b.rate)+1)
		b.at, r.overQuota = p.now, b.level < 1
	}
	p.emit(SetTimer{After: max(e.Remaining-2*p.cfg.Tick, 0), Token: deadlineToken + uint64(e.Request)})
	p.schedule(r)
	f.recentRequests++
}

// idleLimit is how long an idle copy of r's function is worth its memory: until that cost what a call loses that
// finds none, in calls. Who shares it sees only his, so keeps it longer; so do rationed orders, for good.
func (p *Policy) idleLimit(r *request) time.Duration {
	c := &p.classes[r.Class]
	held := float64(p.arrivals.since(p.now-p.cfg.LoadBudgetWindow+1)) * p.cfg.MemoryPrice * r.MemoryMB
	if p.cfg.MissWhenNotLoaded || p.cfg.WorkerMemoryMB <= 0 || !(held > 0) {
		return p.cfg.KeepAlive
	}
	lost := (1 - c.LatePriorityWeight) * min((p.loadTime(r.function)+p.runTime(r))/float64(c.LatencyObjective), 1)
	lost *= p.cfg.WorkerMemoryMB * float64(max(p.readyWorkers, 1)) * float64(p.cfg.LoadBudgetWindow)
	return time.Duration(min(lost/held, float64(p.cfg.KeepAlive)))
}

// queueingDelay predicts the delay at w with n requests of ours in flight there.
func (p *Policy) queueingDelay(w *worker, n int) float64 {
	ny := w.queueSlope.ny + slopePrior*p.queueSlope.ny/max(p.queueSlope.nn, 1)
	return max(0, ny)/(w.queueSlope.nn+slopePrior)*float64(n) + max(0, w.queueDelay.Mean(p.now))
}

// runTime predicts the time of r's own work at a usual worker.
func (p *Policy) runTime(r *request) float64 {
	c := &p.classes[r.Class]
	if r.Work > 0 && r.Work < time.Hour {
		return c.measuredWork / c.hintedWork * float64(r.Work)
	}
	return (runPrior*c.meanRun + r.function.runs*r.function.meanRun) / (runPrior + r.function.runs)
}

// remainingLoad is the load time that r must expect at w.
func (p *Policy) remainingLoad(w *worker, r *request) float64 {
	if i := p.replicas.lookUp(w, r.function.id); i != nil {
		if i.loadDue > 0 {
			return math.Abs(float64(i.loadDue - p.now)) // one that is late is expected to be as late again
		}
		if p.now < i.loadedUntil || i.inFlight > 0 {
			return 0
		}
	}
	return p.loadTime(r.function)
}

// loadTime predicts a load that begins now: the told time, by the ratio seen of late.
func (p *Policy) loadTime(f *function) float64 { return p.loadTimeRatio * float64(f.loadTime) }

// predict is the design's score: the latency that r must expect at w if it goes there now.
func (p *Policy) predict(w *worker, r *request) float64 {
	score := p.queueingDelay(w, len(w.inFlight)) + p.runTime(r) + p.remainingLoad(w, r) +
		w.failureRates[r.Class].Mean(p.now)*float64(r.deadline-p.now) // who is not served waits in vain
	if i := p.replicas.lookUp(w, r.function.id); i != nil && float64(i.inFlight) >= max(r.Lanes, 1, float64(i.lanes)) {
		score += extraLaneLoad * p.loadTime(r.function) // no lane is free, as far as we know: w may begin a further copy
	}
	if len(w.inFlight) > 0 { // censored data: it has been silent for longer than expected of its oldest attempt
		score += max(0, float64(p.now-max(w.lastResponse, w.inFlight[0].startedAt)-w.inFlight[0].expected))
	}
	return score
}

// rendezvousScore ranks w for f alike at all dispatchers, by its size; what can't be above least needs no logarithm.
func rendezvousScore(f FunctionID, w WorkerID, size, least float64) float64 {
	x := uint64(f)*0x9e3779b97f4a7c15 ^ uint64(w)*0xc2b2ae3d27d4eb4f
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	if u := (float64((x^x>>29)>>11) + 1) / (1 << 53); (u-1)/size > least {
		return math.Log(u) / size
	}
	return least
}

// rendezvousWorker returns the home of r's function, the first in rank of those that we think cold, and the chance that
// a copy stands there all the same. A function deserves its share of our work in homes, or as many as it met
// jams, as far as others carry it: ours show in flight. Each dispatcher keeps to one; others keep it warm.
func (p *Policy) rendezvousWorker(r *request, cands []*worker) (at *worker, chance float64) {
	f, run, slot, none := r.function, p.runTime(r), 0, math.Inf(-1)
	homes := 1 + int((1-1/float64(p.cfg.Routers))*max(f.recentRequests*run*float64(p.readyWorkers)/max(p.servedWork, run), f.congestion))
	for s, best := 1, rendezvousScore(f.id, WorkerID(p.router), 1, none); s < min(homes, p.readyWorkers); s++ {
		if h := rendezvousScore(f.id+FunctionID(s), WorkerID(p.router), 1, best); h > best {
			slot, best = s, h
		}
	}
	key, top, rank := f.id^FunctionID(slot)<<48, none, none
	for _, w := range cands {
		h := rendezvousScore(key, w.Worker, w.hashWeight, min(top, rank))
		top = max(top, h)
		if h > rank && p.beginsLoad(w, r) {
			at, rank = w, h
		}
	}
	chance = min(likelyChance, 0.2*float64(p.cfg.Routers+1)) // of a lone dispatcher only what it lost sight of
	if at != nil && rank == top {
		others := f.recentRequests * float64(p.cfg.Routers-1) / float64(homes)
		chance = max(chance, 1-math.Exp(-others*float64(p.cfg.KeepAlive)/float64(rateSpan)))
	}
	return at, chance
}

// candidates are the workers that may take r, without those set aside and those that turned it away.
func (p *Policy) candidates(r *request) []*worker {
	p.candidateBuffer = p.candidateBuffer[:0]
	anywhere := p.mayStart(r) && p.mayRetry(r, nil)
	keyed := r.possibleRun != nil && p.classes[r.Class].Idempotency == IdempotentWithKey
	for _, w := range p.fleet {
		if anywhere && w.State == Ready && !p.ejected(w) && r.pool.Contains(w.Worker) &&
			!slices.Contains(r.excluded, w) && (!keyed || p.mayRetry(r, w)) && p.slowStartAdmits(w) {
			p.candidateBuffer = append(p.candidateBuffer, w)
		}
	}
	return p.candidateBuffer
}

// beginsLoad tells whether r would begin a load at w.
func (p *Policy) beginsLoad(w *worker, r *request) bool {
	i := p.replicas.lookUp(w, r.function.id)
	return (i == nil || i.loadDue == 0) && p.remainingLoad(w, r) > 0
}

// openBreaker guards the shared store: while loads fail they begin one at a time and ever more slowly, and
// cold calls are held, until one succeeds. A failure by chance costs one short pause.
func (p *Policy) openBreaker(n int) {
	p.failedLoads += n
	p.breakerUntil = p.now + housekeepingInterval<<min(p.failedLoads, 5)
}

// ejected: w is set aside until a probe is answered or, without, for its spell, then on one trial at a time.
func (p *Policy) ejected(w *worker) bool {
	return w.consecutiveFailures > 0 && (p.cfg.HealthCheckSupported || p.now < w.ejectedUntil || len(w.inFlight) > 0)
}

// schedule sends r to the worker with the lowest predicted latency, or refuses or holds it.
func (p *Policy) schedule(r *request) {
	if r.done || r.inFlight > 0 {
		return
	}
	cands, until := p.candidates(r), p.now
	for len(cands) == 0 && p.mayRetry(r, nil) { // its pool can't take it
		next := r.pool.Overflow(p.now)
		if next == nil {
			break
		}
		r.pool = next
		cands = p.candidates(r)
	}
	at, discount := p.rendezvousWorker(r, cands)
	if p.now < p.breakerUntil && len(cands) > 0 { // nothing begins a load, as far as we know
		until = p.breakerUntil
		cands = slices.DeleteFunc(cands, func(w *worker) bool {
			return p.beginsLoad(w, r) && (w != at || discount < likelyChance || len(r.attempts) > 0)
		})
	}
	if len(cands) == 0 {
		for _, w := range p.fleet { // nobody else can take it: those set aside are looked at sooner
			if w.consecutiveFailures > 0 && r.pool.Contains(w.Worker) {
				w.ejectedUntil = min(w.ejectedUntil, max(p.now, w.lastCheck+slowBeat/2))
			}
		}
		if float64(r.deadline-until) > p.runTime(r) && p.mayDefer(r) {
			p.deferred = append(p.deferred, r)
		} else {
			p.reject(r, float64(until-p.now))
		}
		return
	}
	best := math.Inf(1)
	scores, run, load := p.scoreBuffer[:0], p.runTime(r), p.loadTime(r.function)
	for _, w := range cands {
		// Where no copy stands a call takes its run and a load at the least: most need no closer look.
		score := run + load
		if w == at || p.replicas.lookUp(w, r.function.id) != nil || score <= best+float64(p.cfg.Tick) {
			score = p.predict(w, r)
		}
		if w == at {
			score -= discount * load
		}
		scores, best = append(scores, score), min(best, score)
	}
	p.scoreBuffer = scores
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
	if w == at && discount >= likelyChance {
		sure -= p.remainingLoad(w, r)
	}
	shed, wait := p.shouldShed(r, w, sure)
	if sure > float64(r.deadline-p.now) || r.overQuota && best > float64(p.classes[r.Class].LatencyObjective) ||
		r.possibleRun == nil && shed {
		if p.now-p.lastTrial < slowBeat || r.overQuota {
			p.reject(r, wait)
			return
		}
		p.lastTrial = p.now // a bounded trial, so that a wrong estimate can be corrected
	}
	p.startAttempt(r, w, time.Duration(score), w == at && discount >= likelyChance)
}

// mayDefer tells whether waiting may help r: a worker set aside or cold may take it later, or one be listed.
func (p *Policy) mayDefer(r *request) bool {
	return r.pool.HasCapacity() && (p.readyWorkers == 0 && p.mayRetry(r, nil) ||
		slices.ContainsFunc(p.fleet, func(w *worker) bool {
			return w.State == Ready && r.pool.Contains(w.Worker) && !slices.Contains(r.excluded, w) &&
				p.mayRetry(r, w)
		}))
}

// shouldShed answers overload: a standing delay that even fast answers show serves nobody, so a growing part of
// what never ran gives way, first what is beyond its tenant's share or late at best, then the least worth.
// The yardstick is the wanted time of classes worth as much or more; the wait is until the queue lets r in.
func (p *Policy) shouldShed(r *request, w *worker, score float64) (shed bool, wait float64) {
	c := &p.classes[r.Class]
	own := float64(min(c.LatencyObjective, cmp.Or(r.Policy.LatencyObjective, c.LatencyObjective)))
	start, aim := 0.5, own
	for i := range p.classes {
		if o := &p.classes[i]; p.valuePerWork(o) > 1.5*p.valuePerWork(c) {
			start, aim = 0.25, min(aim, float64(o.LatencyObjective))
		}
	}
	if r.overQuota {
		start = 0.15 * p.cfg.OverQuotaWeight
	} else if score > own {
		start = 0.15
	}
	others := (1 - 1/float64(p.cfg.Routers)) * w.queueDelay.Mean(p.now) // what they queue at the best worker
	delay := max(p.standingDelay, others)
	return p.rng.Float64() < min(2*(delay/aim-start), 0.9), delay - start*aim
}

// valuePerWork is the worth of a class for the work that it takes.
func (p *Policy) valuePerWork(c *classState) float64 {
	if p.cfg.WeightByWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.meanRun, 1)
}

func (p *Policy) startAttempt(r *request, w *worker, expected time.Duration, likely bool) {
	load, i := p.remainingLoad(w, r), p.replica(w, r.function.id)
	if !p.emit(StartAttempt{Request: r.Request, Worker: w.Worker, Limit: r.Policy.AttemptTimeout}) {
		return
	}
	a := &attempt{request: r, number: len(r.attempts), worker: w, pool: r.pool, startedAt: p.now, expected: expected,
		inFlight: len(w.inFlight), expectsLoad: load > 0, likelyLoaded: likely}
	r.attempts = append(r.attempts, a)
	a.pool.AttemptStarted()
	if r.possibleRun != nil {
		r.retriesAfterRun++
	}
	if after := r.Policy.HedgeDelay; after > 0 && a.number == 0 {
		p.emit(SetTimer{After: after, Token: hedgeToken + uint64(r.Request)})
	}
	if !r.overQuota && a.number == 0 && r.Tenant >= 0 && r.Tenant < len(p.quotas) {
		p.quotas[r.Tenant].level-- // only what is sent counts: a refused call's repeats are the same call
	}
	r.inFlight++
	w.inFlight = append(w.inFlight, a)
	i.inFlight++
	w.slowStartTokens -= p.classes[r.Class].meanRun
	if !p.cfg.MissWhenNotLoaded && load > 0 && i.loadDue == 0 {
		i.loadDue = p.now + time.Duration(load)
	}
	if p.failedLoads > 0 && load > 0 && p.now >= p.breakerUntil {
		p.openBreaker(0)
	}
}

// hedge sends r to another worker too, one that it need not load at, when the first is yet to answer.
func (p *Policy) hedge(r *request) {
	if r == nil || r.inFlight != 1 || !p.cfg.HedgingAllowed || p.classes[r.Class].Idempotency != Idempotent {
		return
	}
	first := r.attempts[slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.ended })].worker
	r.hedging = true
	at, best := (*worker)(nil), float64(r.deadline-p.now)
	for _, w := range p.candidates(r) {
		if score := p.predict(w, r); w != first && !p.beginsLoad(w, r) && score < best {
			at, best = w, score
		}
	}
	if at != nil {
		p.startAttempt(r, at, time.Duration(best), false)
	}
	r.hedging = false
}

// attemptCompleted takes in how an attempt attemptCompleted and decides what follows.
func (p *Policy) attemptCompleted(e AttemptCompleted) {
	r := p.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	w, i := a.worker, p.replica(a.worker, r.function.id)
	a.ended, r.inFlight, i.inFlight = true, r.inFlight-1, i.inFlight-1
	a.pool.AttemptFinished()
	w.inFlight = slices.DeleteFunc(w.inFlight, func(o *attempt) bool { return o == a })
	if !e.Outcome.NeverRan() && r.possibleRun == nil {
		r.possibleRun = a
	}
	e.Took = min(max(e.Took, 0), time.Hour)
	if e.Outcome != ConnectionReset || a.number > 0 { // it may break alone: its worker still has the copy
		r.excluded = append(r.excluded, w) // read only if another attempt follows
	}
	switch e.Outcome {
	case Served:
		p.workerResponded(w)
		w.failureRates[r.Class].Observe(p.now, 0)
		p.servedWork, w.servedWork = p.servedWork+p.classes[r.Class].meanRun, w.servedWork+p.classes[r.Class].meanRun
		p.learn(a, e)
	case Failed, Overloaded, NotLoaded:
		p.workerResponded(w)
		if e.Outcome == NotLoaded || e.LoadStatus == LoadFailed {
			i.loadedUntil, i.loadDue, i.lanes = 0, 0, 0
		} else if e.Outcome == Overloaded && i.inFlight == 0 && !i.loadOrdered { // it began no load
			i.loadDue = 0
		}
		switch {
		case e.LoadStatus == LoadFailed:
			p.openBreaker(1)
		case e.Outcome == Failed:
			w.failureRates[r.Class].Observe(p.now, 1)
		case e.Outcome == Overloaded && (!a.expectsLoad || a.likelyLoaded):
			p.congested(r.function)
			p.loadReported(w, e.Report)
			w.queueDelay.Observe(p.now, max(maxMultiple*p.runTime(r), w.queueDelay.Mean(p.now)))
		}
	case ConnectionReset, Unreachable:
		if e.Outcome == ConnectionReset && !w.checking { // one sign, however many calls were on the connection
			w.failureRates[r.Class].Observe(p.now, 1)
		}
		p.connectionFailed(w, e.Outcome)
	case Cancelled, TimedOut: // it would have taken longer still; where others were answered, they tell
		over := float64(e.Took) - p.runTime(r)
		if !a.expectsLoad && w.queueDelay.Updated() < a.startedAt && over > w.queueDelay.Mean(p.now) {
			w.queueDelay.Observe(p.now, min(over, maxMultiple*float64(p.classes[r.Class].LatencyObjective)))
		}
	}
	if e.Closed {
		p.closeRequest(r)
	}
	switch {
	case r.done || r.inFlight > 0:
	case e.Outcome == NotLoaded && p.orderLoad(r, w, i):
	case e.Outcome == NotSent || e.Outcome == TimedOut && p.now >= r.deadline-2*p.cfg.Tick:
		p.reject(r, 0)
	default:
		p.schedule(r)
	}
	p.release(r)
}

// learn takes a served attempt into the estimates.
func (p *Policy) learn(a *attempt, e AttemptCompleted) {
	r, w, f := a.request, a.worker, a.request.function
	p.loadReported(w, e.Report)
	i, c, took, base := p.replica(w, f.id), &p.classes[r.Class], float64(e.Took), p.runTime(r)
	queue, at := p.queueingDelay(w, a.inFlight), max(0, w.queueDelay.Mean(p.now))
	loaded := e.LoadStatus == StartedLoad || e.LoadStatus == WaitedForLoad
	if !p.cfg.LoadStatusReported && !p.cfg.MissWhenNotLoaded { // not told: a load shows in the time
		loaded = took > base+queue+p.loadTime(f)/2
	}
	if !a.expectsLoad && e.LoadStatus <= AlreadyLoaded { // a guessed load may be a queue
		answers := 20.0 // slowly up to what took longer, fast down
		if took < p.standingDelay {
			answers = 4
		}
		p.standingDelay += (min(took, maxMultiple*float64(c.LatencyObjective)) - p.standingDelay) / answers
	}
	i.loadedUntil, i.loadDue, i.lanes = p.now+p.cfg.KeepAlive, 0, max(i.lanes, i.inFlight+1)
	p.gossipReplica(i, f)
	if took < float64(c.LatencyObjective) {
		f.congestion *= regressionRetention
	} else if (!a.expectsLoad || a.likelyLoaded) && e.LoadStatus <= AlreadyLoaded {
		p.congested(f)
	}
	if loaded || a.expectsLoad && p.cfg.MissWhenNotLoaded {
		if e.LoadStatus == StartedLoad || e.LoadStatus == LoadStatusUnknown && a.expectsLoad && loaded {
			p.observeLoadTime(took-base-queue, f)
		}
		return
	}
	n, y := float64(a.inFlight), sane(took-base, -base, maxMultiple*(base+queue))
	for _, s := range []*fit{&w.queueSlope, &p.queueSlope} {
		s.nn, s.ny = s.nn*regressionRetention+n, s.ny*regressionRetention+y
	}
	w.queueDelay.Observe(p.now, min(took-base, maxMultiple*float64(c.LatencyObjective))-(queue-at))
	if q := p.reportedQueue(e.Report); q >= 0 {
		p.reportSlope.nn, p.reportSlope.ny = p.reportSlope.nn*regressionRetention+q, p.reportSlope.ny*regressionRetention+max(y-(queue-at), 0)
	}
	net := max(took-queue, took/4)
	if r.Work > 0 {
		c.measuredWork += min(net, maxMultiple*base) - c.measuredWork/runMemory
		c.hintedWork += min(float64(r.Work), float64(time.Hour)) - c.hintedWork/runMemory
	}
	x := math.Log(cmp.Or(w.Weight, 1) / p.meanWeight)
	p.sizeEffect.nn, p.sizeEffect.ny = sizeRetention*p.sizeEffect.nn+x*x, sizeRetention*p.sizeEffect.ny+x*(1-min(net/c.meanRun, maxMultiple))
	f.runs, c.runs = min(f.runs+1, runMemory), min(c.runs+1, runMemory)
	f.meanRun += (min(net, maxMultiple*f.meanRun) - f.meanRun) / f.runs
	c.meanRun += (min(net, maxMultiple*c.meanRun) - c.meanRun) / c.runs
}

// congested has f keep further homes, as at all dispatchers; homes rank alike. Good answers take that back.
func (p *Policy) congested(f *function) { f.congestion = min(f.congestion+1, float64(p.readyWorkers)) }

// reportedQueue is how many requests wait at a worker by its report; below 0 where that doesn't tell.
func (p *Policy) reportedQueue(report []float64) float64 {
	if p.queueField < 0 || p.queueField >= len(report) {
		return -1
	}
	return sane(report[p.queueField], -1, 1000)
}

// loadReported takes a report, late and noisy, into w's constant as one answer: the delay such a queue meant.
func (p *Policy) loadReported(w *worker, report []float64) {
	if q := p.reportedQueue(report); q >= 0 {
		delay := q * p.reportSlope.ny / max(p.reportSlope.nn, 1)
		w.queueDelay.Observe(p.now, min(delay, maxMultiple*float64(p.classes[0].LatencyObjective)))
	}
}

// observeLoadTime takes a load's real time into the ratio to the told one.
func (p *Policy) observeLoadTime(took float64, f *function) {
	p.failedLoads, p.breakerUntil = 0, 0
	p.loadTimeRatio += loadTimeWeight * (sane(took/float64(f.loadTime), 0.2, 10) - p.loadTimeRatio)
}

// gossipReplica has few others know of an instance, renewed in its keep-alive: else each loads copies of its own.
func (p *Policy) gossipReplica(i *replica, f *function) {
	if p.cfg.GossipSupported && p.cfg.Routers > 1 && p.now-i.gossipedAt > p.cfg.KeepAlive/4 {
		i.gossipedAt = p.now
		p.gossip = binary.BigEndian.AppendUint64(p.gossip, uint64(i.worker.Worker))
		p.gossip = binary.BigEndian.AppendUint64(p.gossip, uint64(f.id))
	}
}

func (p *Policy) gossipReceived(news []byte) {
	for ; len(news) >= gossipEntryBytes; news = news[gossipEntryBytes:] {
		if w := p.workers[WorkerID(binary.BigEndian.Uint64(news))]; w != nil && w.State == Ready {
			i := p.replica(w, FunctionID(binary.BigEndian.Uint64(news[8:])))
			i.loadedUntil = max(i.loadedUntil, p.now+p.cfg.KeepAlive*9/10)
		}
	}
}

func (p *Policy) workerResponded(w *worker) {
	w.lastResponse, w.consecutiveFailures, w.ejectedUntil = p.now, 0, 0
}

// eject sets w aside after a sign of trouble, for longer each time.
func (p *Policy) eject(w *worker) {
	if p.now >= w.ejectedUntil {
		w.consecutiveFailures++
		w.ejectedUntil = p.now + min(slowBeat<<min(w.consecutiveFailures-1, 10), maxEjection)
	}
}

// orderLoad has a missing function loaded at w, with r to follow.
func (p *Policy) orderLoad(r *request, w *worker, i *replica) bool {
	if !i.loadOrdered {
		if p.cfg.LoadBudgetWindow > 0 && !r.pool.MayLoad(p.now, p.loadBudget()) ||
			!p.emit(Load{Worker: w.Worker, Function: r.Function, Count: 1}) {
			return false
		}
		r.pool.LoadStarted(p.now)
		w.pendingLoads++
		i.loadOrdered, i.loadDue = true, p.now+time.Duration(p.loadTime(r.function))
	}
	i.waiting = append(i.waiting, r)
	r.excluded = slices.DeleteFunc(r.excluded, func(o *worker) bool { return o == w })
	return true
}

func (p *Policy) loadCompleted(e LoadCompleted) {
	w, f := p.workers[e.Worker], p.functions[e.Function]
	if w == nil || f == nil || w.replicas[f.id] == nil || !w.replicas[f.id].loadOrdered {
		return
	}
	i := w.replicas[f.id]
	i.loadOrdered, i.loadDue = false, 0
	w.pendingLoads--
	switch e.Outcome {
	case Served:
		p.workerResponded(w)
		i.loadedUntil = p.now + p.cfg.KeepAlive
		p.gossipReplica(i, f)
		if e.Took > f.loadTime/5 { // else it stood, or nearly
			p.observeLoadTime(float64(e.Took), f)
		}
	case Failed:
		p.openBreaker(1)
	case ConnectionReset, Unreachable:
		p.connectionFailed(w, e.Outcome)
	}
	parked := i.waiting
	i.waiting = nil
	for _, r := range parked { // elsewhere, unless it stands
		if e.Outcome != Served && e.Outcome != ConnectionReset {
			r.excluded = append(r.excluded, w)
		}
		p.schedule(r)
	}
}

// connectionFailed takes in a connection that broke, maybe alone: a probe tells; or one that did not come up.
func (p *Policy) connectionFailed(w *worker, o Outcome) {
	if o == Unreachable || !w.checking && !p.checkHealth(w) {
		p.eject(w)
	}
}

func (p *Policy) checkHealth(w *worker) bool {
	w.checking, w.lastCheck = p.emit(CheckHealth{Worker: w.Worker}), p.now
	return w.checking
}

func (p *Policy) healthCheckCompleted(e HealthCheckCompleted) {
	w := p.workers[e.Worker]
	if w == nil {
		return
	}
	w.checking = false
	if e.Outcome != TimedOut && e.Outcome != Unreachable && e.Outcome != ConnectionReset {
		p.workerResponded(w)
		p.loadReported(w, e.Report)
	} else if w.lastResponse < w.lastCheck {
		p.eject(w)
		for _, a := range slices.Clone(w.inFlight) { // what may be sent elsewhere is called off
			r := a.request
			if c := &p.classes[r.Class]; !r.done && !r.streaming && !a.canceled &&
				c.Idempotency != NotIdempotent &&
				(c.Idempotency == Idempotent || p.now < a.startedAt+c.DeduplicationWindow-2*p.cfg.Tick) {
				a.canceled = p.emit(CancelAttempt{Request: r.Request, Attempt: a.number})
			}
		}
	}
}

// housekeep is the housekeeping.
func (p *Policy) housekeep() {
	p.emit(SetTimer{After: housekeepingInterval, Token: housekeepingToken})
	p.servedWork, p.servedSpan = rateRetention*p.servedWork, rateRetention*p.servedSpan+housekeepingInterval.Seconds()
	for _, w := range p.fleet {
		w.servedWork *= rateRetention
		rate := slowStartMargin * p.cfg.OverloadMultiple * p.slowStartShare(w) * p.warmRate * w.capacity
		span := rate * p.cfg.OverloadWindow.Seconds()
		if w.slowStartTokens = min(w.slowStartTokens+rate*housekeepingInterval.Seconds(), max(span/4, p.classes[0].meanRun)); w.slowStartTokens > 3*span {
			w.slowStartTokens -= p.classes[0].meanRun // tokens expire: saved up, those of all dispatchers would meet
		}
		silent := len(w.inFlight) > 0 && p.now-w.lastCheck > 4*housekeepingInterval &&
			p.now-max(w.lastResponse, w.inFlight[0].startedAt) > 2*(w.inFlight[0].expected+housekeepingInterval)
		if w.State != Gone && !w.checking && (silent || w.consecutiveFailures > 0 && p.now >= w.ejectedUntil) {
			p.checkHealth(w) // back only when it answers
		}
	}
	p.gossip = p.gossip[max(0, len(p.gossip)-16*gossipEntryBytes):]
	if peers := float64(p.cfg.Routers - 1); len(p.gossip) > 0 && p.gossipTokens >= peers &&
		p.emit(SendGossip{To: -1, Data: slices.Clone(p.gossip)}) {
		p.gossip, p.gossipTokens = p.gossip[:0], p.gossipTokens-peers
	}
	held := p.deferred
	p.deferred = nil
	for _, r := range held {
		p.schedule(r)
	}
	if p.now-p.lastSweep < slowBeat {
		return
	}
	p.lastSweep = p.now // what is no longer used goes
	p.fleet = slices.DeleteFunc(p.fleet, func(w *worker) bool {
		gone := w.State == Gone && len(w.inFlight) == 0 && w.pendingLoads == 0
		if gone {
			p.replicas.removeWorker(w)
			delete(p.workers, w.Worker)
		}
		return gone
	})
	p.updateCapacities()
	for _, w := range p.fleet {
		for _, id := range slices.Sorted(maps.Keys(w.replicas)) { // equal runs must do equal things
			i, f := w.replicas[id], p.functions[id]
			due, idle := i.loadedUntil-p.now, i.inFlight == 0 && !i.loadOrdered && p.now > i.loadDue
			if idle && (due < 0 || f != nil && due+f.idleLimit < p.cfg.KeepAlive && p.emit(Unload{w.Worker, id})) {
				p.replicas.remove(id, w)
			}
		}
	}
	maps.DeleteFunc(p.functions, func(_ FunctionID, f *function) bool { return p.now-f.lastUsed > 2*time.Minute })
}

// reject gives the final answer: a refusal where true, else a failure. Clients come back spread by chance.
func (p *Policy) reject(r *request, wait float64) {
	a := Reject{Request: r.Request}
	if most := float64(p.cfg.MaxRetryAfter); p.cfg.RetryAfterSupported && most > 0 {
		a.RetryAfter = time.Duration(sane(wait, float64(housekeepingInterval), most) * (1 - p.rng.Float64()/2))
	}
	if !r.done && p.emit(a) {
		p.closeRequest(r)
	}
}

// closeRequest marks the request as over; attempts still out are called off.
func (p *Policy) closeRequest(r *request) {
	r.done = true
	p.emit(ClearTimer{Token: deadlineToken + uint64(r.Request)})
	for _, a := range r.attempts {
		if !a.ended && !a.canceled {
			a.canceled = p.emit(CancelAttempt{Request: r.Request, Attempt: a.number})
		}
	}
	p.release(r)
}

func (p *Policy) release(r *request) {
	if r.done && r.inFlight == 0 {
		delete(p.requests, r.Request)
	}
}

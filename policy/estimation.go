package policy

import (
	"cmp"
	"math"
	"time"

	"crankhold/internal/stats"
)

// Tuned values. None is fitted to one deployment.
const (
	rateSpan            = 10 * time.Second // memory of the rate at which we are served
	rateRetention       = 1 - float64(housekeepingInterval)/float64(rateSpan)
	regressionRetention = 0.97            // a regression remembers about 30 responses
	sizeRetention       = 0.995           // the effect of size remembers about 200 responses
	sizePrior           = 0.5             // and begins with a dozen, at sizes half as large again, that show none
	slopePrior          = 8               // responses that the fleet's slope weighs in each worker's
	runPrior            = 5               // responses that the class's run weighs in each function's
	runMemory           = 30              // responses that a run estimate remembers
	queueSpan           = 3 * time.Second // memory of a worker's queue: it drains in about that
	fewResponses        = 6               // fewer are remembered for longer: none newer come
	maxMultiple         = 3               // a response counts as at most this multiple of the estimate
	loadTimeWeight      = 0.2             // of one load in the ratio of measured to announced load time
	initialRun          = 0.25            // part of the latency objective that a run takes until we know better
	extraLaneLoad       = 0.3             // part of a load that a request beyond the lanes waits or has others pay
)

// estimates are those that hold for all workers.
type estimates struct {
	queueSlope    stats.Regression // of all workers' queueing, what an unknown worker counts as
	reportSlope   stats.Regression // delay over the requests that load reports say are queued
	queueField    int              // index of these in a report; -1: not reported
	sizeEffect    stats.Regression // of runs, less time over the log of the size, the mean size being 1
	meanWeight    float64
	standingDelay float64 // that three of four responses from loaded replicas exceed
	loadTimeRatio float64 // measured load time over the announced one
	warmRate      float64 // work that warm workers take in a second, by their capacity
	servedWork    float64 // for us, and the seconds that it took, both decaying over rateSpan
	servedSpan    float64
}

type classState struct {
	Class
	run                      stats.RunningMean // of responses from loaded replicas, in nanoseconds
	measuredWork, hintedWork float64           // sums of work, alike at first: a hint is believed
}

type function struct {
	id                 FunctionID
	run                stats.RunningMean // in nanoseconds
	recentRequests     float64           // ours before the last, decaying over rateSpan
	loadTime, lastUsed time.Duration
	idleLimit          time.Duration // an idle replica is worth its memory for so long
	congestion         float64       // late or rejected though a replica stood, less those that were not
}

// queueingDelay predicts the delay at w with n attempts of ours in flight there.
func (p *Policy) queueingDelay(w *worker, n int) float64 {
	delays := w.queueSlope.SumY + p.queueSlope.Predict(slopePrior, 1)
	return max(0, delays)/(w.queueSlope.SumX+slopePrior)*float64(n) + max(0, w.queueDelay.Mean(p.now))
}

// runTime predicts the time of r's own work at a usual worker.
func (p *Policy) runTime(r *request) float64 {
	if r.Work > 0 && r.Work < time.Hour {
		return r.class.measuredWork / r.class.hintedWork * float64(r.Work)
	}
	f := &r.function.run
	return (runPrior*r.class.run.Mean + f.Count*f.Mean) / (runPrior + f.Count)
}

// newLoadTime predicts a load that begins now: the announced time, by the ratio measured recently.
func (p *Policy) newLoadTime(f *function) float64 { return p.loadTimeRatio * float64(f.loadTime) }

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
	return p.newLoadTime(r.function)
}

// beginsLoad reports whether r would begin a load at w.
func (p *Policy) beginsLoad(w *worker, r *request) bool {
	i := p.replicas.lookUp(w, r.function.id)
	return (i == nil || i.loadDue == 0) && p.remainingLoad(w, r) > 0
}

// predict is the latency that r must expect at w if it goes there now.
func (p *Policy) predict(w *worker, r *request) float64 {
	latency := p.queueingDelay(w, len(w.inFlight)) + p.runTime(r) + p.remainingLoad(w, r) +
		w.failureRates[r.Class].Mean(p.now)*float64(r.deadline-p.now) // a request that fails waits in vain
	i := p.replicas.lookUp(w, r.function.id)
	if i != nil && float64(i.inFlight) >= max(r.Lanes, 1, float64(i.lanes)) {
		latency += extraLaneLoad * p.newLoadTime(r.function) // no lane is free: w may begin a further replica
	}
	if len(w.inFlight) > 0 { // censored data: silent for longer than expected of the oldest attempt
		oldest := w.inFlight[0]
		latency += max(0, float64(p.now-max(w.lastResponse, oldest.startedAt)-oldest.expected))
	}
	return latency
}

// observeOutcome takes how an attempt ended into the estimates.
func (p *Policy) observeOutcome(a *attempt, i *replica, e AttemptCompleted) {
	w, class := a.worker, a.request.class
	switch e.Outcome {
	case Served:
		p.workerResponded(w)
		w.failureRates[a.request.Class].Observe(p.now, 0)
		p.servedWork += class.run.Mean
		w.servedWork += class.run.Mean
		p.learn(a, i, e)
	case Failed, Overloaded, NotLoaded:
		p.workerResponded(w)
		p.observeFailure(a, i, e)
	case ConnectionReset, Unreachable:
		if e.Outcome == ConnectionReset && !w.checking { // one failure, however many attempts were on it
			w.failureRates[a.request.Class].Observe(p.now, 1)
		}
		p.connectionFailed(w, e.Outcome)
	case Cancelled, TimedOut: // it would have taken longer still; others that were served say more
		beyond := float64(e.Took) - p.runTime(a.request)
		if !a.expectsLoad && w.queueDelay.Updated() < a.startedAt && beyond > w.queueDelay.Mean(p.now) {
			w.queueDelay.Observe(p.now, min(beyond, maxMultiple*float64(class.LatencyObjective)))
		}
	}
}

// observeFailure takes in a response by which a worker did not serve an attempt.
func (p *Policy) observeFailure(a *attempt, i *replica, e AttemptCompleted) {
	w, r := a.worker, a.request
	if e.Outcome == NotLoaded || e.LoadStatus == LoadFailed {
		i.unloaded()
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
}

// learn takes a served attempt into the estimates.
func (p *Policy) learn(a *attempt, i *replica, e AttemptCompleted) {
	r, w, f := a.request, a.worker, a.request.function
	p.loadReported(w, e.Report)
	took, run, queue := float64(e.Took), p.runTime(r), p.queueingDelay(w, a.inFlight)
	objective := float64(r.class.LatencyObjective)
	loaded := e.LoadStatus == StartedLoad || e.LoadStatus == WaitedForLoad
	if !p.cfg.LoadStatusReported && !p.cfg.MissWhenNotLoaded { // a load shows in the time
		loaded = took > run+queue+p.newLoadTime(f)/2
	}
	if !a.expectsLoad && e.LoadStatus <= AlreadyLoaded { // a guessed load may be a queue
		memory := 20.0 // slowly up to what took longer, fast down
		if took < p.standingDelay {
			memory = 4
		}
		p.standingDelay += (min(took, maxMultiple*objective) - p.standingDelay) / memory
	}
	i.loadedUntil, i.loadDue, i.lanes = p.now+p.cfg.KeepAlive, 0, max(i.lanes, i.inFlight+1)
	p.gossipReplica(i, f)
	if took < objective {
		f.congestion *= regressionRetention
	} else if (!a.expectsLoad || a.likelyLoaded) && e.LoadStatus <= AlreadyLoaded {
		p.congested(f)
	}
	if !loaded && (!a.expectsLoad || !p.cfg.MissWhenNotLoaded) {
		p.learnQueueing(a, e, run, queue)
		p.learnRun(r, w, took, run, queue)
	} else if e.LoadStatus == StartedLoad || e.LoadStatus == LoadStatusUnknown && a.expectsLoad && loaded {
		p.observeLoadTime(took-run-queue, f)
	}
}

// learnQueueing takes in the delay of a served attempt beyond its run, where run and queue were expected.
func (p *Policy) learnQueueing(a *attempt, e AttemptCompleted, run, queue float64) {
	w, delay := a.worker, float64(e.Took)-run
	ours := queue - max(0, w.queueDelay.Mean(p.now))
	sample := stats.Clamp(delay, -run, maxMultiple*(run+queue))
	w.queueSlope.Observe(float64(a.inFlight), sample, regressionRetention)
	p.queueSlope.Observe(float64(a.inFlight), sample, regressionRetention)
	w.queueDelay.Observe(p.now, min(delay, maxMultiple*float64(a.request.class.LatencyObjective))-ours)
	if queued := p.reportedQueue(e.Report); queued >= 0 {
		p.reportSlope.Observe(queued, max(sample-ours, 0), regressionRetention)
	}
}

// learnRun takes in the work of a served attempt, where run and queue were expected.
func (p *Policy) learnRun(r *request, w *worker, took, run, queue float64) {
	class, f := r.class, r.function
	work := max(took-queue, took/4)
	if r.Work > 0 {
		class.measuredWork += min(work, maxMultiple*run) - class.measuredWork/runMemory
		class.hintedWork += min(float64(r.Work), float64(time.Hour)) - class.hintedWork/runMemory
	}
	size := math.Log(cmp.Or(w.Weight, 1) / p.meanWeight)
	p.sizeEffect.Observe(size*size, size*(1-min(work/class.run.Mean, maxMultiple)), sizeRetention)
	f.run.Observe(min(work, maxMultiple*f.run.Mean), runMemory)
	class.run.Observe(min(work, maxMultiple*class.run.Mean), runMemory)
}

// observeLoadTime takes in a load that succeeded.
func (p *Policy) observeLoadTime(took float64, f *function) {
	p.failedLoads, p.breakerUntil = 0, 0
	p.loadTimeRatio += loadTimeWeight * (stats.Clamp(took/float64(f.loadTime), 0.2, 10) - p.loadTimeRatio)
}

// reportedQueue is how many requests wait at a worker by its load report; below 0 where that doesn't say.
func (p *Policy) reportedQueue(report []float64) float64 {
	if p.queueField < 0 || p.queueField >= len(report) {
		return -1
	}
	return stats.Clamp(report[p.queueField], -1, 1000)
}

// loadReported takes a load report, late and noisy, in as one response: the delay that such a queue meant.
func (p *Policy) loadReported(w *worker, report []float64) {
	if queued := p.reportedQueue(report); queued >= 0 {
		longest := maxMultiple * float64(p.classes[0].LatencyObjective)
		w.queueDelay.Observe(p.now, min(p.reportSlope.Predict(queued, 1), longest))
	}
}

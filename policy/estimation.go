package policy

import (
	"math"
	"time"

	"crankhold/internal/stats"
)

const (
	rateSpan            = 10 * time.Second // memory of the rate at which we are served
	rateRetention       = 1 - float64(housekeepingInterval)/float64(rateSpan)
	regressionRetention = 0.97            // a regression remembers about 30 responses
	sizeRetention       = 0.995           // the effect of size remembers about 200
	sizePrior           = 0.5             // and begins with a dozen that show none
	slopePrior          = 8               // responses that the fleet's slope weighs in each worker's
	runPrior            = 5               // responses that the class's run weighs in each function's
	runMemory           = 30              // responses that a run estimate remembers
	queueSpan           = 3 * time.Second // memory of a worker's queue: it drains in about that
	fewResponses        = 6               // fewer are remembered for longer: none newer come
	maxMultiple         = 3               // a response counts as at most this multiple of the estimate
	loadTimeWeight      = 0.2             // of one load in the ratio of measured to announced load time
	initialRun          = 0.25            // part of the latency objective that a run takes at first
	extraLaneLoad       = 0.3             // part of a load that a request beyond the lanes costs
)

type classState struct {
	Class
	run                            stats.RunningMean // of warm responses, in nanoseconds
	measuredWorkSum, hintedWorkSum float64           // sums, alike at first: a hint is believed
}

type function struct {
	id                            FunctionID
	run                           stats.RunningMean
	recentRequests                float64 // ours before the last, decaying over rateSpan
	loadTime, lastUsed, idleLimit time.Duration
	congestion                    float64 // late or rejected though a replica stood, less those that were not
}

// queueingDelay predicts the delay at w with n attempts of ours in flight there.
func (p *Policy) queueingDelay(w *worker, n int) float64 {
	delays := w.queueSlope.SumY + p.queueSlope.Predict(slopePrior, 1)
	return max(0, delays)/(w.queueSlope.SumX+slopePrior)*float64(n) + max(0, w.queueDelay.Mean(p.now))
}

// runTime predicts the time of r's own work at a worker of the mean size.
func (p *Policy) runTime(r *request) float64 {
	if r.Work > 0 && r.Work < time.Hour {
		return r.class.measuredWorkSum / r.class.hintedWorkSum * float64(r.Work)
	}
	f := &r.function.run
	return (runPrior*r.class.run.Mean + f.Count*f.Mean) / (runPrior + f.Count)
}

// fullLoadTime predicts a load that begins now: the announced time, by the ratio measured of late.
func (p *Policy) fullLoadTime(f *function) float64 { return p.loadTimeRatio * float64(f.loadTime) }

func (p *Policy) expectedLoadTime(w *worker, r *request) float64 {
	replica := p.replicas.lookUp(w, r.function.id)
	if replica != nil && replica.loadDue > 0 {
		return math.Abs(float64(replica.loadDue - p.now)) // one that is late is expected to be as late again
	}
	if replica != nil && (p.now < replica.loadedUntil || replica.inFlight > 0) {
		return 0
	}
	return p.fullLoadTime(r.function)
}

func (p *Policy) predictLatency(w *worker, r *request) float64 {
	latency := p.queueingDelay(w, len(w.inFlight)) + p.runTime(r) + p.expectedLoadTime(w, r) +
		w.failureRates[r.Class].Mean(p.now)*float64(r.deadline-p.now) // who is not served waits in vain
	replica := p.replicas.lookUp(w, r.function.id)
	if replica != nil && float64(replica.inFlight) >= max(r.Lanes, 1, float64(replica.lanes)) {
		latency += extraLaneLoad * p.fullLoadTime(r.function) // no lane is free: w may load another
	}
	if len(w.inFlight) > 0 { // censored data: silent for longer than expected of its oldest attempt
		oldest := w.inFlight[0]
		latency += max(0, float64(p.now-max(w.lastResponse, oldest.startedAt)-oldest.expected))
	}
	return latency
}

func (p *Policy) observeOutcome(a *attempt, replica *replica, e AttemptCompleted) {
	r, w, failures := a.request, a.worker, &a.worker.failureRates[a.request.Class]
	switch e.Outcome {
	case Served:
		p.recordResponse(w)
		failures.Observe(p.now, 0)
		p.servedWork, w.servedWork = p.servedWork+r.class.run.Mean, w.servedWork+r.class.run.Mean
		p.learn(a, replica, e)
	case Failed, Overloaded, NotLoaded:
		p.recordResponse(w)
		if e.Outcome == NotLoaded || e.LoadStatus == LoadFailed {
			replica.unloaded()
		} else if e.Outcome == Overloaded && replica.inFlight == 0 && !replica.loadPending {
			replica.loadDue = 0 // it began no load
		}
		if e.LoadStatus == LoadFailed {
			p.openBreaker(1)
		} else if e.Outcome == Failed {
			failures.Observe(p.now, 1)
		} else if e.Outcome == Overloaded && (!a.expectsLoad || a.likelyLoaded) {
			p.recordCongestion(r.function)
			p.loadReported(w, e.Report)
			w.queueDelay.Observe(p.now, max(maxMultiple*p.runTime(r), w.queueDelay.Mean(p.now)))
		}
	case ConnectionReset, Unreachable:
		if e.Outcome == ConnectionReset && !w.checking { // one failure, however many attempts were on it
			failures.Observe(p.now, 1)
		}
		p.recordConnectionFailure(w, e.Outcome)
	case Canceled, TimedOut: // it would have taken longer still; where others were served, they tell
		over := float64(e.Took) - p.runTime(r)
		if !a.expectsLoad && w.queueDelay.Updated() < a.startedAt && over > w.queueDelay.Mean(p.now) {
			w.queueDelay.Observe(p.now, min(over, maxMultiple*float64(r.class.LatencyObjective)))
		}
	}
}

func (p *Policy) learn(a *attempt, replica *replica, e AttemptCompleted) {
	r, w, f := a.request, a.worker, a.request.function
	queued := p.loadReported(w, e.Report)
	took, run, queue := float64(e.Took), p.runTime(r), p.queueingDelay(w, a.inFlight)
	objective := float64(r.class.LatencyObjective)
	loaded := e.LoadStatus == StartedLoad || e.LoadStatus == WaitedForLoad
	if !p.cfg.LoadStatusReported && !p.cfg.MissWhenNotLoaded { // a load shows in the time
		loaded = took > run+queue+p.fullLoadTime(f)/2
	}
	if !a.expectsLoad && e.LoadStatus <= AlreadyLoaded { // a guessed load may be a queue
		p.standingDelay.Observe(min(took, maxMultiple*objective), 20, 4)
	}
	replica.loadedUntil, replica.loadDue = p.now+p.cfg.KeepAlive, 0
	replica.lanes = max(replica.lanes, replica.inFlight+1)
	p.gossipReplica(replica, f)
	if took < objective {
		f.congestion *= regressionRetention
	} else if (!a.expectsLoad || a.likelyLoaded) && e.LoadStatus <= AlreadyLoaded {
		p.recordCongestion(f)
	}
	if !loaded && (!a.expectsLoad || !p.cfg.MissWhenNotLoaded) {
		p.learnWarm(a, took, run, queue, queued)
	} else if e.LoadStatus == StartedLoad || e.LoadStatus == LoadStatusUnknown && a.expectsLoad && loaded {
		p.observeLoadTime(took-run-queue, f)
	}
}

// learnWarm takes in a served attempt that waited for no load, with the run and queueing predicted for it.
func (p *Policy) learnWarm(a *attempt, took, run, queue, queued float64) {
	r, w, class, f := a.request, a.worker, a.request.class, a.request.function
	ours := queue - max(0, w.queueDelay.Mean(p.now))
	delay := stats.Clamp(took-run, -run, maxMultiple*(run+queue))
	w.queueSlope.Observe(float64(a.inFlight), delay, regressionRetention)
	p.queueSlope.Observe(float64(a.inFlight), delay, regressionRetention)
	w.queueDelay.Observe(p.now, min(took-run, maxMultiple*float64(class.LatencyObjective))-ours)
	if queued >= 0 {
		p.reportSlope.Observe(queued, max(delay-ours, 0), regressionRetention)
	}
	work := max(took-queue, took/4)
	if r.Work > 0 {
		class.measuredWorkSum += min(work, maxMultiple*run) - class.measuredWorkSum/runMemory
		class.hintedWorkSum += min(float64(r.Work), float64(time.Hour)) - class.hintedWorkSum/runMemory
	}
	size := math.Log(w.size / p.meanSize)
	p.sizeEffect.Observe(size*size, size*(1-min(work/class.run.Mean, maxMultiple)), sizeRetention)
	f.run.Observe(min(work, maxMultiple*f.run.Mean), runMemory)
	class.run.Observe(min(work, maxMultiple*class.run.Mean), runMemory)
}

func (p *Policy) observeLoadTime(took float64, f *function) {
	p.failedLoads, p.breakerUntil = 0, 0
	p.loadTimeRatio += loadTimeWeight * (stats.Clamp(took/float64(f.loadTime), 0.2, 10) - p.loadTimeRatio)
}

// loadReported learns from a load report and returns how many requests it says are queued; below 0: unknown.
func (p *Policy) loadReported(w *worker, report []float64) float64 {
	if p.queueField < 0 || p.queueField >= len(report) {
		return -1
	}
	queued := stats.Clamp(report[p.queueField], -1, 1000)
	if queued >= 0 {
		most := maxMultiple * float64(p.classes[0].LatencyObjective)
		w.queueDelay.Observe(p.now, min(p.reportSlope.Predict(queued, 1), most))
	}
	return queued
}

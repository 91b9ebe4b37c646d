package policy

import (
	"math"
	"slices"
	"time"

	"crankhold/internal/stats"
)

const (
	regressionRetention = 0.97            // a regression remembers about 30 responses
	slopePriorWeight    = 8               // weight of the fleet's slope in a worker's slope, in responses
	runPriorWeight      = 5               // weight of the class's run time in a function's, in responses
	runMemory           = 30              // number of responses that a run time estimate remembers
	queueSpan           = 3 * time.Second // decay time of a worker's queue, which drains in about that time
	fewResponses        = 6               // fewer responses decay more slowly, because newer ones are rare
	maxMultiple         = 3               // a response counts as at most this multiple of its estimate
	loadTimeWeight      = 0.2             // weight of one load in the ratio of measured to announced time
	initialRunRatio     = 0.25            // initial run time, as a part of the latency objective
	extraLaneLoadRatio  = 0.3             // cost of a request beyond the lanes, as a part of a load

	minLoadTimeRatio = 0.2 // bounds on the ratio of measured to announced time of one load
	maxLoadTimeRatio = 10

	maxReportedQueue = 1000 // a load report of more queued requests counts as this many
	maxWorkHint      = time.Hour

	// queueReportField is the name of the load report field that holds the number of queued requests.
	queueReportField = "queue"
)

// workerLatency holds the estimates of latencyEstimator for a worker.
type workerLatency struct {
	queueSlope   stats.Regression     // queueing delay in nanoseconds over this router's attempts in flight
	queueDelay   stats.DecayingMean   // delay that other routers' requests add, in nanoseconds
	failureRates []stats.DecayingMean // by class
}

// latencyEstimator predicts how long a request takes at a worker, and updates its estimates from responses.
//
// Invariant: a response counts as at most maxMultiple times its estimate, so that one outlier does no harm.
// No estimate becomes negative, infinite or NaN, whatever values responses and load reports contain.
type latencyEstimator struct {
	cfg        *Config
	classes    []classState
	replicas   *replicaTable
	capacities capacityEstimator

	queueSlope    stats.Regression // over all workers: queueing delay over this router's attempts in flight
	reportSlope   stats.Regression // queueing delay over the queued requests in load reports
	queueField    int              // index of the queue field in load reports; -1: not reported
	loadTimeRatio float64          // ratio of the measured load time to the announced one
}

// newLatencyEstimator returns an estimator without any observations.
func newLatencyEstimator(cfg *Config, shared *tables) *latencyEstimator {
	return &latencyEstimator{
		cfg:           cfg,
		classes:       shared.classes,
		replicas:      &shared.replicas,
		capacities:    capacityEstimator{cfg: cfg, workers: &shared.workers},
		queueField:    slices.Index(cfg.LoadReportFields, queueReportField),
		loadTimeRatio: 1,
	}
}

// processStarted discards the estimates for a worker's former process.
func (e *latencyEstimator) processStarted(w *worker) {
	delay := stats.DecayingMean{TimeConstant: queueSpan, MinCount: fewResponses}
	w.latency = workerLatency{
		queueDelay:   delay,
		failureRates: slices.Repeat([]stats.DecayingMean{delay}, len(e.classes)),
	}
}

// queueingDelay predicts the queueing delay at a worker with the given number of this router's attempts in
// flight.
func (e *latencyEstimator) queueingDelay(now time.Duration, w *worker, attempts int) nanoseconds {
	slope := &w.latency.queueSlope
	delays := slope.SumY + e.queueSlope.Predict(slopePriorWeight, 1)
	ownDelay := max(0, delays) / (slope.SumX + slopePriorWeight) * float64(attempts)
	return nanoseconds(ownDelay + max(0, w.latency.queueDelay.Mean(now)))
}

// runTime predicts the run time of a request, without queueing or a load, at a worker of the mean size.
func (e *latencyEstimator) runTime(r *request) nanoseconds {
	if r.Work > 0 && r.Work < maxWorkHint {
		return nanoseconds(r.class.measuredWorkSum / r.class.hintedWorkSum * float64(r.Work))
	}
	run := &r.function.run
	return nanoseconds((runPriorWeight*r.class.run.Mean + run.Count*run.Mean) / (runPriorWeight + run.Count))
}

// fullLoadTime predicts the duration of a load that starts now: the announced time multiplied by the ratio
// measured recently.
func (e *latencyEstimator) fullLoadTime(f *function) nanoseconds {
	return nanoseconds(e.loadTimeRatio * float64(f.loadTime))
}

// expectedLoadTime predicts how long a request waits for a load at a worker.
func (e *latencyEstimator) expectedLoadTime(now time.Duration, w *worker, r *request) nanoseconds {
	entry := e.replicas.lookUp(w, r.function.id)
	if entry != nil && entry.loadDue > 0 {
		// A load that is overdue by some time is expected to take that time again.
		return nanoseconds(math.Abs(float64(entry.loadDue - now)))
	}
	if entry != nil && (now < entry.loadedUntil || entry.inFlight > 0) {
		return 0
	}
	return e.fullLoadTime(r.function)
}

// startsLoad reports whether a request would start a load at a worker, as far as is known.
func (e *latencyEstimator) startsLoad(now time.Duration, w *worker, r *request) bool {
	entry := e.replicas.lookUp(w, r.function.id)
	return (entry == nil || entry.loadDue == 0) && e.expectedLoadTime(now, w, r) > 0
}

// predictLatency predicts the time until the response to a request that is sent to a worker now.
func (e *latencyEstimator) predictLatency(now time.Duration, w *worker, r *request) nanoseconds {
	latency := e.queueingDelay(now, w, len(w.inFlight))
	latency += e.runTime(r)
	latency += e.expectedLoadTime(now, w, r)
	latency += e.expectedLoss(now, w, r)
	entry := e.replicas.lookUp(w, r.function.id)
	if entry != nil && float64(entry.inFlight) >= max(r.Lanes, 1, float64(entry.lanes)) {
		// No lane is free: the worker may load another replica.
		latency += extraLaneLoadRatio * e.fullLoadTime(r.function)
	}
	return latency + e.overdue(now, w)
}

// expectedLoss is the failure rate of a request's class at a worker, multiplied by the remaining time.
func (e *latencyEstimator) expectedLoss(now time.Duration, w *worker, r *request) nanoseconds {
	failureRate := w.latency.failureRates[r.Class].Mean(now)
	return nanoseconds(failureRate * float64(r.deadline-now))
}

// overdue is the time for which a worker has been silent beyond the expected latency of its oldest attempt.
// Attempts without a response are censored observations: they show a delay before they complete.
func (e *latencyEstimator) overdue(now time.Duration, w *worker) nanoseconds {
	if len(w.inFlight) == 0 {
		return 0
	}
	oldest := w.inFlight[0]
	silence := now - max(w.health.lastResponse, oldest.startedAt)
	return nanoseconds(max(0, float64(silence-oldest.expected)))
}

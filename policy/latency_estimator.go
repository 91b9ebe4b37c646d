package policy

import (
	"math"
	"slices"
	"time"

	"crankhold/internal/stats"
)

const (
	regressionRetention = 0.97            // a regression remembers about 30 responses
	slopePriorWeight    = 8               // responses that the fleet's slope weighs in each worker's
	runPriorWeight      = 5               // responses that the class's run weighs in each function's
	runMemory           = 30              // responses that a run estimate remembers
	queueSpan           = 3 * time.Second // memory of a worker's queue: it drains in about that
	fewResponses        = 6               // fewer are remembered for longer: none newer come
	maxMultiple         = 3               // a response counts as at most this multiple of the estimate
	loadTimeWeight      = 0.2             // of one load in the ratio of measured to announced load time
	initialRunRatio     = 0.25            // part of the latency objective that a run takes at first
	extraLaneLoadRatio  = 0.3             // part of a load that a request beyond the lanes costs

	minLoadTimeRatio = 0.2 // bounds on what one load may show
	maxLoadTimeRatio = 10

	maxReportedQueue = 1000 // requests; a load report of more counts as that many
	maxWorkHint      = time.Hour

	// queueReportField is the name of the field of a load report that holds the number of queued requests.
	queueReportField = "queue"
)

// workerLatency is what latencyEstimator knows of a worker.
type workerLatency struct {
	queueSlope   stats.Regression     // queueing delay in nanoseconds, over our attempts in flight
	queueDelay   stats.DecayingMean   // nanoseconds that other routers' requests add
	failureRates []stats.DecayingMean // by class
}

// latencyEstimator predicts how long a request takes at a worker, and learns from responses.
//
// Invariant: a response counts as at most maxMultiple times its estimate, so that one outlier does no harm.
// No estimate becomes negative, infinite or NaN, whatever responses and load reports hold.
type latencyEstimator struct {
	cfg        *Config
	classes    []classState
	replicas   *replicaTable
	capacities capacityEstimator

	queueSlope    stats.Regression // of all workers: queueing delay over our attempts in flight
	reportSlope   stats.Regression // queueing delay over the queued requests of load reports
	queueField    int              // of these in a load report; -1: not reported
	loadTimeRatio float64          // measured load time over the announced one
}

// newLatencyEstimator returns an estimator that has seen nothing yet.
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

// processStarted forgets what was learned of a worker's former process.
func (e *latencyEstimator) processStarted(w *worker) {
	delay := stats.DecayingMean{Span: queueSpan, MinCount: fewResponses}
	w.latency = workerLatency{
		queueDelay:   delay,
		failureRates: slices.Repeat([]stats.DecayingMean{delay}, len(e.classes)),
	}
}

// queueingDelay predicts the delay at a worker where so many attempts of ours are in flight.
func (e *latencyEstimator) queueingDelay(now time.Duration, w *worker, attempts int) nanoseconds {
	slope := &w.latency.queueSlope
	delays := slope.SumY + e.queueSlope.Predict(slopePriorWeight, 1)
	ownDelay := max(0, delays) / (slope.SumX + slopePriorWeight) * float64(attempts)
	return nanoseconds(ownDelay + max(0, w.latency.queueDelay.Mean(now)))
}

// runTime predicts the time of a request's own work at a worker of the mean size.
func (e *latencyEstimator) runTime(r *request) nanoseconds {
	if r.Work > 0 && r.Work < maxWorkHint {
		return nanoseconds(r.class.measuredWorkSum / r.class.hintedWorkSum * float64(r.Work))
	}
	run := &r.function.run
	return nanoseconds((runPriorWeight*r.class.run.Mean + run.Count*run.Mean) / (runPriorWeight + run.Count))
}

// fullLoadTime predicts a load that begins now: the announced time, by the ratio measured of late.
func (e *latencyEstimator) fullLoadTime(f *function) nanoseconds {
	return nanoseconds(e.loadTimeRatio * float64(f.loadTime))
}

// expectedLoadTime predicts how long a request waits for a load at a worker.
func (e *latencyEstimator) expectedLoadTime(now time.Duration, w *worker, r *request) nanoseconds {
	entry := e.replicas.lookUp(w, r.function.id)
	if entry != nil && entry.loadDue > 0 {
		// A load that is late by some time is expected to take as long again.
		return nanoseconds(math.Abs(float64(entry.loadDue - now)))
	}
	if entry != nil && (now < entry.loadedUntil || entry.inFlight > 0) {
		return 0
	}
	return e.fullLoadTime(r.function)
}

// startsLoad reports whether a request would begin a load at a worker, as far as is known.
func (e *latencyEstimator) startsLoad(now time.Duration, w *worker, r *request) bool {
	entry := e.replicas.lookUp(w, r.function.id)
	return (entry == nil || entry.loadDue == 0) && e.expectedLoadTime(now, w, r) > 0
}

// predictLatency predicts how long a request takes at a worker until its response, if it is sent now.
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

// expectedLoss is the failure rate of a request's class at a worker times the remaining time.
func (e *latencyEstimator) expectedLoss(now time.Duration, w *worker, r *request) nanoseconds {
	failureRate := w.latency.failureRates[r.Class].Mean(now)
	return nanoseconds(failureRate * float64(r.deadline-now))
}

// overdue is by how much a worker has been silent for longer than expected of its oldest attempt. Attempts
// without a response are censored data: they show a delay before they end.
func (e *latencyEstimator) overdue(now time.Duration, w *worker) nanoseconds {
	if len(w.inFlight) == 0 {
		return 0
	}
	oldest := w.inFlight[0]
	silence := now - max(w.health.lastResponse, oldest.startedAt)
	return nanoseconds(max(0, float64(silence-oldest.expected)))
}

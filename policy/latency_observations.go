package policy

import (
	"time"

	"crankhold/internal/stats"
)

// reportedQueue is the number of queued requests in a load report, if the report contains it.
type reportedQueue struct {
	length float64
	known  bool
}

// servedResponse holds the measurements of a response together with the predictions for it.
type servedResponse struct {
	took          nanoseconds
	run           nanoseconds // predicted
	queueing      nanoseconds // predicted
	queue         reportedQueue
	waitedForLoad bool
}

// recordSuccess updates the failure rate of an attempt's worker and class by an attempt that was served.
func (e *latencyEstimator) recordSuccess(now time.Duration, a *attempt) {
	a.worker.latency.failureRates[a.request.Class].Observe(now, 0)
}

// recordFailure updates the failure rate of an attempt's worker and class by an attempt that failed.
func (e *latencyEstimator) recordFailure(now time.Duration, a *attempt) {
	a.worker.latency.failureRates[a.request.Class].Observe(now, 1)
}

// measure returns the measurements of a response with the predictions for it, made from the current
// estimates. The load report of the response updates the estimates first.
func (e *latencyEstimator) measure(now time.Duration, a *attempt, completed AttemptCompleted) servedResponse {
	queue := e.observeReport(now, a.worker, completed.Report)
	response := servedResponse{
		took:          nanoseconds(completed.Took),
		run:           e.runTime(a.request),
		queueing:      e.queueingDelay(now, a.worker, a.inFlightAtStart),
		queue:         queue,
		waitedForLoad: completed.LoadStatus == StartedLoad || completed.LoadStatus == WaitedForLoad,
	}
	if !e.cfg.LoadStatusReported && !e.cfg.MissWhenNotLoaded { // only the time shows a load
		halfLoad := e.fullLoadTime(a.request.function) / 2
		response.waitedForLoad = response.took > response.run+response.queueing+halfLoad
	}
	return response
}

// observeReport updates a worker's queueing delay from a load report, and returns the queue in the report.
func (e *latencyEstimator) observeReport(now time.Duration, w *worker, report []float64) reportedQueue {
	if e.queueField < 0 || e.queueField >= len(report) {
		return reportedQueue{}
	}
	length := stats.Clamp(report[e.queueField], -1, maxReportedQueue)
	if length < 0 {
		return reportedQueue{}
	}
	maxDelay := maxMultiple * float64(e.classes[0].LatencyObjective)
	w.latency.queueDelay.Observe(now, min(e.reportSlope.Predict(length, 1), maxDelay))
	return reportedQueue{length: length, known: true}
}

// observeWithoutLoad updates the estimates by a response that waited for no load.
func (e *latencyEstimator) observeWithoutLoad(now time.Duration, a *attempt, response servedResponse) {
	e.observeQueueing(now, a, response)
	took := float64(response.took)
	queueing := float64(response.queueing)
	e.observeRun(a, response, max(took-queueing, took/4))
}

// observeQueueing updates the estimates of queueing delay by a response that waited for no load.
func (e *latencyEstimator) observeQueueing(now time.Duration, a *attempt, response servedResponse) {
	w := a.worker
	took := float64(response.took)
	run := float64(response.run)
	queueing := float64(response.queueing)
	ownDelay := queueing - max(0, w.latency.queueDelay.Mean(now)) // caused by this router's attempts
	delay := stats.Clamp(took-run, -run, maxMultiple*(run+queueing))
	w.latency.queueSlope.Observe(float64(a.inFlightAtStart), delay, regressionRetention)
	e.queueSlope.Observe(float64(a.inFlightAtStart), delay, regressionRetention)
	maxDelay := maxMultiple * float64(a.request.class.LatencyObjective)
	w.latency.queueDelay.Observe(now, min(took-run, maxDelay)-ownDelay)
	if response.queue.known {
		e.reportSlope.Observe(response.queue.length, max(delay-ownDelay, 0), regressionRetention)
	}
}

// observeRun updates the estimates of run time and capacity by the work of a request that waited for no load.
// The work is in nanoseconds.
func (e *latencyEstimator) observeRun(a *attempt, response servedResponse, work float64) {
	r := a.request
	class := r.class
	run := float64(response.run)
	if r.Work > 0 {
		hint := min(float64(r.Work), float64(maxWorkHint))
		class.measuredWorkSum += min(work, maxMultiple*run) - class.measuredWorkSum/runMemory
		class.hintedWorkSum += hint - class.hintedWorkSum/runMemory
	}
	e.capacities.observeRun(a.worker, work/class.run.Mean)
	f := r.function
	f.run.Observe(min(work, maxMultiple*f.run.Mean), runMemory)
	class.run.Observe(min(work, maxMultiple*class.run.Mean), runMemory)
}

// observeOverload records that a worker rejected an attempt although it had the function. Its queue is full.
func (e *latencyEstimator) observeOverload(now time.Duration, a *attempt, report []float64) {
	delay := &a.worker.latency.queueDelay
	e.observeReport(now, a.worker, report)
	atLeast := float64(maxMultiple * e.runTime(a.request))
	delay.Observe(now, max(atLeast, delay.Mean(now)))
}

// observeNoResponse records an attempt that completed without a response after the time took. A response
// would have taken even longer. The attempt is ignored if the worker has responded to later attempts, because
// those responses show the delay better.
func (e *latencyEstimator) observeNoResponse(now time.Duration, a *attempt, took time.Duration) {
	delay := &a.worker.latency.queueDelay
	beyondRun := float64(nanoseconds(took) - e.runTime(a.request))
	if a.expectsLoad || delay.Updated() >= a.startedAt || beyondRun <= delay.Mean(now) {
		return
	}
	delay.Observe(now, min(beyondRun, maxMultiple*float64(a.request.class.LatencyObjective)))
}

// observeLoadTime updates the ratio of measured to announced load time by a load.
func (e *latencyEstimator) observeLoadTime(took nanoseconds, f *function) {
	ratio := stats.Clamp(float64(took)/float64(f.loadTime), minLoadTimeRatio, maxLoadTimeRatio)
	e.loadTimeRatio += loadTimeWeight * (ratio - e.loadTimeRatio)
}

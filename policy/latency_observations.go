package policy

import (
	"time"

	"crankhold/internal/stats"
)

// reportedQueue is the number of queued requests that a load report holds.
type reportedQueue struct {
	length float64
	known  bool
}

// servedResponse is what a response of a worker shows, beside what was predicted for it.
type servedResponse struct {
	took          nanoseconds
	run           nanoseconds // predicted
	queueing      nanoseconds // predicted
	queue         reportedQueue
	waitedForLoad bool
}

// recordSuccess counts an attempt that was served towards its worker's failure rate for its class.
func (e *latencyEstimator) recordSuccess(now time.Duration, a *attempt) {
	a.worker.latency.failureRates[a.request.Class].Observe(now, 0)
}

// recordFailure counts an attempt that failed towards its worker's failure rate for its class.
func (e *latencyEstimator) recordFailure(now time.Duration, a *attempt) {
	a.worker.latency.failureRates[a.request.Class].Observe(now, 1)
}

// measure compares a response with what is predicted for it now, and learns from its load report.
func (e *latencyEstimator) measure(now time.Duration, a *attempt, completed AttemptCompleted) servedResponse {
	queue := e.observeReport(now, a.worker, completed.Report)
	response := servedResponse{
		took:          nanoseconds(completed.Took),
		run:           e.runTime(a.request),
		queueing:      e.queueingDelay(now, a.worker, a.inFlightAtStart),
		queue:         queue,
		waitedForLoad: completed.LoadStatus == StartedLoad || completed.LoadStatus == WaitedForLoad,
	}
	if !e.cfg.LoadStatusReported && !e.cfg.MissWhenNotLoaded { // a load shows in the time alone
		halfLoad := e.fullLoadTime(a.request.function) / 2
		response.waitedForLoad = response.took > response.run+response.queueing+halfLoad
	}
	return response
}

// observeReport learns from a load report, and returns the queue that it holds.
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

// observeWithoutLoad learns from a response that waited for no load.
func (e *latencyEstimator) observeWithoutLoad(now time.Duration, a *attempt, response servedResponse) {
	e.observeQueueing(now, a, response)
	took := float64(response.took)
	queueing := float64(response.queueing)
	e.observeRun(a, response, max(took-queueing, took/4))
}

// observeQueueing learns the queueing delay from a response that waited for no load.
func (e *latencyEstimator) observeQueueing(now time.Duration, a *attempt, response servedResponse) {
	w := a.worker
	took := float64(response.took)
	run := float64(response.run)
	queueing := float64(response.queueing)
	ownDelay := queueing - max(0, w.latency.queueDelay.Mean(now)) // the part of our attempts
	delay := stats.Clamp(took-run, -run, maxMultiple*(run+queueing))
	w.latency.queueSlope.Observe(float64(a.inFlightAtStart), delay, regressionRetention)
	e.queueSlope.Observe(float64(a.inFlightAtStart), delay, regressionRetention)
	maxDelay := maxMultiple * float64(a.request.class.LatencyObjective)
	w.latency.queueDelay.Observe(now, min(took-run, maxDelay)-ownDelay)
	if response.queue.known {
		e.reportSlope.Observe(response.queue.length, max(delay-ownDelay, 0), regressionRetention)
	}
}

// observeRun learns from the work of a response that waited for no load, in nanoseconds.
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

// observeOverload records that a worker rejected an attempt although it had the function: its queue is full.
func (e *latencyEstimator) observeOverload(now time.Duration, a *attempt, report []float64) {
	delay := &a.worker.latency.queueDelay
	e.observeReport(now, a.worker, report)
	atLeast := float64(maxMultiple * e.runTime(a.request))
	delay.Observe(now, max(atLeast, delay.Mean(now)))
}

// observeNoResponse records an attempt that ended before its response after a time. It would have taken
// longer still. Where the worker has responded to later attempts, these show the delay better.
func (e *latencyEstimator) observeNoResponse(now time.Duration, a *attempt, took time.Duration) {
	delay := &a.worker.latency.queueDelay
	beyondRun := float64(nanoseconds(took) - e.runTime(a.request))
	if a.expectsLoad || delay.Updated() >= a.startedAt || beyondRun <= delay.Mean(now) {
		return
	}
	delay.Observe(now, min(beyondRun, maxMultiple*float64(a.request.class.LatencyObjective)))
}

// observeLoadTime learns how long a load took.
func (e *latencyEstimator) observeLoadTime(took nanoseconds, f *function) {
	ratio := stats.Clamp(float64(took)/float64(f.loadTime), minLoadTimeRatio, maxLoadTimeRatio)
	e.loadTimeRatio += loadTimeWeight * (ratio - e.loadTimeRatio)
}

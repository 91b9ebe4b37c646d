package router

import "crankhold/policy"

// Counters counts what a Core has accepted, sent and completed since it was created.
type Counters struct {
	Accepted           [frontCount]uint64 // requests passed to the core, by front, including those it rejected at once
	Served             [frontCount]uint64 // completed with a worker's response
	Rejected           [frontCount]uint64 // rejected for other reasons than the two below
	Failed             [frontCount]uint64 // completed with status Failed
	Canceled           [frontCount]uint64 // canceled by their clients
	RejectedAtCapacity [frontCount]uint64 // rejected because the core or the front had no capacity
	RejectedUnrouted   [frontCount]uint64 // rejected because no route matched, or the matching route has no pool

	AttemptsStarted uint64 // attempts passed to the worker client
	LoadsSent       uint64
	HealthChecks    uint64
	Unloads         uint64

	AttemptsByOutcome     [policy.OutcomeCount]uint64 // completed attempts, including those that were never sent
	LoadsByOutcome        [policy.OutcomeCount]uint64
	HealthChecksByOutcome [policy.OutcomeCount]uint64

	DeadlineExceeded uint64 // requests that the core completed at their deadline because the module had not
}

// countUnserved counts a response with status Rejected or Failed, and returns the corresponding completion.
func (c *Counters) countUnserved(front Front, status ResponseStatus) Completion {
	if status == Rejected {
		c.Rejected[front]++
		return CompletionRejected
	}
	c.Failed[front]++
	return CompletionFailed
}

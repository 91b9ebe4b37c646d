package router

import "crankhold/policy"

// outcomeCount is the number of policy's outcomes.
const outcomeCount = policy.NotLoaded + 1

// Counters counts what a Core has accepted, sent and completed since it was made.
type Counters struct {
	Accepted           [frontCount]uint64 // requests handed in, by front, rejected ones included
	Served             [frontCount]uint64 // completed with a worker's response
	Rejected           [frontCount]uint64 // completed by a rejection, other than the two below
	Failed             [frontCount]uint64 // completed by a failure
	Canceled           [frontCount]uint64 // canceled by their clients
	RejectedUnaccepted [frontCount]uint64 // rejected for want of capacity
	RejectedUnrouted   [frontCount]uint64 // rejected because no route, or one without a pool, matched

	AttemptsStarted uint64 // attempts handed to the worker client
	LoadsSent       uint64
	HealthChecks    uint64
	Unloads         uint64

	AttemptsByOutcome     [outcomeCount]uint64 // attempts that ended, those not sent included
	LoadsByOutcome        [outcomeCount]uint64
	HealthChecksByOutcome [outcomeCount]uint64

	DeadlineExceeded uint64 // requests that the core's deadline timer completed, not the module
}

// countUnserved counts a response that is not a worker's, and returns the completion that it stands for.
func (c *Counters) countUnserved(front Front, status ResponseStatus) Completion {
	if status == Rejected {
		c.Rejected[front]++
		return CompletionRejected
	}
	c.Failed[front]++
	return CompletionFailed
}

package router

import (
	"time"

	"crankhold/policy"
)

// WorkerClient sends messages to workers. The core calls it on its own goroutine. The client reports the result of each
// StartAttempt, Load and CheckHealth with one call of Core.AttemptCompleted, Core.LoadCompleted or
// Core.HealthCheckCompleted, immediately or later.
type WorkerClient interface {
	// StartAttempt forwards a request to a worker, which must respond within budget. The budget is more than 0.
	StartAttempt(worker policy.WorkerID, attempt Attempt, r *Request, budget time.Duration)
	// CancelAttempt cancels an attempt. The client does not report its completion.
	CancelAttempt(worker policy.WorkerID, attempt Attempt)
	// WithdrawUnsent cancels an attempt if no byte of it has been sent, and reports whether it did. A withdrawn attempt
	// never runs. The client does not report its completion.
	WithdrawUnsent(worker policy.WorkerID, attempt Attempt) bool
	// Load sends a command to have count replicas of a function at a worker. If count is 0, the command only asks how
	// many replicas there are.
	Load(worker policy.WorkerID, function policy.FunctionID, count int, commandID uint64)
	// CancelCommand cancels a load command or health check that has timed out. The client does not report its
	// completion.
	CancelCommand(worker policy.WorkerID, commandID uint64)
	// Unload sends a command to unload the idle replicas of a function at a worker. The worker does not respond to it.
	Unload(worker policy.WorkerID, function policy.FunctionID)
	// CheckHealth sends a health check to a worker, which responds with its load report.
	CheckHealth(worker policy.WorkerID, commandID uint64)
	// CloseIdle closes the idle connections to a worker.
	CloseIdle(worker policy.WorkerID)
}

// Attempt identifies an attempt by its request and its number. The attempts of a request are numbered from 0.
type Attempt struct {
	Request policy.RequestID
	Number  int
}

// AttemptResult is the outcome of an attempt, with what the worker returned.
type AttemptResult struct {
	Outcome     policy.Outcome
	LoadStatus  policy.LoadStatus
	Concurrency int       // requests of the function that are in flight at the worker
	Body        []byte    // of the response, if Outcome is policy.Served
	LoadReport  []float64 // in the order of policy.Config.LoadReportFields; nil if the response had none
	Withdrawn   bool      // it was given up before it was sent, so it never ran whatever Outcome says
}

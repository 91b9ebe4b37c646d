package router

import (
	"time"

	"crankhold/policy"
)

// WorkerClient carries messages to workers. It is called on the core's goroutine, and answers each StartAttempt, Load
// and CheckHealth by one call of AttemptCompleted, LoadCompleted or HealthCheckCompleted, at once or later.
type WorkerClient interface {
	// StartAttempt forwards a request to a worker. The worker's response is wanted within budget, which is above 0.
	StartAttempt(worker policy.WorkerID, attempt Attempt, r *Request, budget time.Duration)
	// CancelAttempt gives an attempt up; the client does not report its completion.
	CancelAttempt(worker policy.WorkerID, attempt Attempt)
	// WithdrawUnsent takes an attempt back of which no byte has left, and reports whether it could. A withdrawn
	// attempt never runs; the client does not report its completion.
	WithdrawUnsent(worker policy.WorkerID, attempt Attempt) bool
	// Load orders a worker to hold count replicas of a function; with count 0 it only asks how many there are.
	Load(worker policy.WorkerID, function policy.FunctionID, count int, commandID uint64)
	// AbandonCommand drops a load or health check that has timed out; the client does not report its completion.
	AbandonCommand(worker policy.WorkerID, commandID uint64)
	// Unload drops the idle replicas of a function at a worker. It has no answer.
	Unload(worker policy.WorkerID, function policy.FunctionID)
	// CheckHealth asks a worker for a response and its load report.
	CheckHealth(worker policy.WorkerID, commandID uint64)
	// CloseIdle closes the idle connections to a worker.
	CloseIdle(worker policy.WorkerID)
}

// Attempt identifies an attempt: a request, and which of its attempts, counted from 0.
type Attempt struct {
	Request policy.RequestID
	Number  int
}

// AttemptResult is how an attempt ended, and what the worker returned with it.
type AttemptResult struct {
	Outcome     policy.Outcome
	LoadStatus  policy.LoadStatus
	Concurrency int       // requests of the function in flight at the worker
	Body        []byte    // of the response, where Outcome is policy.Served
	LoadReport  []float64 // in the order of policy.Config.LoadReportFields; nil where none came
}

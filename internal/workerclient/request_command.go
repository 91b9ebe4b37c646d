package workerclient

import (
	"bytes"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// requestCommand is a RUN: one attempt of a request.
type requestCommand struct {
	attempt        router.Attempt
	class          string
	functionKey    string
	idempotencyKey string // empty: none
	body           []byte
	deadline       time.Duration // when the request's remaining time ends
	sendBy         time.Duration // the command is not written at this time or later
}

// newRequestCommand returns the command for an attempt of r that has the time budget left at now.
func newRequestCommand(
	now time.Duration, attempt router.Attempt, r *router.Request, class string, budget time.Duration,
) *command {
	request := &requestCommand{
		attempt:        attempt,
		class:          class,
		functionKey:    r.Function.Key,
		idempotencyKey: r.IdempotencyKey,
		body:           r.Body,
		deadline:       now + budget,
	}
	request.sendBy = request.deadline
	if r.SendBy > 0 {
		request.sendBy = min(request.sendBy, r.SendBy)
	}
	return &command{id: r.ID, kind: request}
}

// checkBeforeWrite rejects a request that has no time left, or that the worker might no longer recognize as a
// duplicate.
func (request *requestCommand) checkBeforeWrite(now time.Duration, _ bool, _ ResultHandler) (policy.Outcome, bool) {
	return policy.Unreachable, now >= request.sendBy
}

// encode returns a RUN. The body is not copied.
func (request *requestCommand) encode(id string, now time.Duration) [][]byte {
	return [][]byte{encodeRun(id, request, request.deadline-now), request.body, lineEnd}
}

func (request *requestCommand) isHealthQuery() bool { return false }

func (request *requestCommand) keepOnDrain() (policy.Outcome, bool) {
	return policy.Unreachable, false
}

// retryAfterReset leaves it to the decision module whether a request that may have run is retried.
func (request *requestCommand) retryAfterReset() bool { return false }

func (request *requestCommand) fail(results ResultHandler, outcome policy.Outcome) {
	results.AttemptCompleted(request.attempt, router.AttemptResult{Outcome: outcome})
}

func (request *requestCommand) complete(c *connection, r response) {
	c.pool.results.AttemptCompleted(request.attempt, router.AttemptResult{
		Outcome:     outcomeByStatus[r.status],
		LoadStatus:  r.fields.loadStatus(),
		Concurrency: c.reportedConcurrency(r.fields),
		Body:        bytes.Clone(r.body),
		LoadReport:  r.fields.loadReport(c.pool.cfg.ReportFields),
	})
}

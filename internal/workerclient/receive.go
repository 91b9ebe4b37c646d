package workerclient

import (
	"bytes"

	"crankhold/internal/router"
)

// Data takes in responses, however they are split.
func (c *connection) Data(data []byte) {
	if c.state == closing {
		return
	}
	wasEmpty := c.partial.Len() == 0
	responses, err := c.partial.Feed(data, c.decode)
	if err != nil {
		c.closeWithError(err)
		return
	}
	if c.partial.Len() > 0 && (wasEmpty || responses > 0) {
		c.partialSince = c.pool.now
	}
}

// decode is the framing.Decoder of responses.
func (c *connection) decode(unread []byte) (size int, err error) {
	r, size, err := decodeResponse(unread)
	if err != nil || size == 0 {
		return 0, err
	}
	return size, c.handleResponse(&r)
}

// handleResponse takes in one response and hands over the result of its command.
func (c *connection) handleResponse(r *response) error {
	cmd := c.inFlight[string(r.id)]
	c.recordResponse(cmd, r.status)
	if cmd == nil {
		return nil // a second copy, or of a request that was cancelled
	}
	switch {
	case r.status == statusUnknown, cmd.kind.isHealthQuery() != r.status.answersHealthQuery():
		return ErrMalformedResponse
	case !cmd.written:
		return ErrMalformedResponse // a response to what was never sent
	}
	c.remove(cmd)
	c.lastUsed = c.pool.now
	c.latestAnswered = max(c.latestAnswered, cmd.sentAt)
	c.complete(cmd, r)
	return nil
}

// complete hands over the result that a response gives.
func (c *connection) complete(cmd *command, r *response) {
	outcome := outcomes[r.status]
	results, reportFields := c.pool.results, c.pool.cfg.ReportFields
	switch cmd.kind {
	case runCommand:
		delete(c.pool.attempts, cmd.attempt)
		results.AttemptCompleted(cmd.attempt, router.AttemptResult{
			Outcome:     outcome,
			LoadStatus:  r.fields.loadStatus(),
			Concurrency: c.concurrency(r.fields),
			Body:        bytes.Clone(r.body),
			LoadReport:  r.fields.loadReport(reportFields),
		})
	case loadCommand:
		results.LoadCompleted(cmd.tag, outcome, r.fields.replicas())
	case healthCheckCommand:
		results.HealthCheckCompleted(cmd.tag, outcome, r.fields.loadReport(reportFields))
	case pingCommand: // that the response arrived has been noted
	}
}

// concurrency reads how many requests for the function the worker had. A number that can't be is ignored and logged:
// the response is good all the same.
func (c *connection) concurrency(fields responseFields) int {
	count, ok := fields.concurrency()
	if !ok {
		c.pool.ignoredFields.add(c.pool.now, c.addr, fieldConcurrency, fields.get(fieldConcurrency))
	}
	return count
}

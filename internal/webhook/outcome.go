package webhook

import (
	"time"

	"crankhold/internal/ledger"
	"crankhold/internal/router"
)

const (
	maxOutcomes = 20000 // kept outcomes; beyond it new deliveries are rejected
	maxJoined   = 16    // deliveries that wait for one outcome
)

// outcome is what is known of a webhook-id.
type outcome struct {
	bodyDigest  string    // of the payload
	eventTime   time.Time // from the payload
	inLedger    bool      // it is an order's
	completed   bool
	status      httpStatus // once completed
	body        []byte     // once completed
	completedAt time.Duration
	joined      []*connection // that wait for the response
}

// recoveredOutcome is the outcome of an order that an earlier run of the program recorded. An order that was in flight
// when that run ended may have run, and nothing is known of how it ended.
func recoveredOutcome(entry ledger.Entry) *outcome {
	recovered := &outcome{bodyDigest: entry.BodyDigest, eventTime: entry.EventTime, inLedger: true, completed: true}
	if entry.State == ledger.Begun {
		recovered.status = statusBadGateway
		return recovered
	}
	recovered.status = httpStatus(entry.Status)
	recovered.body = entry.Body
	return recovered
}

// response is the response to each delivery of a completed outcome.
func (o *outcome) response() httpResponse {
	return httpResponse{status: o.status, body: o.body}
}

// ledgerEntry is what all entries of an order have in common.
func (o *outcome) ledgerEntry(id string) ledger.Entry {
	return ledger.Entry{ID: id, EventTime: o.eventTime, BodyDigest: o.bodyDigest}
}

// respondToAll responds to all deliveries that wait, and has their connections go on.
func (o *outcome) respondToAll(response httpResponse) {
	joined := o.joined
	o.joined = nil
	for _, c := range joined {
		c.respond(response)
		c.handleBuffered()
	}
}

// outcomeTable keeps outcomes by webhook-id.
type outcomeTable struct {
	byID     map[string]*outcome
	bytes    int // of completed outcomes' bodies
	maxBytes int // beyond it new deliveries are rejected
}

func newOutcomeTable(maxBytes int) *outcomeTable {
	return &outcomeTable{byID: map[string]*outcome{}, maxBytes: maxBytes}
}

// find returns the outcome of an id, or nil.
func (t *outcomeTable) find(id string) *outcome { return t.byID[id] }

// isFull reports whether a new outcome has to be rejected.
func (t *outcomeTable) isFull() bool {
	return len(t.byID) >= maxOutcomes || t.bytes > t.maxBytes
}

func (t *outcomeTable) add(id string, o *outcome) {
	t.byID[id] = o
	t.bytes += len(o.body)
}

func (t *outcomeTable) remove(id string) {
	if o := t.byID[id]; o != nil {
		delete(t.byID, id)
		t.bytes -= len(o.body)
	}
}

// complete sets an outcome's response.
func (t *outcomeTable) complete(o *outcome, status httpStatus, body []byte, now time.Duration) {
	o.completed = true
	o.completedAt = now
	o.status = status
	o.body = body
	t.bytes += len(body)
}

// outcomeResponder takes the router's response to the request of an outcome.
type outcomeResponder struct {
	receiver *Receiver
	id       string
	outcome  *outcome
}

// Respond completes the outcome, or releases the id of a request that is proven not to have run, and responds to all
// deliveries that wait.
func (p *outcomeResponder) Respond(response router.Response) {
	if response.Status == router.Rejected && !response.MayHaveRun {
		p.release(response)
		return
	}
	p.complete(response)
}

// release forgets the outcome: the id may be delivered again.
func (p *outcomeResponder) release(response router.Response) {
	p.receiver.outcomes.remove(p.id)
	if p.outcome.inLedger {
		entry := p.outcome.ledgerEntry(p.id)
		entry.State = ledger.NotRun
		p.receiver.ledger.Update(entry, p.receiver.time.steady())
	}
	if response.DeadlineExceeded {
		p.outcome.respondToAll(httpResponse{status: statusGatewayTimeout})
		return
	}
	p.outcome.respondToAll(httpResponse{status: statusServiceUnavailable, retryAfter: response.RetryAfter})
}

// complete keeps the outcome, so that redeliveries get the same response.
func (p *outcomeResponder) complete(response router.Response) {
	status := completedStatus(response)
	var body []byte
	if status == statusOK {
		body = response.Body
	}
	p.receiver.outcomes.complete(p.outcome, status, body, p.receiver.clock.Now())
	if p.outcome.inLedger {
		entry := p.outcome.ledgerEntry(p.id)
		entry.State = ledger.Ended
		entry.Status = int(status)
		entry.Body = body
		p.receiver.ledger.Update(entry, p.receiver.time.steady())
	}
	p.outcome.respondToAll(p.outcome.response())
}

// completedStatus returns the status for a request that may have run. It is a failure also where the router rejected
// the request: delivering it again with this id brings nothing else.
func completedStatus(response router.Response) httpStatus {
	switch {
	case response.Status == router.Served:
		return statusOK
	case response.DeadlineExceeded:
		return statusGatewayTimeout
	}
	return statusBadGateway
}

// Sweep forgets outcomes that are older than the configuration has them kept.
func (r *Receiver) Sweep(now time.Duration) {
	steadyNow := r.time.steady()
	for id, o := range r.outcomes.byID {
		if o.completed && r.isExpired(o, now, steadyNow) {
			r.outcomes.remove(id)
		}
	}
}

// isExpired reports whether an outcome's time is over: an order's counts from its event, as in the ledger.
func (r *Receiver) isExpired(o *outcome, now time.Duration, steadyNow time.Time) bool {
	if o.inLedger {
		return steadyNow.Sub(o.eventTime) > r.config.Ledger.Retention
	}
	return now-o.completedAt > r.config.DedupeFor
}

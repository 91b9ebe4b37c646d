package webhook

import (
	"crankhold/internal/ledger"
	"crankhold/internal/router"
)

// outcomeResponder takes the router's response to the request of an outcome. It implements router.Responder.
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
		p.updateLedger(entry)
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
		p.updateLedger(entry)
	}
	p.outcome.respondToAll(p.outcome.response())
}

func (p *outcomeResponder) updateLedger(entry ledger.Entry) {
	p.receiver.ledger.Update(entry, p.receiver.time.steady())
}

// completedStatus returns the status for a request that may have run. It is that of a failure also where the router
// rejected the request: another delivery with this id would not run it again.
func completedStatus(response router.Response) httpStatus {
	switch {
	case response.Status == router.Served:
		return statusOK
	case response.DeadlineExceeded:
		return statusGatewayTimeout
	}
	return statusBadGateway
}

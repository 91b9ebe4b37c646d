package webhook

import (
	"crankhold/internal/ledger"
	"crankhold/internal/router"
)

// outcomeResponder receives the router's response to the request of an outcome. It implements router.Responder.
type outcomeResponder struct {
	receiver *Receiver
	id       string
	outcome  *outcome
}

// Respond completes the outcome and responds to all waiting deliveries. If the request is known not to have run, it
// releases the id instead of completing the outcome.
func (o *outcomeResponder) Respond(response router.Response) {
	if response.Status == router.Rejected && !response.MayHaveRun {
		o.release(response)
		return
	}
	o.complete(response)
}

// release removes the outcome, so that the id may be delivered again.
func (o *outcomeResponder) release(response router.Response) {
	o.receiver.outcomes.remove(o.id)
	if o.outcome.inLedger {
		entry := o.outcome.ledgerEntry(o.id)
		entry.State = ledger.NotRun
		o.updateLedger(entry)
	}
	if response.DeadlineExceeded {
		o.outcome.respondToAll(httpResponse{status: statusGatewayTimeout})
		return
	}
	o.outcome.respondToAll(httpResponse{status: statusServiceUnavailable, retryAfter: response.RetryAfter})
}

// complete stores the response in the outcome, so that redeliveries get the same response.
func (o *outcomeResponder) complete(response router.Response) {
	status := completedStatus(response)
	var body []byte
	if status == statusOK {
		body = response.Body
	}
	o.receiver.outcomes.complete(o.outcome, status, body, o.receiver.clock.Now())
	if o.outcome.inLedger {
		entry := o.outcome.ledgerEntry(o.id)
		entry.State = ledger.Ended
		entry.Status = int(status)
		entry.Body = body
		o.updateLedger(entry)
	}
	o.outcome.respondToAll(o.outcome.response())
}

func (o *outcomeResponder) updateLedger(entry ledger.Entry) {
	o.receiver.ledger.Update(entry, o.receiver.deliveryClock.steady())
}

// completedStatus returns the status for a request that may have run. If the router rejected the request, the status is
// that of a failure and not a 503, since another delivery with this id would not run the request again.
func completedStatus(response router.Response) httpStatus {
	switch {
	case response.Status == router.Served:
		return statusOK
	case response.DeadlineExceeded:
		return statusGatewayTimeout
	}
	return statusBadGateway
}

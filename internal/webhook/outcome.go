package webhook

import (
	"time"

	"crankhold/internal/ledger"
)

// maxJoined is how many deliveries may wait for one outcome.
const maxJoined = 16

// outcome is what is known of a webhook-id. It belongs to the event loop's goroutine.
type outcome struct {
	bodyDigest  string    // of the payload
	eventTime   time.Time // from the payload
	inLedger    bool      // it is an order's
	completed   bool
	status      httpStatus    // once completed
	body        []byte        // once completed
	completedAt time.Duration // on the monotonic clock; zero where it was recovered from the ledger
	joined      []*connection // that wait for the response
}

// recoveredOutcome is the outcome of an order that an earlier run of the program recorded. An order that was in flight
// when that run ended may have run, and nothing is known of how it ended.
func recoveredOutcome(entry ledger.Entry) *outcome {
	recovered := &outcome{
		bodyDigest: entry.BodyDigest,
		eventTime:  entry.EventTime,
		inLedger:   true,
		completed:  true,
	}
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

// ledgerEntry returns what all entries of an order have in common.
func (o *outcome) ledgerEntry(id string) ledger.Entry {
	return ledger.Entry{ID: id, EventTime: o.eventTime, BodyDigest: o.bodyDigest}
}

// respondToAll responds to all deliveries that wait, and then handles the requests that their connections have
// buffered.
func (o *outcome) respondToAll(response httpResponse) {
	joined := o.joined
	o.joined = nil
	for _, c := range joined {
		c.respond(response)
		c.handleBuffered()
	}
}

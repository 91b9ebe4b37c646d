package webhook

import (
	"time"

	"crankhold/internal/ledger"
)

// maxJoined is how many deliveries may wait for one outcome.
const maxJoined = 16

// outcome is the state of the request of a webhook-id, and its response once it is completed. It must only be used on
// the event loop's goroutine.
type outcome struct {
	bodyDigest  string    // of the payload
	eventTime   time.Time // from the payload
	inLedger    bool      // the request is an order
	completed   bool
	status      httpStatus    // set when completed
	body        []byte        // set when completed
	completedAt time.Duration // on the monotonic clock; zero if the outcome was recovered from the ledger
	joined      []*connection // the connections that wait for the response
}

// recoveredOutcome returns the outcome of an order that an earlier process recorded. An order that was in flight when
// that process exited may have run, but its result is unknown.
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

// response returns the response to each delivery of a completed outcome.
func (o *outcome) response() httpResponse {
	return httpResponse{status: o.status, body: o.body}
}

// ledgerEntry returns an entry with the fields that all entries of an order have in common.
func (o *outcome) ledgerEntry(id string) ledger.Entry {
	return ledger.Entry{ID: id, EventTime: o.eventTime, BodyDigest: o.bodyDigest}
}

// respondToAll responds to all waiting deliveries, and handles the requests that their connections have buffered.
func (o *outcome) respondToAll(response httpResponse) {
	joined := o.joined
	o.joined = nil
	for _, c := range joined {
		c.respond(response)
		c.handleBuffered()
	}
}

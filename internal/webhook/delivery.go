package webhook

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"crankhold/internal/router"
)

// defaultRetryAfter is the Retry-After of deliveries that are rejected before they reach the router, which chooses the
// value otherwise.
const defaultRetryAfter = time.Second

// unavailable is the response that rejects a delivery whose request was not forwarded.
var unavailableResponse = httpResponse{status: statusServiceUnavailable, retryAfter: defaultRetryAfter}

// handle responds to an HTTP request or forwards the request in its payload. A delivery has no effect before it is
// authenticated.
func (r *Receiver) handle(c *connection, request *httpRequest, body []byte) {
	if status := r.checkTarget(request); status != statusNone {
		r.counters.Malformed++
		c.respond(httpResponse{status: status})
		return
	}
	r.counters.Deliveries++
	id, err := r.authenticator.authenticate(request, body)
	if err != nil {
		r.counters.Unauthorized++
		r.logRejection("webhook_delivery_rejected", err)
		c.respond(httpResponse{status: statusUnauthorized})
		return
	}
	bodyDigest := hexDigest(body)
	if first := r.outcomes.find(id); first != nil {
		r.handleRedelivery(c, first, bodyDigest)
		return
	}
	r.handleFirstDelivery(c, id, body, bodyDigest)
}

// checkTarget returns statusNone for a delivery, and the status to reject any other HTTP request with.
func (r *Receiver) checkTarget(request *httpRequest) httpStatus {
	if string(request.target) != r.config.Path {
		return statusNotFound
	}
	if string(request.method) != "POST" {
		return statusMethodNotAllowed
	}
	return statusNone
}

// handleRedelivery responds with the outcome of the first delivery. While its request is in flight, the redelivery
// waits for the same response.
func (r *Receiver) handleRedelivery(c *connection, first *outcome, bodyDigest string) {
	switch {
	case first.bodyDigest != bodyDigest: // a sender must not use an id for a second payload
		r.counters.Malformed++
		c.respond(httpResponse{status: statusBadRequest})
	case first.completed:
		r.counters.Replayed++
		c.respond(first.response())
	case len(first.joined) >= maxJoined:
		c.respond(unavailableResponse)
	default:
		r.counters.Joined++
		first.joined = append(first.joined, c)
	}
}

// handleFirstDelivery forwards the request in a payload. An order is first recorded in the ledger.
func (r *Receiver) handleFirstDelivery(c *connection, id string, body []byte, bodyDigest string) {
	request, eventTime, err := r.decodeRequest(body)
	if err != nil {
		r.counters.Malformed++
		r.logRejection("webhook_delivery_malformed", err)
		c.respond(httpResponse{status: statusBadRequest})
		return
	}
	if r.outcomes.isFull() {
		c.respond(unavailableResponse)
		return
	}
	class := r.classes.at(request.Class)
	if class.NotIdempotent && r.ledger == nil {
		r.counters.LedgerRejected++
		c.respond(unavailableResponse)
		return
	}
	request.Client.Address = c.peer
	request.Client.Reference = id
	if class.RequiresIdempotencyKey {
		request.IdempotencyKey = hexDigest([]byte(id))
	}
	pending := &outcome{
		bodyDigest: bodyDigest,
		eventTime:  eventTime,
		inLedger:   class.NotIdempotent,
		joined:     []*connection{c},
	}
	r.outcomes.add(id, pending)
	if pending.inLedger {
		r.recordOrder(id, pending, request)
		return
	}
	r.forward(id, pending, request)
}

// recordOrder queues an order for the ledger. The order is forwarded once it is on the disk.
func (r *Receiver) recordOrder(id string, order *outcome, request router.Request) {
	r.ledger.Begin(order.ledgerEntry(id), r.deliveryClock.steady(), func(err error) {
		r.post(func() { r.orderRecorded(id, order, request, err) })
	})
}

// orderRecorded forwards an order that is on the disk, and rejects one that could not be recorded. The ledger's writer
// posts it to the event loop.
func (r *Receiver) orderRecorded(id string, order *outcome, request router.Request, err error) {
	if err != nil {
		r.counters.LedgerRejected++
		r.outcomes.remove(id)
		order.respondToAll(unavailableResponse)
		return
	}
	r.forward(id, order, request)
}

// forward passes a request to the router.
func (r *Receiver) forward(id string, pending *outcome, request router.Request) {
	request.Responder = &outcomeResponder{receiver: r, id: id, outcome: pending}
	r.core.Accept(r.clock.Now(), request)
}

// hexDigest returns the first half of the SHA-256 hash of b in hex digits.
func hexDigest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:len(sum)/2])
}

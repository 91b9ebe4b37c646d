package webhook

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"crankhold/internal/router"
)

// defaultRetryAfter is the Retry-After of deliveries that the router has given no advice for.
const defaultRetryAfter = time.Second

// unavailable rejects a delivery whose request was not forwarded.
var unavailable = httpResponse{status: statusServiceUnavailable, retryAfter: defaultRetryAfter}

// handle responds to an HTTP request or forwards the request in its payload. Nothing has any effect before the delivery
// is authenticated.
func (r *Receiver) handle(c *connection, request *httpRequest, body []byte) {
	if status := r.checkTarget(request); status != statusNone {
		r.Counters.Malformed++
		c.respond(httpResponse{status: status})
		return
	}
	r.Counters.Deliveries++
	id, err := authenticate(request, body, r.keys, r.time, r.config.Receiver.Tolerance)
	if err != nil {
		r.Counters.Unauthorized++
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

// checkTarget rejects an HTTP request that is no delivery.
func (r *Receiver) checkTarget(request *httpRequest) httpStatus {
	if string(request.target) != r.config.Receiver.Path {
		return statusNotFound
	}
	if string(request.method) != "POST" {
		return statusMethodNotAllowed
	}
	return statusNone
}

// handleRedelivery responds with the first delivery's outcome, once there is one.
func (r *Receiver) handleRedelivery(c *connection, first *outcome, bodyDigest string) {
	switch {
	case first.bodyDigest != bodyDigest: // a sender may not give an id to another payload
		r.Counters.Malformed++
		c.respond(httpResponse{status: statusBadRequest})
	case first.completed:
		r.Counters.Replayed++
		c.respond(first.response())
	case len(first.joined) >= maxJoined:
		c.respond(unavailable)
	default:
		r.Counters.Joined++
		first.joined = append(first.joined, c)
	}
}

// handleFirstDelivery has the request in a payload run. An order is recorded in the ledger first.
func (r *Receiver) handleFirstDelivery(c *connection, id string, body []byte, bodyDigest string) {
	request, eventTime, err := r.decodeRequest(body)
	if err != nil {
		r.Counters.Malformed++
		r.logRejection("webhook_delivery_malformed", err)
		c.respond(httpResponse{status: statusBadRequest})
		return
	}
	if r.outcomes.isFull() {
		c.respond(unavailable)
		return
	}
	class := r.classes[request.Class]
	if class.NotIdempotent && r.ledger == nil {
		r.Counters.LedgerRejected++
		c.respond(unavailable)
		return
	}
	request.Client.Address = c.peer
	request.Client.Reference = id
	if class.RequiresIdempotencyKey {
		request.IdempotencyKey = hexDigest([]byte(id))
	}
	pending := &outcome{bodyDigest: bodyDigest, eventTime: eventTime, inLedger: class.NotIdempotent, joined: []*connection{c}}
	r.outcomes.add(id, pending)
	if pending.inLedger {
		r.recordOrder(id, pending, request)
		return
	}
	r.forward(id, pending, request)
}

// recordOrder writes an order to the ledger and forwards it when it is on the disk.
func (r *Receiver) recordOrder(id string, order *outcome, request router.Request) {
	r.ledger.begin(order.ledgerEntry(id), r.time.steady(), func(err error) {
		r.post(func() { r.orderRecorded(id, order, request, err) })
	})
}

// orderRecorded forwards an order that is in the ledger, and rejects one that could not be recorded.
func (r *Receiver) orderRecorded(id string, order *outcome, request router.Request, err error) {
	if err != nil {
		r.Counters.LedgerRejected++
		r.outcomes.remove(id)
		order.respondToAll(unavailable)
		return
	}
	r.forward(id, order, request)
}

// forward hands a request to the router.
func (r *Receiver) forward(id string, pending *outcome, request router.Request) {
	request.Responder = &outcomeResponder{receiver: r, id: id, outcome: pending}
	r.core.Accept(r.clock.Now(), request)
}

// hexDigest returns the first half of the SHA-256 of b in hex digits.
func hexDigest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:len(sum)/2])
}

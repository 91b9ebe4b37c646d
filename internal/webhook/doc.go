// Package webhook is the front that takes requests as signed webhooks. An order is a request of a class that is not
// idempotent: it must never run twice. The package also reads the webhook file, which configures the sender of notices
// too.
//
// # Protocol
//
// Deliveries follow the Standard Webhooks specification (https://www.standardwebhooks.com): HTTP/1.1 POST requests with
// the headers webhook-id, webhook-timestamp and webhook-signature, the last of them holding HMAC-SHA256 signatures in
// base64. The HTTP messages (RFC 9112) are parsed in place; a request whose framing could be read in two ways is
// rejected. The payload is a JSON event, described in the README under "Signed webhooks". Only what is signed is used:
// neither the path's query nor any other header changes what a delivery means.
//
// # One outcome for each webhook-id
//
// The Receiver keeps the outcome of each webhook-id. A redelivery that arrives while the request is in flight joins it
// and gets the same response; one that arrives later gets the response replayed. An id whose request was rejected
// without having run is released and may be delivered again. Outcomes of orders are kept in the ledger too (package
// ledger): an order's entry is on the disk before the order is first forwarded, so an order that was in flight when the
// process died is known at the next start. It may have run, so it is answered with 502 from then on.
//
// # Ownership
//
// Receiver and all connections belong to the event loop's goroutine and are not safe for concurrent use. The ledger's
// writer is a goroutine of its own; it reports back through Options.Post. NewReceiver and Receiver.Close block on the
// disk. Close ends the writer and returns when all entries are written. No delivery may arrive after it.
//
// # Limits
//
// The head of an HTTP request may take 8 KiB and 64 header lines, its body 24 KiB. One connection has one request in
// flight; of what follows it, a head and a body are buffered. At most 20,000 outcomes are kept, and 16 deliveries may
// join one request. The bytes of kept responses are limited by Options.MaxOutcomeBytes; the size of the ledger and its
// retention come from the configuration.
//
// # Failure behaviour
//
// A delivery that fails authentication is answered with 401 and has no other effect; one that is malformed is answered
// with another 4xx. Both are counted, and logged at most once a second. Where an outcome can't be kept the delivery is
// answered with 503; so is an order while the ledger can't record it.
package webhook

// Package webhook is the front that accepts requests as signed webhooks. An order is a request of a class that is not
// idempotent: it must never run twice. The package also reads the webhook file, which configures both the receiver and
// the notice sender.
//
// # Protocol
//
// Deliveries follow the Standard Webhooks specification (https://www.standardwebhooks.com): HTTP/1.1 POST requests with
// the headers webhook-id, webhook-timestamp and webhook-signature. The last one holds HMAC-SHA256 signatures in base64.
// HTTP messages (RFC 9112) are parsed in place, and a request with ambiguous framing is rejected. The payload is a JSON
// event, which the README describes under "Signed webhooks". Only signed data is used: neither a query in the URL nor
// any other header changes the meaning of a delivery.
//
// # One outcome for each webhook-id
//
// The Receiver keeps the outcome of each webhook-id. A redelivery that arrives while the request is in flight joins it:
// it waits for the same response. A redelivery that arrives later gets a copy of that response. If a request was
// rejected without having run, its id is released and may be delivered again. The outcomes of orders are also kept in
// the ledger (package ledger). An order's entry is on the disk before the order is first forwarded, so an order that
// was in flight when the process exited is known at the next start. It may have run, so the response to its
// redeliveries is 502 from then on.
//
// # Ownership
//
// A Receiver and its connections must only be used on the event loop's goroutine and are not safe for concurrent use.
// The ledger's writer runs on its own goroutine and reports back through Options.Post. NewReceiver and Receiver.Close
// block on file I/O. Close stops the writer and returns when all entries are written. No delivery may arrive after it.
//
// # Limits
//
// The head of an HTTP request may have at most 8 KiB and 64 header lines, and its body at most 24 KiB. A connection has
// at most one request in flight and buffers at most one further head and body. At most 20,000 outcomes are kept, and at
// most 16 deliveries wait for one response. Options.MaxOutcomeBytes limits the total size of the kept response bodies.
// The size of the ledger and its retention are set in the configuration.
//
// # Failure behavior
//
// The response to a delivery that fails authentication is 401; the delivery has no other effect. The response to a
// malformed delivery is another 4xx status. Both are counted, and logged at most once a second. The response is 503 if
// there is no capacity to keep the outcome, or if the ledger can't record an order.
package webhook

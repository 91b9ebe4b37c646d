// Package webhook is the front that takes requests as signed webhooks, and the sender of signed notices of what became
// of orders. An order is a request of a class that is not idempotent: it must never run twice.
//
// # Protocol
//
// Deliveries and notices follow the Standard Webhooks specification (https://www.standardwebhooks.com): HTTP/1.1 POST
// requests with the headers webhook-id, webhook-timestamp and webhook-signature, the last of them holding HMAC-SHA256
// signatures in base64. The HTTP messages (RFC 9112) are parsed in place; a request whose framing could be read in two
// ways is rejected. The payload is a JSON event, described in the README under "Signed webhooks". Only what is signed
// is used: neither the path's query nor any other header changes what a delivery means.
//
// # One outcome for each webhook-id
//
// The Receiver keeps the outcome of each webhook-id. A redelivery that arrives while the request is in flight joins it
// and gets the same response; one that arrives later gets the response replayed. An id whose request was rejected
// without having run is released and may be delivered again. Outcomes of orders are kept in the ledger too, an
// append-only file: an order's entry is synced to the disk before the order is first forwarded, so an order that was in
// flight when the process died is known at the next start. It may have run, so it is answered with 502 from then on.
//
// # Ownership
//
// Receiver, Sender and all connections belong to the event loop's goroutine and are not safe for concurrent use. The
// ledger owns one goroutine that writes its file; it reports back through the post function given to NewReceiver.
// Receiver.Close ends that goroutine and returns when all entries are written. No delivery may arrive after it.
//
// # Limits
//
// The head of an HTTP request may take 8 KiB and 64 header lines, its body 24 KiB. One connection has one request in
// flight; of what follows it, a head and a body are buffered. At most 20,000 outcomes are kept, and 16 deliveries may
// join one request. The bytes of kept responses, the size of the ledger and its retention come from the configuration,
// as do the number of queued notices, their attempts and the timeout of each.
//
// # Failure behaviour
//
// A delivery that fails authentication is answered with 401 and has no other effect; one that is malformed is answered
// with 4xx. Both are counted, and logged at most once a second. Where an outcome can't be kept the delivery is answered
// with 503. After a failed write the ledger accepts nothing until the next start reads what is on the disk; a ledger
// that is damaged anywhere but in its last line is an error at start, since it would leave open which orders ran.
// Notices are kept in memory only: those that the queue has no room for, and those whose attempts are used up, are
// dropped and counted.
package webhook

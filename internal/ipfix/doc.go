// Package ipfix exports one flow record for each request to a collector.
//
// # Protocol
//
// IPFIX messages (RFC 7011) are sent over UDP (section 10.3), one message in each datagram. There are two templates,
// one for records with IPv4 addresses and one for records with IPv6 addresses. The information elements are those of
// IANA's registry (https://www.iana.org/assignments/ipfix): addresses, the start and the end of the flow, ports, the
// transport protocol, the octets of the request's body, the reason of the flow's end, and the request's class as the
// application's name. Templates are sent first on each socket and repeated each minute, because a datagram may be lost
// and collectors discard templates after some time (section 8.4).
//
// # Structure
//
// Exporter queues records and flushes them, collectorSocket opens the socket, and messageBuilder builds messages.
// Package server adds a flow for each completed request and calls Tick in each turn of the event loop.
//
// # Ownership
//
// An Exporter belongs to the event loop's goroutine, is not safe for concurrent use and starts no goroutine. It opens
// its socket with the dial function that is passed to New, and opens it again after a failure.
//
// # Limits
//
// A message has at most 1,400 bytes, so that no datagram is fragmented. The queue is flushed once a second and holds at
// most 1,024 records. The name of a class is truncated to 64 bytes.
//
// # Failure behavior
//
// The export never delays a request. Records are dropped and counted if the queue is full, or if their addresses are
// unknown or of different families. The failure of a socket is logged, and a new socket is opened 5 s later; records
// are queued in the meantime. UDP has no acknowledgments: a record that was sent may still be lost, which a collector
// detects by the sequence number.
package ipfix
